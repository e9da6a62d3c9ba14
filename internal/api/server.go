package api

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// Timeouts of the HTTP server. Writing has no timeout because answers may be streamed for
// as long as the caller's own deadline allows.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 60 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Options are the parts that a Handler needs. Metrics may be nil.
type Options struct {
	Auth     Authenticator
	Trainer  Trainer
	Desk     Desk
	Targets  Targets
	Operator Operator
	Health   Health
	Metrics  http.Handler
	Log      *slog.Logger
}

type handler struct {
	Options
}

// NewHandler returns the handler for the whole interface.
func NewHandler(o Options) http.Handler {
	h := &handler{Options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", h.asCaller("trainer", h.openStep))
	mux.HandleFunc("POST /v1/steps/{step}/fetch", h.asCaller("trainer", h.fetch))
	mux.HandleFunc("GET /v1/steps/{step}", h.asCaller("trainer", h.step))
	mux.HandleFunc("POST /v1/weights", h.asCaller("trainer", h.publish))
	mux.HandleFunc("POST /v1/desk/{pool}", h.asCaller("desk", h.desk))
	mux.HandleFunc("POST /v1/targets/announce", h.announce)
	mux.HandleFunc("POST /v1/targets/{id}/leave", h.leave)
	mux.HandleFunc("POST /v1/targets/{id}/cache-events", h.cacheEvents)
	mux.HandleFunc("POST /v1/config", h.asOperator(h.apply))
	mux.HandleFunc("GET /v1/config", h.asOperator(h.config))
	mux.HandleFunc("GET /v1/status", h.asOperator(h.status))
	mux.HandleFunc("POST /v1/groups/{group}/members", h.asOperator(h.changeMember))
	mux.HandleFunc("POST /v1/drain", h.asOperator(h.drain))
	mux.HandleFunc("GET /healthz", h.healthz)
	mux.HandleFunc("GET /readyz", h.readyz)
	if o.Metrics != nil {
		mux.Handle("GET /metrics", o.Metrics)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &errs.NotFound{Kind: "endpoint", ID: r.Method + " " + r.URL.Path})
	})
	return mux
}

// NewServer returns an HTTP server with the time-outs and limits of this package.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func bearer(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

type callerHandler func(w http.ResponseWriter, r *http.Request, id Identity) error

// asCaller authenticates a tenancy of the given kind.
func (h *handler) asCaller(kind string, next callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := h.Auth.Caller(bearer(r))
		if err != nil {
			writeError(w, err)
			return
		}
		if id.Kind != kind {
			writeError(w, &Forbidden{Tenancy: id.Tenancy, Kind: id.Kind, Want: kind})
			return
		}
		began := time.Now()
		if err := next(w, r, id); err != nil {
			h.logFailure(r, id.Tenancy, err)
			writeError(w, err)
		}
		h.Log.DebugContext(r.Context(), "request served", "method", r.Method, "path", r.URL.Path,
			"tenancy", id.Tenancy, "seconds", time.Since(began).Seconds())
	}
}

func (h *handler) asOperator(next func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearer(r)
		if token == "" || !h.Auth.Operator(token) {
			writeError(w, &errs.Unauthenticated{Realm: "operators"})
			return
		}
		if err := next(w, r); err != nil {
			h.logFailure(r, "", err)
			writeError(w, err)
		}
	}
}

func (h *handler) logFailure(r *http.Request, tenancy string, err error) {
	h.Log.Info("request failed", "method", r.Method, "path", r.URL.Path, "tenancy", tenancy,
		"code", errs.CodeOf(err), "outcome", errs.OutcomeOf(err), "error", err.Error())
}

// Forbidden reports a tenancy that uses an interface of another kind.
type Forbidden struct{ Tenancy, Kind, Want string }

func (e *Forbidden) Error() string {
	return "tenancy " + e.Tenancy + " is a " + e.Kind + ", this endpoint serves a " + e.Want
}

// FailureCode implements errs.Failure.
func (e *Forbidden) FailureCode() errs.Code { return errs.CodeForbidden }

// FailureOutcome implements errs.Failure.
func (e *Forbidden) FailureOutcome() errs.Outcome { return errs.NotRun }

func (h *handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

func (h *handler) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, reason := h.Health.Ready()
	if !ok {
		writeError(w, &errs.Unavailable{Resource: "host", Reason: reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}
