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
	gs := newGroups("a", map[string][]string{}, nil, func(string) []string { return nil })
	return newConfigService("d", time.Second, gs, slog.New(slog.DiscardHandler))
}

func entryOf(version uint64) confstate.Entry {
	c := confstate.NewChange(&confstate.Config{Version: version, Queues: confstate.QueueLimits{Desk: 1, Samples: 1},
		WeightStore: confstate.WeightStoreLimits{LoadsPerSecond: 1, MaxConcurrent: 1}}, "test")
	return confstate.Entry{Version: c.Version, Digest: c.Digest, Body: c.Body}
}

// Guards against a request that is refused although the sender's configuration came into
// force while the request began to wait for it.
func TestCatchUpNoticesAnActivationAtAnyMoment(t *testing.T) {
	for range 200 {
		c := newTestConfigService()
		var waiters sync.WaitGroup
		for range 4 {
			waiters.Go(func() {
				if err := c.CatchUp(t.Context(), 1); err != nil {
					t.Error(err)
				}
			})
		}
		c.confirm(entryOf(1))
		waiters.Wait()
	}
}

// Guards against a host that serves a sender with a configuration that it does not have (P9).
func TestCatchUpRefusesWithoutTheConfiguration(t *testing.T) {
	c := newTestConfigService()
	c.confirm(entryOf(1))
	err := c.CatchUp(t.Context(), 2)
	if errs.OutcomeOf(err) != errs.NotRun || errs.CodeOf(err) != errs.CodeUnavailable {
		t.Errorf("got %v", err)
	}
	if c.Version() != 1 {
		t.Errorf("version %d is in force", c.Version())
	}
}
