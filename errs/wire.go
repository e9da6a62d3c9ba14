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

// errorDomain is the domain of the ErrorInfo details that ToGRPC attaches.
const errorDomain = "fuchsiaflow"

type statusCodes struct {
	http int
	grpc codes.Code
}

var statusCodesOf = map[Code]statusCodes{
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
	CodeRedirect:        {http.StatusTemporaryRedirect, codes.FailedPrecondition},
	CodeDeadline:        {http.StatusGatewayTimeout, codes.DeadlineExceeded},
	CodeInterrupted:     {http.StatusBadGateway, codes.Unknown},
	CodeCorrupt:         {http.StatusInternalServerError, codes.DataLoss},
	CodeInternal:        {http.StatusInternalServerError, codes.Internal},
}

// HTTPStatus returns the HTTP status code for err.
func HTTPStatus(err error) int {
	if s, ok := statusCodesOf[CodeOf(err)]; ok {
		return s.http
	}
	return http.StatusInternalServerError
}

// ToGRPC converts err to a gRPC status error from which FromGRPC restores it. It returns nil for nil.
func ToGRPC(err error) error {
	if err == nil {
		return nil
	}
	code := CodeOf(err)
	s, ok := statusCodesOf[code]
	if !ok {
		s = statusCodesOf[CodeInternal]
	}
	metadata := map[string]string{"outcome": string(OutcomeOf(err))}
	if after := RetryAfterOf(err); after > 0 {
		metadata["retry_after_ms"] = strconv.FormatInt(after.Milliseconds(), 10)
	}
	var notLeader *NotLeader
	if errors.As(err, &notLeader) {
		metadata["group"], metadata["leader"] = notLeader.Group, notLeader.Leader
	}
	st, detailErr := status.New(s.grpc, err.Error()).WithDetails(
		&errdetails.ErrorInfo{Reason: string(code), Domain: errorDomain, Metadata: metadata})
	if detailErr != nil {
		return status.Error(s.grpc, err.Error())
	}
	return st.Err()
}

// FromGRPC converts the error of a gRPC call to a Failure. An error without details from the peer
// becomes Deadline or Interrupted with an unknown outcome, because the call may have run.
func FromGRPC(operation string, err error) error {
	if err == nil {
		return nil
	}
	st, ok := status.FromError(err)
	if !ok {
		return fromContextError(operation, err)
	}
	for _, d := range st.Details() {
		info, ok := d.(*errdetails.ErrorInfo)
		if !ok || info.Domain != errorDomain {
			continue
		}
		return fromErrorInfo(st.Message(), info)
	}
	if st.Code() == codes.DeadlineExceeded {
		return &Deadline{Operation: operation, Outcome: Unknown}
	}
	return &Interrupted{Operation: operation, Reason: st.Message()}
}

func fromContextError(operation string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return &Deadline{Operation: operation, Outcome: Unknown}
	}
	return &Interrupted{Operation: operation, Reason: err.Error()}
}

func fromErrorInfo(message string, info *errdetails.ErrorInfo) error {
	if Code(info.Reason) == CodeNotLeader {
		return &NotLeader{Group: info.Metadata["group"], Leader: info.Metadata["leader"]}
	}
	remote := &Remote{
		Code:    Code(info.Reason),
		Outcome: Outcome(info.Metadata["outcome"]),
		Message: message,
		Details: info.Metadata,
	}
	if ms, err := strconv.ParseInt(info.Metadata["retry_after_ms"], 10, 64); err == nil {
		remote.After = time.Duration(ms) * time.Millisecond
	}
	return remote
}
