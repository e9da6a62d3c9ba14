package errs

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// failureDomain marks error details that were written by this package.
const failureDomain = "fuchsiaflow"

type wireStatus struct {
	http int
	grpc codes.Code
}

var statusByCode = map[Code]wireStatus{
	CodeInvalid:         {http.StatusBadRequest, codes.InvalidArgument},
	CodeUnauthenticated: {http.StatusUnauthorized, codes.Unauthenticated},
	CodeForbidden:       {http.StatusForbidden, codes.PermissionDenied},
	CodeNotFound:        {http.StatusNotFound, codes.NotFound},
	CodeConflict:        {http.StatusConflict, codes.Aborted},
	CodeTooLarge:        {http.StatusRequestEntityTooLarge, codes.InvalidArgument},
	CodeOverloaded:      {http.StatusServiceUnavailable, codes.ResourceExhausted},
	CodeQuotaExceeded:   {http.StatusTooManyRequests, codes.ResourceExhausted},
	CodeUnavailable:     {http.StatusServiceUnavailable, codes.Unavailable},
	CodeNotLeader:       {http.StatusServiceUnavailable, codes.FailedPrecondition},
	CodeDeadline:        {http.StatusGatewayTimeout, codes.DeadlineExceeded},
	CodeInterrupted:     {http.StatusBadGateway, codes.Unknown},
	CodeCorrupt:         {http.StatusInternalServerError, codes.DataLoss},
	CodeInternal:        {http.StatusInternalServerError, codes.Internal},
}

// HTTPStatus returns the HTTP status of err.
func HTTPStatus(err error) int {
	if s, ok := statusByCode[CodeOf(err)]; ok {
		return s.http
	}
	return http.StatusInternalServerError
}

// GRPC converts err to a gRPC status error that FromGRPC restores. It returns nil for nil.
func GRPC(err error) error {
	if err == nil {
		return nil
	}
	code := CodeOf(err)
	s, ok := statusByCode[code]
	if !ok {
		s = statusByCode[CodeInternal]
	}
	meta := map[string]string{"outcome": string(OutcomeOf(err))}
	if after := RetryAfterOf(err); after > 0 {
		meta["retry_after_ms"] = strconv.FormatInt(after.Milliseconds(), 10)
	}
	var nl *NotLeader
	if errors.As(err, &nl) {
		meta["group"], meta["leader"] = nl.Group, nl.Leader
	}
	st, detailErr := status.New(s.grpc, err.Error()).WithDetails(
		&errdetails.ErrorInfo{Reason: string(code), Domain: failureDomain, Metadata: meta})
	if detailErr != nil {
		return status.Error(s.grpc, err.Error())
	}
	return st.Err()
}

// FromGRPC converts an error of a gRPC call to a Failure. A failure that the peer did not
// describe is Interrupted with an unknown outcome, because the call may have run.
func FromGRPC(operation string, err error) error {
	if err == nil {
		return nil
	}
	st, ok := status.FromError(err)
	if !ok {
		return fromContext(operation, err)
	}
	for _, d := range st.Details() {
		info, ok := d.(*errdetails.ErrorInfo)
		if !ok || info.Domain != failureDomain {
			continue
		}
		return fromInfo(st.Message(), info)
	}
	if st.Code() == codes.DeadlineExceeded {
		return &Deadline{Operation: operation, Result: Unknown}
	}
	return &Interrupted{Operation: operation, Reason: st.Message()}
}

func fromContext(operation string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return &Deadline{Operation: operation, Result: Unknown}
	}
	return &Interrupted{Operation: operation, Reason: err.Error()}
}

func fromInfo(message string, info *errdetails.ErrorInfo) error {
	if Code(info.Reason) == CodeNotLeader {
		return &NotLeader{Group: info.Metadata["group"], Leader: info.Metadata["leader"]}
	}
	r := &Remote{
		Code:    Code(info.Reason),
		Outcome: Outcome(info.Metadata["outcome"]),
		Message: message,
		Details: info.Metadata,
	}
	if ms, err := strconv.ParseInt(info.Metadata["retry_after_ms"], 10, 64); err == nil {
		r.After = time.Duration(ms) * time.Millisecond
	}
	return r
}
