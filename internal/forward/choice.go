package forward

import (
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
)

// choice is the target of an attempt, with what the decision rested on.
type choice struct {
	balance.Candidate
	at        time.Time     // when the target was chosen
	reportAge time.Duration // age of the report of the target that this host had then
	inflight  int           // requests of this host at the target, this attempt included, when it was chosen
	limit     float64       // requests a second that the target states, as known then; 0 if it states no limit
	// admittedAt is when the attempt was admitted at a target with a limit; zero if it was not.
	admittedAt time.Time
}

// newChoice returns the choice of a candidate at the present time. limit is the limit that the target states.
func newChoice(c balance.Candidate, limit fleet.RateLimit) choice {
	now := bootclock.Now()
	return choice{Candidate: c, at: now, reportAge: now.Sub(c.ReportedAt), limit: limit.Rate}
}

// logArgs returns the log fields of a choice for a request that started at a time. A nil choice is one that was
// not made.
func (c *choice) logArgs(startedAt time.Time) []any {
	if c == nil {
		return []any{"target", ""}
	}
	return []any{"target", c.ID, "chosen_ms", c.at.Sub(startedAt).Milliseconds(), "report_from", c.Source,
		"report_sequence", c.Sequence, "report_age_ms", c.reportAge.Milliseconds(), "limit", c.limit}
}
