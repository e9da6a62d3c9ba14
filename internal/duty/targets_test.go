package duty

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaflow/autoscale"
	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/routes"
)

// fakePlatform is the platform, the tenure and the leader of the state group in one.
type fakePlatform struct {
	mu     sync.Mutex
	token  dialect.DutyToken
	holds  bool
	term   uint64
	calls  []dialect.TargetCount
	fences []uint64
	answer func(ctx context.Context, c dialect.TargetCount) error
}

func (f *fakePlatform) Token(time.Time) (dialect.DutyToken, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token, f.holds
}

func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakePlatform) ReportUsage(context.Context, dialect.DutyToken, dialect.UsageReport) error {
	return nil
}

func (f *fakePlatform) OrderTargets(ctx context.Context, by dialect.DutyToken, c dialect.TargetCount) error {
	f.mu.Lock()
	f.calls, f.fences = append(f.calls, c), append(f.fences, by.Fence)
	answer := f.answer
	f.mu.Unlock()
	if answer == nil {
		return nil
	}
	return answer(ctx, c)
}

func (f *fakePlatform) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// testTargets starts the duty for a service that has 2 targets and needs 6, and returns its log.
func testTargets(t *testing.T, f *fakePlatform, perSecond float64) *bytes.Buffer {
	table := routes.NewTable(&routes.Config{Services: []routes.Service{{Name: "plain"}, {Name: "s", Slots: 4,
		Scale: &routes.Scale{Min: 1, Max: 9, BootTime: 4 * time.Second, SpotPrice: 0.2, DomainPrices: map[string]float64{"a": 1, "b": 1}}}}})
	log := &bytes.Buffer{}
	d := NewTargets(TargetsOptions{Tenure: f, Client: f, CallsPerSecond: perSecond, Now: time.Now, Metrics: observe.NewMetrics(),
		Log: slog.New(slog.NewJSONHandler(log, nil)), Table: func() *routes.Table { return table },
		LeaderTerm: func() uint64 { f.mu.Lock(); defer f.mu.Unlock(); return f.term },
		Fleet: func() []fleet.Target {
			return []fleet.Target{{ID: "1", Service: "s", Domain: "a", State: fleet.Ready, ReportedAt: time.Now()},
				{ID: "2", Service: "s", Domain: "b", State: fleet.Ready, ReportedAt: time.Now()}, {ID: "3", Service: "plain", Domain: "a", ReportedAt: time.Now()}}
		},
		Demand: func(string) *autoscale.Demand {
			return &autoscale.Demand{StatedAt: time.Now(), TokensPerSecond: 1000, Models: []autoscale.ModelDemand{{Jobs: 5, MeanTokens: 4000, Period: time.Second}}}
		}})
	k := kernel.New(slog.New(slog.DiscardHandler))
	if err := d.Start(t.Context(), k); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return log
}

// playFor waits for a time, after which all goroutines rest.
func playFor(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against orders without tenure or with an old token, and against orders without a log line that tells the reason.
func TestOrdersOnlyWithTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{token: dialect.DutyToken{Holder: "h", Fence: 7}, term: 7}
		log := testTargets(t, f, 50)
		playFor(10 * time.Second)
		if f.count() > 0 {
			t.Fatal("orders without tenure")
		}
		f.set(func() { f.holds = true })
		playFor(time.Second)
		if f.count() == 0 || f.fences[0] != 7 {
			t.Fatalf("orders %v with fences %v, want some with 7", f.calls, f.fences)
		}
		var line struct {
			Msg, Service, Reason, Result string
			Count, Need                  int
		}
		if err := json.Unmarshal(bytes.SplitN(log.Bytes(), []byte("\n"), 2)[0], &line); err != nil || line.Msg != "targets ordered" || line.Reason == "" || line.Need != 6 {
			t.Errorf("log line %+v, %v", line, err)
		}
	})
}

// Guards against a former holder that goes on after the platform has seen a newer one, and against a holder that stops
// because no target is to be had.
func TestConflict(t *testing.T) {
	for _, newer := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakePlatform{token: dialect.DutyToken{Holder: "h", Fence: 7}, holds: true, term: 7}
			f.answer = func(context.Context, dialect.TargetCount) error {
				return &dialect.CallRejected{Call: "scale", Status: http.StatusConflict, Conflict: true}
			}
			testTargets(t, f, 50)
			playFor(8 * time.Second)
			first := f.count()
			if newer {
				f.set(func() { f.term = 8 })
			}
			playFor(20 * time.Second)
			stopped := f.count()
			playFor(40 * time.Second)
			if first == 0 || newer != (f.count() == stopped) {
				t.Errorf("newer term %t: %d calls, then %d, then %d", newer, first, stopped, f.count())
			}
			f.set(func() { f.token.Fence, f.term = 9, 9 })
			playFor(20 * time.Second)
			if f.count() == stopped {
				t.Error("no orders in the next own term")
			}
		})
	}
}

// Guards against a platform that gets more than its share of calls, and against one that does not answer and thereby
// delays other decisions or is called without end.
func TestCallsAreBounded(t *testing.T) {
	for _, err := range []error{nil, &errs.Unavailable{Resource: "platform", Reason: "no answer", Outcome: errs.Unknown},
		&dialect.CallRejected{Call: "scale", Status: http.StatusTooManyRequests}} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakePlatform{token: dialect.DutyToken{Holder: "h", Fence: 7}, holds: true, term: 7}
			f.answer = func(ctx context.Context, _ dialect.TargetCount) error {
				if err != nil {
					<-ctx.Done()
				}
				return err
			}
			testTargets(t, f, 4)
			for s := range 60 {
				before := f.count()
				playFor(time.Second)
				if f.count()-before > 1 {
					t.Fatalf("second %d: %d calls, want at most a quarter of 4", s, f.count()-before)
				}
			}
			if f.count() == 0 || f.count() > 50 {
				t.Errorf("%d calls in 60 s", f.count())
			}
		})
	}
}

// Guards against a duty that runs, or fails, on a host without a platform.
func TestWithoutPlatformNothingRuns(t *testing.T) {
	k := kernel.New(slog.New(slog.DiscardHandler))
	if err := NewTargets(TargetsOptions{}).Start(t.Context(), k); err != nil {
		t.Error(err)
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}
