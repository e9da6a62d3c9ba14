// Package identity tells whether a target is still the incarnation that a host takes it for. A request names the ID of
// its target only, and a target that has started anew under its ID, perhaps with other software, is known by its earlier
// start until its next heartbeat.
package identity

import (
	"context"
	"log/slog"
	"time"

	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/observe"
)

const (
	// checkTimeout bounds a check: the call of the target, and the wait for the heartbeat of a start that is not known
	// yet.
	checkTimeout = 150 * time.Millisecond
	// maxClockSkew is the assumed divergence of the clocks of a host and a target.
	maxClockSkew = 100 * time.Millisecond
)

// Claim is what a host believes of a target.
type Claim struct {
	Target      string
	Incarnation int64  // start of the target, in Unix milliseconds
	Release     string // version of the software
	// AnsweredAt is when the answer began that the claim is about, in Unix milliseconds; 0 if the claim is about the
	// present.
	AnsweredAt int64
}

// precedes reports whether the answer began before the target started anew.
func (c *Claim) precedes(incarnation int64) bool {
	return c.AnsweredAt > 0 && c.AnsweredAt+maxClockSkew.Milliseconds() < incarnation
}

// Results of checks in metrics.
const (
	resultConfirmed = "confirmed"
	resultUnknown   = "no answer"
	resultRefuted   = "refuted"
)

// Checker asks targets who they are. It is safe for concurrent use. A nil Checker confirms everything.
type Checker struct {
	view   *clusterview.View
	client dialect.EngineClient
	log    *slog.Logger
	checks *observe.Counter
}

// NewChecker returns a checker.
func NewChecker(v *clusterview.View, client dialect.EngineClient, log *slog.Logger, m *observe.Metrics) *Checker {
	return &Checker{view: v, client: client, log: log, checks: m.Counter("identity_checks_total", "Checks whether a target is still the incarnation that made a part of a stream or text, by result.",
		observe.Label{Name: "result", Values: []string{resultConfirmed, resultUnknown, resultRefuted}})}
}

// Confirms reports whether what the target makes at present, or made in the answer of the claim, is of the claimed
// release. It returns true if the target cannot be asked: most targets that do not answer have crashed.
func (c *Checker) Confirms(ctx context.Context, claim Claim) bool {
	if c == nil || claim.Target == "" || claim.Incarnation == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	present, known := c.presentIncarnation(ctx, claim)
	switch {
	case !known:
		c.checks.Inc(resultUnknown)
		return true
	case present == claim.Incarnation || claim.precedes(present) || c.hasRelease(ctx, claim, present):
		c.checks.Inc(resultConfirmed)
		return true
	}
	c.checks.Inc(resultRefuted)
	c.log.Warn("target has started anew", "target", claim.Target, "incarnation", claim.Incarnation, "release", claim.Release, "present", present)
	return false
}

// presentIncarnation returns the newest incarnation of the target: the one that the host knows if that is later than the
// claimed one, otherwise what the target says. A target that leaves or states a limit is not asked.
func (c *Checker) presentIncarnation(ctx context.Context, claim Claim) (incarnation int64, known bool) {
	t, ok := c.view.Target(claim.Target)
	if !ok {
		return 0, false
	}
	if t.Incarnation > claim.Incarnation {
		return t.Incarnation, true
	}
	if _, limited := c.view.RateLimit(t.ID, t.Incarnation); limited || !c.view.Accepts(t.ID, t.Incarnation) {
		return 0, false
	}
	report, err := c.client.FetchReport(ctx, t.Address, t.ID)
	if err != nil || report.Incarnation == 0 {
		return 0, false
	}
	return report.Incarnation, true
}

// hasRelease reports whether an incarnation of the target has the claimed release. It waits until the host knows that
// incarnation.
func (c *Checker) hasRelease(ctx context.Context, claim Claim, incarnation int64) bool {
	for {
		changed := c.view.Changed()
		if t, ok := c.view.Target(claim.Target); ok && t.Incarnation >= incarnation {
			return t.Release == claim.Release
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
