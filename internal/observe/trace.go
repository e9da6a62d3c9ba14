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

	// A slow collector must not use more memory than these many spans, or hold up a host
	// that stops. Spans beyond that are dropped.
	maxQueuedSpans = 2048
	exportTimeout  = 2 * time.Second
	stopTimeout    = exportTimeout + time.Second // lets the last export end and report its error
)

// propagator carries the W3C trace context.
var propagator = propagation.TraceContext{}

// Tracing is the tracer provider of one host. It implements kernel.Service.
type Tracing struct {
	provider trace.TracerProvider
	shutdown func(context.Context) error // nil without spans
}

// NoTracing makes no spans and passes no trace context on, at no cost.
func NoTracing() *Tracing { return &Tracing{provider: noop.NewTracerProvider()} }

// NewTracing returns a tracer provider. Spans go to w with the exporter stdout. With the
// exporter none, spans are not exported, but the trace context is still passed on.
func NewTracing(ctx context.Context, o settings.Trace, host, domain string, w io.Writer) (*Tracing, error) {
	opts := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", tracerName),
		attribute.String("service.instance.id", host),
		attribute.String("fuchsiaflow.failure_domain", domain)))}
	exporter, err := newExporter(ctx, o, w)
	if err != nil {
		return nil, &errs.Unavailable{Resource: "trace exporter " + string(o.Exporter), Reason: err.Error()}
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

func newExporter(ctx context.Context, o settings.Trace, w io.Writer) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case settings.ExporterNone, "":
		return nil, nil
	case settings.ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case settings.ExporterOTLP:
		return otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(o.Endpoint),
			otlptracegrpc.WithInsecure(), otlptracegrpc.WithTimeout(exportTimeout))
	}
	return nil, &errs.Invalid{Path: "$.trace.exporter", Want: "one of none, stdout, otlp", Got: string(o.Exporter)}
}

// LogExportErrors writes the errors of the exporters to the log of the process. Without it,
// OpenTelemetry prints them as plain text between the JSON lines.
func LogExportErrors(log *slog.Logger) {
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn("trace export failed", "error", err) }))
}

// Provider returns the tracer provider, for the gRPC server and the pool.
func (t *Tracing) Provider() trace.TracerProvider { return t.provider }

// Start implements kernel.Service.
func (t *Tracing) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service. It exports the spans that are queued; a collector that
// cannot be reached does not make the stop of a host fail.
func (t *Tracing) Stop(ctx context.Context) error {
	if t.shutdown == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = t.shutdown(ctx)
	return nil
}

// Span starts a span within the host.
func (t *Tracing) Span(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.provider.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attrs...))
}

// ClientSpan starts the span of a hop to a target.
func (t *Tracing) ClientSpan(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.provider.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attrs...))
}

// End ends a span with the result of its work.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, string(errs.CodeOf(err)))
		span.SetAttributes(attribute.String("fuchsiaflow.outcome", string(errs.OutcomeOf(err))))
	}
	span.End()
}

// Middleware continues the trace of each HTTP request with a span. The span is named after
// the pattern that matched and not after the path, which contains ids.
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

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach Flush and the deadlines.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher for handlers that do not use http.ResponseController.
func (w *statusWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// InjectHTTP adds the trace context to the headers of an outgoing request.
func InjectHTTP(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// InjectGRPC adds the trace context to the metadata of an outgoing call. The pool of
// package rpc does this by itself.
func InjectGRPC(ctx context.Context) context.Context {
	c := make(propagation.MapCarrier)
	propagator.Inject(ctx, c)
	for k, v := range c {
		ctx = metadata.AppendToOutgoingContext(ctx, k, v)
	}
	return ctx
}
