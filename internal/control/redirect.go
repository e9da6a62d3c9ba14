package control

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
)

// redirectSilence is the time without an event after which targets are not redirected to a store host: a heartbeat of
// the watch streams, and some delay. A host that stands still costs a caller a second.
const redirectSilence = 700 * time.Millisecond

// recordsTargets reports whether this host records the reports of targets itself.
func (c *Control) recordsTargets() bool { return c.opts.Departures != nil }

// redirect returns errs.Redirect to a store host that takes the report of a target, or errs.Unavailable if this host
// hears none.
func (c *Control) redirect(target string) error {
	heard := c.opts.View.HeardStores(redirectSilence)
	if len(heard) == 0 {
		c.metrics.redirects.Inc(redirectFailed)
		c.opts.Log.Warn("report of target refused", "target", target, "reason", redirectFailed, "majority_age_ms", c.opts.View.MajorityAge().Milliseconds())
		return &errs.Unavailable{Resource: "report of target " + target, Reason: "this host hears no store host", Outcome: errs.NotRun}
	}
	c.metrics.redirects.Inc(redirectSent)
	store := storeFor(target, heard).IP()
	c.opts.Log.Info("report of target redirected", "target", target, "store", store, "heard", len(heard))
	return &errs.Redirect{Resource: "report of target " + target, Address: net.JoinHostPort(store, c.opts.Port)}
}

// storeFor chooses a store host for a target by rendezvous hashing, so that the reports of a target reach the same
// host and those of all targets are spread.
func storeFor(target string, stores []clusterview.StoreHost) clusterview.StoreHost {
	weight := func(s clusterview.StoreHost) uint64 { return xxhash.Sum64String(target + " " + s.IP()) }
	return slices.MaxFunc(stores, func(a, b clusterview.StoreHost) int { return cmp.Compare(weight(a), weight(b)) })
}
