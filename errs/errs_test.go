package errs

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Guards against losing the code, outcome or retry delay of a failure on its way between two hosts.
func TestFailureSurvivesGRPC(t *testing.T) {
	in := errors.Wrap(&Overloaded{Resource: "pool sorting", After: 250 * time.Millisecond}, "enqueue")
	out := FromGRPC("generate", ToGRPC(in))
	if got := CodeOf(out); got != CodeOverloaded {
		t.Errorf("code = %s, want %s", got, CodeOverloaded)
	}
	if got := OutcomeOf(out); got != NotRun {
		t.Errorf("outcome = %s, want %s", got, NotRun)
	}
	if got := RetryAfterOf(out); got != 250*time.Millisecond {
		t.Errorf("retry after = %s, want 250ms", got)
	}
}

// Guards against losing the leader's name, which a caller needs to redirect a command.
func TestNotLeaderSurvivesGRPC(t *testing.T) {
	want := &NotLeader{Group: "control", Leader: "h2"}
	var got *NotLeader
	if !errors.As(FromGRPC("propose", ToGRPC(want)), &got) {
		t.Fatal("NotLeader was not restored")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against reporting a call as not run after its connection broke (P5).
func TestBrokenConnectionIsUnknown(t *testing.T) {
	err := FromGRPC("generate", status.Error(codes.Unavailable, "transport is closing"))
	if got := OutcomeOf(err); got != Unknown {
		t.Errorf("outcome = %s, want %s", got, Unknown)
	}
}

// Guards against a status other than 500 for an error that is not a Failure.
func TestHTTPStatusOfOtherError(t *testing.T) {
	if got := HTTPStatus(errors.New("x")); got != http.StatusInternalServerError {
		t.Errorf("status = %d, want 500", got)
	}
}
