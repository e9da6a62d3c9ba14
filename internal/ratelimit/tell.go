package ratelimit

import (
	"context"
	"time"

	"fuchsiaflow/capacity"
	"fuchsiaflow/fleet"
)

const (
	// tellTimeout limits the attempts to tell the leader of a changed limit.
	tellTimeout = 2 * time.Second
	// tellQueueSize is the number of changed limits that wait to be told; the oldest are dropped.
	tellQueueSize = 256
)

// tell tells the leader of a changed limit that this host has seen.
func (l *Limiter) tell(ctx context.Context, limit fleet.RateLimit) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if _, err := l.leader.Call(ctx, Demand{Limits: l.statements(limit.Target)}); err != nil {
		l.log.Warn("limit of target not told", "target", limit.Target, "incarnation", limit.Incarnation, "rate", limit.Rate, "error", err.Error())
	}
}

// TellCapacity tells the leader what this host has learned of targets.
func (l *Limiter) TellCapacity(ctx context.Context, list []capacity.Statement) error {
	_, err := l.leader.Call(ctx, Demand{Capacity: list})
	return err
}

// statements returns what this host knows of the limit of a target, as the leader needs it.
func (l *Limiter) statements(target string) []fleet.RateLimit {
	if s, ok := l.view.Statement(target); ok {
		return []fleet.RateLimit{s}
	}
	return nil
}
