package api

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// Timeouts and limits of the HTTP server. There is no write timeout because an answer may be streamed
// until the caller's deadline.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 60 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Options configures the handler of NewHandler. Metrics may be nil; all other fields are required.
type Options struct {
	Auth     Authenticator
	Trainer  TrainerService
	Desk     DeskService
	Targets  TargetService
	Operator OperatorService
	Health   Health
	Metrics  http.Handler
	Log      *slog.Logger
}

type handler struct {
	Options
}

// NewHandler returns the handler for all endpoints of the API.
func NewHandler(o Options) http.Handler {
	h := &handler{Options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", h.requireTenancy("trainer", h.openStep))
	mux.HandleFunc("POST /v1/steps/{step}/fetch", h.requireTenancy("trainer", h.fetch))
	mux.HandleFunc("GET /v1/steps/{step}", h.requireTenancy("trainer", h.stepStatus))
	mux.HandleFunc("POST /v1/weights", h.requireTenancy("trainer", h.publish))
	mux.HandleFunc("POST /v1/desk/{pool}", h.requireTenancy("desk", h.serveDesk))
	mux.HandleFunc("POST /v1/targets/announce", h.announce)
	mux.HandleFunc("POST /v1/targets/{id}/leave", h.leave)
	mux.HandleFunc("POST /v1/targets/{id}/cache-events", h.cacheEvents)
	mux.HandleFunc("POST /v1/config", h.requireOperator(h.applyConfig))
	mux.HandleFunc("GET /v1/config", h.requireOperator(h.getConfig))
	mux.HandleFunc("GET /v1/status", h.requireOperator(h.getStatus))
	mux.HandleFunc("POST /v1/groups/{group}/members", h.requireOperator(h.changeMember))
	mux.HandleFunc("POST /v1/drain", h.requireOperator(h.drain))
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

// NewServer returns an HTTP server for h with the timeouts and limits of this package.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// bearerToken returns the bearer token of a request, or "" if it has none.
func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// tenancyHandler handles a request of an authenticated tenancy.
type tenancyHandler func(w http.ResponseWriter, r *http.Request, id Identity) error

// requireTenancy authenticates the caller and calls next if it is a tenancy of the given kind.
func (h *handler) requireTenancy(kind string, next tenancyHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := h.Auth.Caller(bearerToken(r))
		if err != nil {
			writeError(w, err)
			return
		}
		if id.Kind != kind {
			writeError(w, &Forbidden{Tenancy: id.Tenancy, Kind: id.Kind, RequiredKind: kind})
			return
		}
		start := time.Now()
		if err := next(w, r, id); err != nil {
			h.logFailure(r, id.Tenancy, err)
			writeError(w, err)
		}
		h.Log.DebugContext(r.Context(), "request served", "method", r.Method, "path", r.URL.Path,
			"tenancy", id.Tenancy, "seconds", time.Since(start).Seconds())
	}
}

// requireOperator calls next if the request has the operators' token.
func (h *handler) requireOperator(next func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearerToken(r)
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

// Forbidden reports a request to an endpoint that is reserved for tenancies of another kind.
type Forbidden struct{ Tenancy, Kind, RequiredKind string }

func (e *Forbidden) Error() string {
	return "tenancy " + e.Tenancy + " has kind " + e.Kind + ", this endpoint requires kind " + e.RequiredKind
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
