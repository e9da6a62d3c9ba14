package host

import (
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
)

// hostMetrics are the metrics of the request paths.
type hostMetrics struct {
	attempts  *observe.Counter
	desk      *observe.Counter
	deskTime  *observe.Histogram
	delivered *observe.Counter
}

// latencyBuckets cover a queue-free answer of a plain service up to a long generation.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

func newHostMetrics(m *observe.Metrics) *hostMetrics {
	return &hostMetrics{
		attempts:  m.Counter("sample_attempts_total", "Sample attempts by failure code; empty for success.", observe.Label{Name: "failure"}),
		desk:      m.Counter("desk_requests_total", "Desk requests by outcome.", observe.Label{Name: "outcome", Values: []string{"ok", "ran", "not_run", "unknown"}}),
		deskTime:  m.Histogram("desk_seconds", "Duration of desk requests in seconds.", latencyBuckets),
		delivered: m.Counter("samples_delivered_total", "Samples sent to trainers, repetitions included."),
	}
}

func (m *hostMetrics) attempt(failure string) { m.attempts.Inc(failure) }

func (m *hostMetrics) deskRequest(took time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errs.OutcomeOf(err))
	}
	m.desk.Inc(outcome)
	m.deskTime.Observe(took.Seconds())
}

// watch registers the gauges that read the state of services.
func (h *Host) watch(m *observe.Metrics) {
	m.GaugeFunc("config_version", "Version of the configuration in force.", func() float64 { return float64(h.config.Version()) })
	m.GaugeFunc("ready", "1 when the host may receive requests.", func() float64 {
		if ok, _ := h.Ready(); ok {
			return 1
		}
		return 0
	})
	m.GaugeFunc("live_hosts", "Hosts that are not believed to have failed.", func() float64 { return float64(len(h.members.Live(""))) })
	m.GaugeFunc("owned_targets", "Targets that this host owns.", func() float64 { return float64(len(h.targets.Owned())) })
	m.GaugeFunc("queued_desk_requests", "Desk requests that wait for a target.", func() float64 { n, _ := h.dispatcher.Queued(); return float64(n) })
	m.GaugeFunc("queued_samples", "Samples that wait for a target.", func() float64 { _, n := h.dispatcher.Queued(); return float64(n) })
	m.GaugeFunc("running_samples", "Sample attempts in progress.", func() float64 { return float64(h.sampler.Running()) })
	m.GaugeFunc("payload_bytes", "Bytes of sample payloads held.", func() float64 { _, n := h.payloads.store.Size(); return float64(n) })
	m.GaugeFunc("membership_sent_bytes", "Bytes of membership packets sent since the start.", func() float64 { sent, _ := h.members.Traffic(); return float64(sent) })
	for name, g := range h.localGroups {
		m.GaugeFunc("group_"+metricName(name)+"_leader", "1 when this host leads the group "+name+".", func() float64 {
			if g.IsLeader() {
				return 1
			}
			return 0
		})
	}
	rings := []observe.Ring{h.members.events, h.config.wake}
	for _, ring := range h.sampler.reports {
		rings = append(rings, ring)
	}
	m.WatchRings(rings...)
}

// metricName replaces what the names of metrics may not contain.
func metricName(s string) string {
	out := []byte(s)
	for i, c := range out {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '_') {
			out[i] = '_'
		}
	}
	return string(out)
}

var _ observe.Ring = (*kernel.Ring[int])(nil)
