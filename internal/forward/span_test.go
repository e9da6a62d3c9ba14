package forward

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/routes"
)

// exported is the part of an exported span that the test looks at.
type exported struct {
	Name        string
	SpanContext struct{ TraceID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	Status struct{ Code string }
}

// Guards against attempts that are missing in the trace of a request, or whose failure it hides.
func TestEachAttemptHasASpan(t *testing.T) {
	var out bytes.Buffer
	tracing, err := observe.NewTracing(t.Context(), settings.Trace{Exporter: settings.ExporterStdout}, "e1", "d", &out)
	if err != nil {
		t.Fatal(err)
	}
	f, _ := setup(t, cut, answer)
	f.tracing = tracing
	r := route(routes.Idempotent, 2)
	traced := tracing.Middleware(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { f.Serve(w, req, r, 1) }))
	statuses := make(map[string]int) // spans by status
	for range 20 {
		req := httptest.NewRequest(http.MethodPost, "/x", nil)
		req.Header.Set("Id", "q1")
		traced.ServeHTTP(httptest.NewRecorder(), req)
	}
	if err := tracing.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	traces := make(map[string]bool)
	for dec := json.NewDecoder(&out); dec.More(); {
		var s exported
		if err := dec.Decode(&s); err != nil {
			t.Fatal(err)
		}
		traces[s.SpanContext.TraceID] = true
		if s.Name != "forward request" {
			continue
		}
		statuses[s.Status.Code]++
		attributes := make(map[string]any)
		for _, a := range s.Attributes {
			attributes[a.Key] = a.Value.Value
		}
		target := attributes["target"]
		delete(attributes, "target")
		delete(attributes, "attempt")
		delete(attributes, "fuchsiaflow.outcome")
		if diff := cmp.Diff(map[string]any{"request": "q1", "route": "r"}, attributes); diff != "" || target != "a" && target != "b" {
			t.Errorf("span to target %v: %s", target, diff)
		}
	}
	if len(traces) != 20 {
		t.Errorf("%d traces of 20 requests", len(traces))
	}
	if statuses["Unset"] != 20 || statuses["Error"] == 0 {
		t.Errorf("spans by status: %v, want 20 without an error and some with one", statuses)
	}
}
