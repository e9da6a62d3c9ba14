package observe

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc/metadata"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/settings"
)

const (
	tracerName = "fuchsiaflow"

	// The limits below keep a slow collector from using more memory than the queued spans need and
	// from delaying the stop of a host. Further spans are dropped.
	maxQueuedSpans = 2048
	exportTimeout  = 2 * time.Second
	stopTimeout    = exportTimeout + time.Second // leaves time for the last export to report its error
)

// propagator propagates the W3C trace context.
var propagator = propagation.TraceContext{}

// Tracing is the tracer provider of a host. It implements kernel.Service.
type Tracing struct {
	provider trace.TracerProvider
	shutdown func(context.Context) error // nil if tracing is disabled
}

// NewNoopTracing returns a Tracing without overhead, which neither creates spans nor propagates the trace
// context.
func NewNoopTracing() *Tracing { return &Tracing{provider: noop.NewTracerProvider()} }

// NewTracing returns a Tracing for the exporter in cfg. ExporterStdout writes the spans to w. With
// ExporterNone, spans are not exported, but the trace context is still propagated.
func NewTracing(ctx context.Context, cfg settings.Trace, host, failureDomain string, w io.Writer) (*Tracing, error) {
	opts := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", tracerName),
		attribute.String("service.instance.id", host),
		attribute.String("fuchsiaflow.failure_domain", failureDomain)))}
	exporter, err := newExporter(ctx, cfg, w)
	if err != nil {
		return nil, &errs.Unavailable{Resource: "trace exporter " + string(cfg.Exporter), Reason: err.Error()}
	}
	if exporter != nil {
		opts = append(opts, sdktrace.WithBatcher(exporter,
			sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithExportTimeout(exportTimeout)))
	} else {
		opts = append(opts, sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())))
	}
	provider := sdktrace.NewTracerProvider(opts...)
	return &Tracing{provider: provider, shutdown: provider.Shutdown}, nil
}

// newExporter returns nil if spans are not exported.
func newExporter(ctx context.Context, cfg settings.Trace, w io.Writer) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case settings.ExporterNone, "":
		return nil, nil
	case settings.ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case settings.ExporterOTLP:
		return otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(cfg.Endpoint),
			otlptracegrpc.WithInsecure(), otlptracegrpc.WithTimeout(exportTimeout))
	}
	return nil, &errs.Invalid{Path: "$.trace.exporter", Want: "one of none, stdout, otlp", Got: string(cfg.Exporter)}
}

// LogExportErrors logs the errors of all exporters of the process. Without it, OpenTelemetry prints
// them as plain text between the JSON lines.
func LogExportErrors(log *slog.Logger) {
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("trace export failed", "error", err) }))
}

// Provider returns the tracer provider for the gRPC server and the connection pool.
func (t *Tracing) Provider() trace.TracerProvider { return t.provider }

// Start implements kernel.Service.
func (t *Tracing) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service. It exports the queued spans. It returns no error if the collector
// is unreachable, because that must not fail the stop of a host.
func (t *Tracing) Stop(ctx context.Context) error {
	if t.shutdown == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = t.shutdown(ctx)
	return nil
}

// StartSpan starts an internal span.
func (t *Tracing) StartSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.provider.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attrs...))
}

// StartClientSpan starts the client span of a request to a target.
func (t *Tracing) StartClientSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.provider.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attrs...))
}

// EndSpan ends a span and records the code and the outcome of err if it is not nil.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, string(errs.CodeOf(err)))
		span.SetAttributes(attribute.String("fuchsiaflow.outcome", string(errs.OutcomeOf(err))))
	}
	span.End()
}

// Middleware starts a server span for each HTTP request as a child of the span in its headers. The
// span is named after the matched pattern, because the path contains IDs.
func (t *Tracing) Middleware(next http.Handler) http.Handler {
	if t.shutdown == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := t.provider.Tracer(tracerName).Start(ctx, "HTTP "+r.Method, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		r = r.WithContext(ctx)
		next.ServeHTTP(sw, r)
		if r.Pattern != "" {
			span.SetName(r.Pattern)
		}
		span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.Int("http.response.status_code", sw.status))
		if sw.status >= http.StatusInternalServerError {
			span.SetStatus(codes.Error, http.StatusText(sw.status))
		}
	})
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to Flush and the deadlines.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher for handlers that do not use http.ResponseController.
func (w *statusWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// InjectHTTP adds the trace context to the headers of an outgoing request.
func InjectHTTP(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// InjectGRPC adds the trace context to the metadata of an outgoing call. Calls through rpc.Pool do
// not need it, because the pool propagates the trace context.
func InjectGRPC(ctx context.Context) context.Context {
	carrier := make(propagation.MapCarrier)
	propagator.Inject(ctx, carrier)
	for k, v := range carrier {
		ctx = metadata.AppendToOutgoingContext(ctx, k, v)
	}
	return ctx
}
