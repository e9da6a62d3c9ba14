package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// ErrorReply is the body of every error response.
type ErrorReply struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error.
type ErrorBody struct {
	Code         errs.Code    `json:"code"`
	Outcome      errs.Outcome `json:"outcome"`
	Message      string       `json:"message"`
	Path         string       `json:"path,omitempty"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

// rateLimitError is implemented by errors about exceeded quotas.
type rateLimitError interface {
	RateLimitHeaders() map[string]string
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// NewErrorReply returns the body of the response for err.
func NewErrorReply(err error) ErrorReply {
	body := ErrorBody{
		Code:         errs.CodeOf(err),
		Outcome:      errs.OutcomeOf(err),
		Message:      err.Error(),
		RetryAfterMS: errs.RetryAfterOf(err).Milliseconds(),
	}
	var invalid *errs.Invalid
	if errors.As(err, &invalid) {
		body.Path = invalid.Path
	}
	return ErrorReply{Error: body}
}

// writeError writes the response for err, with the headers that its type requires.
func writeError(w http.ResponseWriter, err error) {
	if after := errs.RetryAfterOf(err); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	var limited rateLimitError
	if errors.As(err, &limited) {
		for name, value := range limited.RateLimitHeaders() {
			w.Header().Set(name, value)
		}
	}
	if errs.CodeOf(err) == errs.CodeUnauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, errs.HTTPStatus(err), NewErrorReply(err))
}
