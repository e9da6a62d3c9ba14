// Package gctuner adapts the garbage collector of a host to its load. Hosts pay for memory, so that the heap is kept
// small while the collector has little to do; when it takes much of the processor, the heap may grow instead, up to
// the memory limit of the runtime.
package gctuner

import (
	"context"
	"log/slog"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"fuchsiaflow/internal/kernel"
)

const (
	// MinPercent is the least growth of the heap between two collections, in percent, and the value of an idle host.
	MinPercent = 15
	// maxPercent bounds the growth of the heap.
	maxPercent = 240
	// highShare and lowShare are the shares of the processor above and below which the collector gets more or less
	// room. They are far apart, so that the value does not go back and forth.
	highShare = 0.08
	lowShare  = 0.015
	// interval is how often the share is measured.
	interval = 250 * time.Millisecond
)

// nextPercent returns the growth of the heap, in percent, for a collector that took a share of the processor with the
// present one.
func nextPercent(percent int, share float64) int {
	switch {
	case share > highShare:
		return min(2*percent, maxPercent)
	case share < lowShare:
		return max(percent/2, MinPercent)
	}
	return percent
}

// Tuner measures the garbage collector and adapts it. It implements kernel.Service.
type Tuner struct {
	Log *slog.Logger

	percent          int
	collector, total float64 // processor seconds at the last measurement
}

// New returns a tuner for a process that was started with MinPercent.
func New(log *slog.Logger) *Tuner { return &Tuner{Log: log, percent: MinPercent} }

// Start implements kernel.Service.
func (t *Tuner) Start(_ context.Context, k *kernel.Kernel) error {
	t.collector, t.total = processorSeconds()
	k.Every("gctuner", interval, func(context.Context) { t.adapt() })
	return nil
}

// Stop implements kernel.Service.
func (t *Tuner) Stop(context.Context) error { return nil }

// adapt measures the share of the collector since the last call and sets the growth of the heap.
func (t *Tuner) adapt() {
	collector, total := processorSeconds()
	spent, available := collector-t.collector, total-t.total
	if available <= 0 {
		return // no time has passed
	}
	t.collector, t.total = collector, total
	share := spent / available
	next := nextPercent(t.percent, share)
	if next == t.percent {
		return
	}
	t.Log.Info("heap growth changed", "percent", next, "previous", t.percent, "collector_share", share)
	t.percent = next
	debug.SetGCPercent(next)
}

// processorSeconds returns the processor time that the garbage collector has used, and the time that was available.
func processorSeconds() (collector, total float64) {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/total:cpu-seconds"}}
	metrics.Read(samples)
	return samples[0].Value.Float64(), samples[1].Value.Float64()
}
