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

// exportedSpan has the fields of an exported span that the test checks.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	Status struct{ Code string }
}

// Guards against traces that lack the span of an attempt or do not record its failure.
func TestEachAttemptHasASpan(t *testing.T) {
	var out bytes.Buffer
	tracing, err := observe.NewTracing(t.Context(), settings.Trace{Exporter: settings.ExporterStdout}, "e1", "d", &out)
	if err != nil {
		t.Fatal(err)
	}
	f, _ := newForwarder(t, abortConnection, answer)
	f.tracing = tracing
	r := newRoute(routes.Idempotent, 2)
	traced := tracing.Middleware(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { f.Serve(w, req, r, 1, Caller{}) }))
	statuses := make(map[string]int) // number of attempt spans by status code
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
		var s exportedSpan
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
		t.Errorf("%d traces, want one for each of 20 requests", len(traces))
	}
	if statuses["Unset"] != 20 || statuses["Error"] == 0 {
		t.Errorf("spans by status: %v, want 20 without an error and at least one with an error", statuses)
	}
}
