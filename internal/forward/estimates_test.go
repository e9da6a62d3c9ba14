package forward

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/routes"
)

// Guards against load headers that are ignored because they have a fourth figure, or read although they have no meaning.
func TestParseLoad(t *testing.T) {
	for value, want := range map[string]balance.LoadReport{
		"1,2,6":         {Running: 1, Waiting: 2, Slots: 6},
		"1, 2, 6, 250":  {Running: 1, Waiting: 2, Slots: 6, SlownessPercent: 250},
		"":              {},
		"1,2":           {},
		"1,2,6,100,5":   {},
		"1,2,6,":        {},
		"1,2,6,many":    {},
		"1.5,2,6,100.0": {},
	} {
		if got, ok := parseLoad(value); got != want || ok != (want != balance.LoadReport{}) {
			t.Errorf("%q: %+v, %t; want %+v", value, got, ok, want)
		}
	}
}

// Guards against hosts that learn nothing from each other: what one host has seen of a target reaches another one through
// the leader, in messages of bounded size, and only once.
func TestEstimatesReachOtherHosts(t *testing.T) {
	f, _ := newForwarder(t, func(w http.ResponseWriter, r *http.Request, ran func()) {
		w.Header().Set(headers.Load, "1,0,6,100")
		time.Sleep(20 * time.Millisecond)
		answer(w, r, ran)
	})
	target, _ := f.view.Target("a")
	target.Incarnation = 7
	f.view.UpdateTarget(target)
	leader := clusterview.NewView(slog.New(slog.DiscardHandler), nil)
	f.limiter = ratelimit.New(f.view, ratelimit.Leader{Call: func(_ context.Context, d ratelimit.Demand) (ratelimit.Grant, error) {
		received, err := clusterview.Decode[ratelimit.Demand]("demand", clusterview.Encode(d))
		leader.AddCapacity(received.Capacity)
		return ratelimit.Grant{}, err
	}}, f.log, observe.NewMetrics())
	for range 6 {
		send(t, f, newRoute(routes.Idempotent, 2))
		time.Sleep(50 * time.Millisecond) // a review of the service is due after 200 ms
	}
	list := f.balancer.Statements(bootclock.Now())
	if again := f.balancer.Statements(bootclock.Now()); len(list) != 1 || len(again) != 0 {
		t.Fatalf("%d statements and then %d without a request in between, want 1 and 0", len(list), len(again))
	}
	f.sendEstimates(t.Context(), list)

	var out bytes.Buffer
	other := newTestForwarder(clusterview.NewView(slog.New(slog.NewJSONHandler(&out, nil)), nil), slog.New(slog.NewJSONHandler(&out, nil)))
	other.view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: "s"}, Targets: []fleet.Target{target}})
	e := clusterview.Event{From: clusterview.StoreHost{ReplicaID: "s"}}
	var revision uint64
	e.Capacity, revision = leader.CapacitySince(0)
	if unchanged, _ := leader.CapacitySince(revision); len(unchanged) != 0 {
		t.Errorf("%d statements are sent again", len(unchanged))
	}
	received, err := clusterview.Decode[clusterview.Event]("event", clusterview.Encode(e))
	if err != nil {
		t.Fatal(err)
	}
	other.view.Merge(&received)
	other.learnEstimates(t.Context())
	other.balancer.RecordLoad(bootclock.Now(), "a", balance.LoadReport{Slots: 6, SlownessPercent: 100})
	other.balancer.Pick(bootclock.Now(), []balance.Candidate{{Target: target}}, nil)
	other.learnEstimates(t.Context())
	if line := lastLine(t, &out, "capacity of target changed"); line["target"] != "a" || line["latency_ms"].(float64) < 20 {
		t.Errorf("logged: %v", line)
	}
}
