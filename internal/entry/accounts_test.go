package entry

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/routes"
)

// newTestEntry returns a host that is not started, and a function that delivers the event of a store host.
func newTestEntry(t *testing.T, revocation settings.Revocation) (*Entry, func(clusterview.Event)) {
	t.Helper()
	handler := func(*Entry) http.Handler { return http.NotFoundHandler() }
	e, err := New(Options{Settings: &settings.Role{Host: "e1", FailureDomain: "d", IP: "10.0.0.9", Seeds: []string{"10.0.0.1"}, Revocation: revocation},
		Headers: dialect.Headers{}, Front: handler, Ready: handler, Log: slog.New(slog.DiscardHandler), Metrics: observe.NewMetrics(),
		Tracing: observe.NewNoopTracing()})
	if err != nil {
		t.Fatal(err)
	}
	return e, func(event clusterview.Event) {
		event.From = clusterview.StoreHost{ReplicaID: "10.0.0.1~first"}
		e.view.Merge(&event)
	}
}

// Guards against a host that answers 401 although its configuration may be old, against one that accepts keys for too long
// after it was cut off or ignores that it may, and against a revoked key that an older version brings back.
func TestKeysOnAHostThatIsCutOff(t *testing.T) {
	const within = 300 * time.Millisecond
	for _, strict := range []bool{false, true} {
		e, hear := newTestEntry(t, settings.Revocation{Strict: strict, Within: within})
		configure := func(version uint64, keys ...string) {
			a := routes.Account{Name: "a", Priority: 1}
			for _, k := range keys {
				a.Keys = append(a.Keys, routes.DigestKey(k))
			}
			hear(clusterview.Event{Config: &clusterview.Config{Version: version, Body: clusterview.EncodeConfig(&routes.Config{Version: version, Accounts: []routes.Account{a}})}})
		}
		hearMajority := func() { hear(clusterview.Event{Leader: "10.0.0.1~first", Term: 3, Voters: []string{"10.0.0.1~first"}}) }
		check := func(when string, public bool, key string, want errs.Code) {
			t.Helper()
			in := &Incoming{Host: "h", Path: "/x/"}
			if key != "" {
				in.Keys = []string{key}
			}
			caller, err := e.Admit(e.view.Tables(), &routes.Route{Public: public}, in)
			code := errs.Code("")
			if err != nil {
				code = errs.CodeOf(err)
			}
			wantCaller := forward.Caller{}
			if want == "" {
				wantCaller.HidesKey = true
				if !public {
					wantCaller.Account, wantCaller.Priority = "a", 1
				}
			}
			if code != want || caller != wantCaller || (code == errs.CodeOverloaded) != (errs.RetryAfterOf(err) > 0) || err != nil && errs.OutcomeOf(err) != errs.NotRun {
				t.Errorf("strict %t, %s, key %q: %+v, %v; want %q", strict, when, key, caller, err, want)
			}
		}
		configure(5, "old", "kept")
		check("not confirmed", false, "new", errs.CodeOverloaded)
		check("not confirmed", true, "", "")
		hearMajority()
		check("in contact", false, "old", "")
		check("in contact", false, "new", errs.CodeUnauthenticated)
		check("in contact", false, "", errs.CodeUnauthenticated)
		configure(6, "new", "kept")
		configure(5, "old", "kept")
		hearMajority()
		check("key removed", false, "old", errs.CodeUnauthenticated)
		check("key added", false, "new", "")
		time.Sleep(2 * within)
		check("cut off, public", true, "", "")
		if strict {
			check("cut off", false, "kept", errs.CodeOverloaded)
			hearMajority()
		}
		check("in contact again, or not strict", false, "kept", "")
	}
}
