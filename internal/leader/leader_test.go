package leader

import (
	"context"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// Guards against a command that may have run at a host which then fell silent and is called not run,
// because the next host has no room for it.
func TestRefusalAfterAnUncertainAttemptIsUnknown(t *testing.T) {
	full := &errs.Full{Resource: "store", After: 3 * time.Second}
	for name, c := range map[string]struct {
		first error
		want  errs.Outcome
	}{
		"may have run": {&errs.Interrupted{Operation: "command", Reason: "the host fell silent"}, errs.Unknown},
		"has not run":  {&errs.Unavailable{Resource: "host", Reason: "no connection", Result: errs.NotRun}, errs.NotRun},
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
			t.Errorf("%s: the time to come back is lost: %v", name, err)
		}
	}
}
