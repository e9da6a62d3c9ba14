package dialect

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"fuchsiaflow/errs"
)

// CheckResponse returns MismatchedResponse unless a response is the answer to the request with the given ID. Nothing
// else in a response may be believed before: a target may send a second answer to an earlier request late, where
// the next answer is expected. Only a rejection may lack the ID. A request without an ID accepts any response.
func (h *Headers) CheckResponse(address, requestID string, status int, header http.Header) error {
	got := header.Get(h.RequestID)
	if requestID == "" || got == requestID || got == "" && h.IsRejection(status, header) {
		return nil
	}
	return &MismatchedResponse{Address: address, Want: requestID, Got: got}
}

// IsRejection reports whether a target states that it did not run the request.
func (h *Headers) IsRejection(status int, header http.Header) bool {
	return status == http.StatusMisdirectedRequest || header.Get(h.NotRun) != ""
}

// PromisesNotRun reports whether a status promises a caller that its request has not run and never will. A target that has not run
// a request states that by IsRejection; its status alone is no such statement, but a caller cannot tell.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// leavingValue is the value of the header that announces the departure of a target.
const leavingValue = "1"

// AnnouncesDeparture reports whether a response states that its target leaves. unknown is the value of the header
// if that has no defined meaning.
func (h *Headers) AnnouncesDeparture(header http.Header) (leaving bool, unknown string) {
	for _, name := range h.Leaving {
		switch value := header.Get(name); value {
		case "":
		case leavingValue:
			return true, ""
		default:
			unknown = value
		}
	}
	return false, unknown
}

// StatedRate returns the limit that a response states, in requests a second. stated is false if it states none.
// invalid is the value of the header if that is no finite number of 0 or more; the response then says nothing about
// the limit. Of several values the smallest counts.
func (h *Headers) StatedRate(header http.Header) (rate float64, stated bool, invalid string) {
	for _, name := range h.RateLimit {
		for _, value := range header.Values(name) {
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return 0, false, strconv.Quote(value)
			}
			if !stated || v < rate {
				rate, stated = v, true
			}
		}
	}
	return rate, stated, ""
}

// MismatchedResponse reports a response whose request ID is that of another request, or missing.
type MismatchedResponse struct{ Address, Want, Got string }

func (e *MismatchedResponse) Error() string {
	return fmt.Sprintf("response from %s has request ID %q, want %q", e.Address, e.Got, e.Want)
}

// FailureCode implements errs.Failure.
func (e *MismatchedResponse) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *MismatchedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }
