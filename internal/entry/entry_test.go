package entry

import (
	"log/slog"
	"net/http"
	"testing"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/routes"
)

// Guards against status 404 for a route that exists. After a power failure of all hosts, entry hosts
// received an old configuration from a store host that had left the group, and knew no leader.
func TestNotFoundOnlyAfterALeaderIsKnown(t *testing.T) {
	handler := func(*Entry) http.Handler { return http.NotFoundHandler() }
	e, err := New(Options{Settings: &settings.Role{Host: "e1", FailureDomain: "d", IP: "10.0.0.9", Seeds: []string{"10.0.0.1"}},
		Headers: dialect.Headers{}, Front: handler, Ready: handler, Log: slog.New(slog.DiscardHandler), Metrics: observe.NewMetrics(),
		Tracing: observe.NoTracing()})
	if err != nil {
		t.Fatal(err)
	}
	formerMember := clusterview.StoreHost{ReplicaID: "10.0.0.1~first"}
	e.view.Merge(&clusterview.Event{From: formerMember, Config: &clusterview.Config{Version: 10, Body: clusterview.EncodeConfig(&routes.Config{Version: 10})}})
	if err := e.NoRouteError("h", "/x/"); errs.CodeOf(err) != errs.CodeOverloaded || errs.RetryAfterOf(err) <= 0 || errs.OutcomeOf(err) != errs.NotRun {
		t.Errorf("without a leader: %v, want a retryable overload error", err)
	}
	e.view.Merge(&clusterview.Event{From: formerMember, Leader: "10.0.0.2~x", Term: 3})
	if err := e.NoRouteError("h", "/x/"); errs.CodeOf(err) != errs.CodeNotFound {
		t.Errorf("with a leader: %v, want not found", err)
	}
}
