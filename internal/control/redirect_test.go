package control

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/observe"
)

// Guards against reports of targets that a host without a replica acknowledges or holds, and against a store host that
// gets all of them.
func TestHostWithoutReplicaRedirectsReports(t *testing.T) {
	view := clusterview.NewView(slog.New(slog.DiscardHandler), []string{"10.0.0.1"})
	c := New(Options{View: view, SelfIP: "10.0.0.9", Port: "8166", Log: slog.New(slog.DiscardHandler), Metrics: observe.NewMetrics()})
	report := func(id string) error {
		return c.HandleHeartbeat(t.Context(), fleet.Target{ID: id, Service: "s", Address: "10.0.1.1:1", State: fleet.Ready, Incarnation: 1, Sequence: 1})
	}
	for _, err := range []error{report("t"), c.DeregisterTarget(t.Context(), "t")} {
		if errs.CodeOf(err) != errs.CodeUnavailable || errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("a host that hears no store host returns %v, want errs.Unavailable", err)
		}
	}
	view.Merge(&clusterview.Event{Stores: []clusterview.StoreHost{{ReplicaID: "10.0.0.3~a"}}}) // known, not heard
	for _, id := range []string{"10.0.0.1~a", "10.0.0.2~a"} {
		view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: id}})
	}
	sent := make(map[string]int)
	for k := range 40 {
		id := fmt.Sprintf("t%d", k)
		var first, second *errs.Redirect
		if !errors.As(report(id), &first) || !errors.As(c.DeregisterTarget(t.Context(), id), &second) || *first != *second {
			t.Fatalf("reports of %s: %v and %v, want the same redirect", id, first, second)
		}
		sent[first.Address]++
	}
	if len(sent) != 2 || sent["10.0.0.1:8166"] == 0 || sent["10.0.0.2:8166"] == 0 {
		t.Errorf("redirects by address: %v, want some to each store host that is heard", sent)
	}
	if got := len(view.Serving("s")); got != 0 {
		t.Errorf("%d targets serve, want none: other hosts do not learn of them", got)
	}
}
