package observe

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/otel/trace"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/settings"
)

func newTestTracing(t *testing.T, cfg settings.Trace, w io.Writer) *Tracing {
	t.Helper()
	tr, err := NewTracing(t.Context(), cfg, "e1", "Yeka", w)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// Guards against an unbounded number of time series when clients choose label values.
func TestLabelValuesAreBounded(t *testing.T) {
	m := NewMetrics()
	c := m.Counter("requests_total", "Requests.", Label{Name: "pool"}, Label{Name: "outcome", Values: []string{"ran"}})
	for i := range 3 * maxLabelValues {
		c.Inc(fmt.Sprint("pool-", i), "ran")
	}
	c.Inc("pool-0", "surprise")
	c.Inc("pool-0")
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "fuchsiaflow_requests_total" && len(f.GetMetric()) != maxLabelValues+2 {
			t.Errorf("%d series, want %d", len(f.GetMetric()), maxLabelValues+2)
		}
	}
}

// Guards against missing metrics for the depth and the drops of a ring.
func TestRingMetrics(t *testing.T) {
	m := NewMetrics()
	r := kernel.NewRing[int]("inbox", 2, kernel.DropOldest)
	m.RegisterRings(r)
	for i := range 5 {
		if err := r.Push(t.Context(), i); err != nil {
			t.Fatal(err)
		}
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{`fuchsiaflow_ring_depth{ring="inbox"} 2`, `fuchsiaflow_ring_drops_total{ring="inbox"} 3`} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("metrics do not contain %s", line)
		}
	}
}

// Guards against a trace context that is lost in the HTTP middleware or missing in the log, with and
// without an exporter.
func TestTraceContextIsPropagated(t *testing.T) {
	const parent = "00-0102030405060708090a0b0c0d0e0f10-0102030405060708-01"
	for _, exporter := range []settings.Exporter{settings.ExporterNone, settings.ExporterStdout} {
		var spans, logs bytes.Buffer
		tr := newTestTracing(t, settings.Trace{Exporter: exporter}, &spans)
		log := NewLogger(&logs, slog.LevelInfo, "e1")
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/steps/{id}/fetch", func(w http.ResponseWriter, r *http.Request) {
			log.InfoContext(r.Context(), "fetch")
			h := http.Header{}
			InjectHTTP(r.Context(), h)
			md, _ := metadata.FromOutgoingContext(InjectGRPC(r.Context()))
			if diff := cmp.Diff(md.Get("traceparent"), h.Values("Traceparent")); diff != "" {
				t.Error(diff)
			}
			w.Header().Set("X-Outgoing", h.Get("traceparent"))
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Errorf("the response cannot be flushed: %v", err)
			}
		})
		r := httptest.NewRequest(http.MethodPost, "/v1/steps/s1/fetch", nil)
		r.Header.Set("traceparent", parent)
		w := httptest.NewRecorder()
		tr.Middleware(mux).ServeHTTP(w, r)
		if err := tr.Stop(t.Context()); err != nil {
			t.Error(err)
		}
		out := w.Header().Get("X-Outgoing")
		if !strings.HasPrefix(out, parent[:36]) || out[36:52] == parent[36:52] {
			t.Errorf("%s: outgoing context %q", exporter, out)
		}
		if !strings.Contains(logs.String(), `"trace_id":"`+parent[3:35]) {
			t.Errorf("%s: log %s", exporter, logs.String())
		}
		if exported := strings.Contains(spans.String(), `"POST /v1/steps/{id}/fetch"`); exported != (exporter == settings.ExporterStdout) {
			t.Errorf("%s: spans %s", exporter, spans.String())
		}
	}
}

type fakeCollector struct {
	collector.UnimplementedTraceServiceServer
	names chan string
}

func (c *fakeCollector) Export(_ context.Context, r *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	c.names <- r.ResourceSpans[0].ScopeSpans[0].Spans[0].Name
	return &collector.ExportTraceServiceResponse{}, nil
}

// Guards against spans that do not reach an OTLP collector, and against an unreachable collector that
// delays or fails the stop of a host.
func TestOTLPExport(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	collectorServer := &fakeCollector{names: make(chan string, 1)}
	s := grpc.NewServer()
	collector.RegisterTraceServiceServer(s, collectorServer)
	var done sync.WaitGroup
	done.Go(func() { _ = s.Serve(l) })
	cfg := settings.Trace{Exporter: settings.ExporterOTLP, Endpoint: l.Addr().String()}
	tr := newTestTracing(t, cfg, nil)
	_, span := tr.StartSpan(t.Context(), "swap")
	EndSpan(span, nil)
	if err := tr.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if name := <-collectorServer.names; name != "swap" {
		t.Errorf("span %q", name)
	}
	s.Stop()
	done.Wait()
	var logs bytes.Buffer
	LogExportErrors(NewLogger(&logs, slog.LevelInfo, "e1"))
	tr = newTestTracing(t, cfg, nil)
	_, span = tr.StartClientSpan(t.Context(), "swap")
	if !span.SpanContext().IsValid() || trace.SpanFromContext(t.Context()).IsRecording() {
		t.Error("the span is invalid or the parent context has one")
	}
	EndSpan(span, net.ErrClosed)
	if err := tr.Stop(t.Context()); err != nil {
		t.Errorf("Stop fails without a collector: %v", err)
	}
	if !strings.Contains(logs.String(), `"msg":"trace export failed"`) {
		t.Errorf("log %q", logs.String())
	}
}
