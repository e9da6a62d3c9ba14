package forward

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/notice"
	"fuchsiaflow/routes"
)

// Request is an idempotent POST request that this system sends on its own behalf.
type Request struct {
	ID         string
	Host, Path string
	Body       []byte
	Timeout    time.Duration
}

// Reply is the outcome of a Request.
type Reply struct {
	// Status is the status of the target's answer, or the one that a caller would get if no target
	// answered.
	Status int
	// ServerStamp is the signature of the target's answer; empty unless a target answered.
	ServerStamp string
	// Attempts is the number of attempts, and ServerErrors that of the answers with status 500.
	Attempts, ServerErrors int
	// RetryAfter is the time after which the request may be sent again; 0 if none was given.
	RetryAfter time.Duration
}

// Do sends a request through a route of the configuration with the given version, as Serve does for
// callers: it picks the targets, retries and hedges in the same way. The request counts as idempotent
// whatever the kind of the route. The error is AbortedResponse if ctx ends or the answer is incomplete.
func (f *Forwarder) Do(ctx context.Context, req *Request, route *routes.Route, version uint64) (Reply, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.Host, bytes.NewReader(req.Body))
	if err != nil {
		return Reply{}, &errs.Invalid{Path: "request", Want: "a valid host", Got: err.Error()}
	}
	r.RequestURI = req.Path
	r.Header.Set(f.headers.RequestID, req.ID)
	r.Header.Set(f.headers.Deadline, strconv.FormatInt(max(req.Timeout.Milliseconds(), 1), 10))
	idempotent := *route
	idempotent.Kind = routes.Idempotent
	w := &discardingWriter{header: make(http.Header)}
	c := f.newCall(w, r, &idempotent, version)
	c.source = notice.SourceScoring
	err = c.run()
	reply := Reply{Status: w.status, Attempts: c.attempts, ServerErrors: c.serverErrors}
	if err != nil {
		return reply, err
	}
	reply.ServerStamp = w.header.Get(f.headers.ServerStamp)
	if seconds, err := strconv.ParseFloat(w.header.Get(f.headers.RetryAfter), 64); err == nil {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return reply, nil
}

// discardingWriter is an http.ResponseWriter that keeps the status and the header of a response.
type discardingWriter struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *discardingWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardingWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
