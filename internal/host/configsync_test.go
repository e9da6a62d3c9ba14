package host

import (
	"log/slog"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
)

func newTestConfigService() *configService {
	groups := newGroupClient("a", map[string][]string{}, nil, func(string) []string { return nil })
	return newConfigService("d", time.Second, groups, slog.New(slog.DiscardHandler))
}

func newEntry(version uint64) confstate.Entry {
	c := confstate.NewChange(&confstate.Config{Version: version, Queues: confstate.QueueLimits{Desk: 1, Samples: 1},
		WeightStore: confstate.WeightStoreLimits{LoadsPerSecond: 1, MaxConcurrent: 1}}, "test")
	return confstate.Entry{Version: c.Version, Digest: c.Digest, Body: c.Body}
}

// Guards against a request that is refused although the sender's configuration was activated just
// as the request began to wait for it.
func TestWaitForVersionSeesConcurrentActivation(t *testing.T) {
	for range 200 {
		c := newTestConfigService()
		var waiters sync.WaitGroup
		for range 4 {
			waiters.Go(func() {
				if err := c.WaitForVersion(t.Context(), 1); err != nil {
					t.Error(err)
				}
			})
		}
		c.confirm(newEntry(1))
		waiters.Wait()
	}
}

// Guards against a host that serves a request whose sender uses a newer configuration than the
// host has (P9).
func TestWaitForVersionFailsWithoutTheVersion(t *testing.T) {
	c := newTestConfigService()
	c.confirm(newEntry(1))
	err := c.WaitForVersion(t.Context(), 2)
	if errs.OutcomeOf(err) != errs.NotRun || errs.CodeOf(err) != errs.CodeUnavailable {
		t.Errorf("got error %v, want unavailable with outcome not_run", err)
	}
	if c.Version() != 1 {
		t.Errorf("version %d is active, want 1", c.Version())
	}
}
