package forward

import (
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/internal/bootclock"
)

// choice is the target of an attempt, with what the decision rested on.
type choice struct {
	balance.Candidate
	at        time.Time     // when the target was chosen
	reportAge time.Duration // age of the report of the target that this host had then
}

// newChoice returns the choice of a candidate at the present time.
func newChoice(c balance.Candidate) choice {
	now := bootclock.Now()
	return choice{Candidate: c, at: now, reportAge: now.Sub(c.ReportedAt)}
}

// logArgs returns the log fields of a choice for a request that started at a time. A nil choice is one that was
// not made.
func (c *choice) logArgs(startedAt time.Time) []any {
	if c == nil {
		return []any{"target", ""}
	}
	return []any{"target", c.ID, "chosen_ms", c.at.Sub(startedAt).Milliseconds(), "report_from", c.Source,
		"report_sequence", c.Sequence, "report_age_ms", c.reportAge.Milliseconds()}
}
