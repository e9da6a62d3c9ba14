package httpconn

import (
	"fmt"
	"io"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// Phases of a RequestError.
const (
	phaseDial = "dial"
	// PhaseOpen is the phase in which Request.BeforeSend withheld the request.
	PhaseOpen = "open"
	phaseSend = "send"
	phaseHead = "head"
	phaseBody = "body"
)

// RequestError reports a request without a usable response.
type RequestError struct {
	Address string
	Phase   string
	Cause   string
	// Sent reports whether any part of the request may have reached the target.
	Sent bool
	// Reused reports whether the connection had served an earlier request.
	Reused bool
	// Ended reports whether the target closed or reset the connection.
	Ended bool
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("request to %s failed in phase %s: %s", e.Address, e.Phase, e.Cause)
}

// maxCauseBytes is the maximum length of the cause of a RequestError. Errors of net/http quote what a target has sent.
const maxCauseBytes = 256

// hasEnded reports whether an error means that the other side closed or reset the connection.
func hasEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// shortCause returns the message of an error, shortened to maxCauseBytes.
func shortCause(err error) string {
	cause := err.Error()
	if len(cause) > maxCauseBytes {
		cause = cause[:maxCauseBytes] + "..."
	}
	return strings.ToValidUTF8(cause, "?")
}

// FailureCode implements errs.Failure.
func (e *RequestError) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *RequestError) FailureOutcome() errs.Outcome {
	if e.Sent {
		return errs.Unknown
	}
	return errs.NotRun
}
