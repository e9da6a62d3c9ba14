package dialect

import (
	"fmt"
	"net/http"

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

// MismatchedResponse reports a response whose request ID is that of another request, or missing.
type MismatchedResponse struct{ Address, Want, Got string }

func (e *MismatchedResponse) Error() string {
	return fmt.Sprintf("response from %s has request ID %q, want %q", e.Address, e.Got, e.Want)
}

// FailureCode implements errs.Failure.
func (e *MismatchedResponse) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *MismatchedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }
