// Package observe provides the logging, metrics and tracing of a host.
package observe

import (
	"context"
	"io"
	"log/slog"

	"go.opentelemetry.io/otel/trace"
)

// NewLogger returns a logger that writes JSON lines with the host's name. Records that are logged
// with the context of a span include its trace ID and span ID.
func NewLogger(w io.Writer, level slog.Leveler, host string) *slog.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&traceHandler{h}).With("host", host)
}

// traceHandler adds the IDs of the context's span to each record.
type traceHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h *traceHandler) Handle(ctx context.Context, r slog.Record) error {
	if sc := trace.SpanContextFromContext(ctx); sc.IsValid() {
		r = r.Clone()
		r.AddAttrs(slog.String("trace_id", sc.TraceID().String()), slog.String("span_id", sc.SpanID().String()))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *traceHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &traceHandler{h.Handler.WithAttrs(a)}
}

// WithGroup implements slog.Handler.
func (h *traceHandler) WithGroup(name string) slog.Handler {
	return &traceHandler{h.Handler.WithGroup(name)}
}
