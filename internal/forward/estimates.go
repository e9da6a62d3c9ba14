package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/capacity"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/observe"
)

const (
	// learnInterval is how often statements of other hosts are taken over. They arrive with the heartbeats of the watches.
	learnInterval = 250 * time.Millisecond
	// shareInterval is the least time between two messages with what this host has learned, and shareJitter bounds the
	// random time that is added, so that hosts which started together do not send together.
	shareInterval = 2 * time.Second
	shareJitter   = 500 * time.Millisecond
	// shareTimeout bounds one message. A later one replaces it.
	shareTimeout = time.Second
)

// learnEstimates takes over what other hosts have learned of targets, and logs estimates that have changed.
func (f *Forwarder) learnEstimates(context.Context) {
	var list []capacity.Statement
	list, f.capacityRevision = f.view.CapacitySince(f.capacityRevision)
	f.mu.Lock()
	now := bootclock.Now()
	f.balancer.Learn(now, list)
	changes := f.balancer.Changes(now)
	f.mu.Unlock()
	f.metrics.statementsLearned.Add(float64(len(list)))
	for _, c := range changes {
		f.log.Info("capacity of target changed", "target", c.Target, "latency_ms", inMs(c.Latency), "previous_ms", inMs(c.PreviousLatency),
			"knee", c.Knee, "previous_knee", c.PreviousKnee, "slowness", c.SlownessPercent, "in_flight", c.InFlight)
	}
}

// inMs returns a duration in milliseconds.
func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// shareEstimates tells the leader of the state group what this host has learned of targets that it used since the last
// message, until ctx is done.
func (f *Forwarder) shareEstimates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(shareInterval + rand.N(shareJitter)):
		}
		f.mu.Lock()
		list := f.balancer.Statements(bootclock.Now())
		f.mu.Unlock()
		if len(list) > 0 {
			f.sendEstimates(ctx, list)
		}
	}
}

// sendEstimates sends statements to the leader. If they do not arrive, other hosts rely on their own results.
func (f *Forwarder) sendEstimates(ctx context.Context, list []capacity.Statement) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if err := f.limiter.TellCapacity(ctx, list); err != nil {
		f.log.Warn("capacity of targets not told", "targets", len(list), "error", err.Error())
		return
	}
	f.metrics.statementsSent.Add(float64(len(list)))
}

// registerEstimateMetrics adds gauges of the estimates in use.
func registerEstimateMetrics(m *observe.Metrics, f *Forwarder) {
	gauge := func(name, help string, value func(balance.EstimateCounts) int) {
		m.GaugeFunc(name, help, func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(value(f.balancer.CountEstimates(bootclock.Now())))
		})
	}
	gauge("capacity_targets", "Targets that are chosen by their estimated capacity.", func(c balance.EstimateCounts) int { return c.Targets })
	gauge("capacity_targets_slow", "Of these, targets that take at least 1.5 times as long as usual now.", func(c balance.EstimateCounts) int { return c.Slow })
	gauge("capacity_targets_narrow", "Of these, targets that slow down before three quarters of their slots are in use.",
		func(c balance.EstimateCounts) int { return c.Narrow })
}
