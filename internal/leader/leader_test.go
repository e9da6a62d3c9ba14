package leader

import (
	"context"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// Guards against reporting a command as not run because the second host rejects it for lack of
// capacity, although the first host may have run it before it stopped responding.
func TestRejectionAfterUncertainAttemptIsUnknown(t *testing.T) {
	full := &errs.Full{Resource: "store", After: 3 * time.Second}
	for name, c := range map[string]struct {
		first error
		want  errs.Outcome
	}{
		"may have run": {&errs.Interrupted{Operation: "command", Reason: "the host stopped responding"}, errs.Unknown},
		"has not run":  {&errs.Unavailable{Resource: "host", Reason: "no connection", Outcome: errs.NotRun}, errs.NotRun},
	} {
		f := &Finder{KnownLeader: func(string) string { return "a" }, Candidates: func(string, int) []string { return []string{"b"} }, AttemptTimeout: time.Second}
		calls := 0
		_, err := f.Do(t.Context(), "g", true, func(_ context.Context, host string) ([]byte, error) {
			calls++
			if host == "a" {
				return nil, c.first
			}
			return nil, full
		})
		if errs.OutcomeOf(err) != c.want || calls != 2 {
			t.Errorf("%s: %v after %d calls, want outcome %s", name, err, calls, c.want)
		}
		if c.want == errs.NotRun && errs.RetryAfterOf(err) != full.After {
			t.Errorf("%s: retry delay not preserved: %v", name, err)
		}
	}
}
