package host

import (
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
)

// hostMetrics contains the metrics of desk requests and samples.
type hostMetrics struct {
	sampleAttempts   *observe.Counter
	deskRequests     *observe.Counter
	deskDuration     *observe.Histogram
	samplesDelivered *observe.Counter
}

// latencyBuckets range from the answer of a service pool without queueing to a long generation, in
// seconds.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

func newHostMetrics(m *observe.Metrics) *hostMetrics {
	return &hostMetrics{
		sampleAttempts:   m.Counter("sample_attempts_total", "Sample attempts by failure code; empty for success.", observe.Label{Name: "failure"}),
		deskRequests:     m.Counter("desk_requests_total", "Desk requests by outcome.", observe.Label{Name: "outcome", Values: []string{"ok", "ran", "not_run", "unknown"}}),
		deskDuration:     m.Histogram("desk_seconds", "Duration of desk requests in seconds.", latencyBuckets),
		samplesDelivered: m.Counter("samples_delivered_total", "Samples sent to trainers, including repeated deliveries."),
	}
}

func (m *hostMetrics) recordAttempt(failure string) { m.sampleAttempts.Inc(failure) }

func (m *hostMetrics) recordDeskRequest(duration time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errs.OutcomeOf(err))
	}
	m.deskRequests.Inc(outcome)
	m.deskDuration.Observe(duration.Seconds())
}

// registerGauges registers the gauges that are computed from the state of the services, and the
// metrics of the rings.
func (h *Host) registerGauges(m *observe.Metrics) {
	m.GaugeFunc("config_version", "Version of the configuration in force.", func() float64 { return float64(h.config.Version()) })
	m.GaugeFunc("ready", "1 if the host may receive requests.", func() float64 {
		if ok, _ := h.Ready(); ok {
			return 1
		}
		return 0
	})
	m.GaugeFunc("live_hosts", "Hosts that are considered live.", func() float64 { return float64(len(h.members.Live(""))) })
	m.GaugeFunc("owned_targets", "Targets that this host owns.", func() float64 { return float64(len(h.targets.Owned())) })
	m.GaugeFunc("queued_desk_requests", "Desk requests that wait for a target.", func() float64 { n, _ := h.dispatcher.Queued(); return float64(n) })
	m.GaugeFunc("queued_samples", "Samples that wait for a target.", func() float64 { _, n := h.dispatcher.Queued(); return float64(n) })
	m.GaugeFunc("running_samples", "Sample attempts in progress.", func() float64 { return float64(h.sampler.Running()) })
	m.GaugeFunc("payload_bytes", "Bytes of sample payloads held.", func() float64 { _, n := h.payloads.store.Size(); return float64(n) })
	m.GaugeFunc("membership_sent_bytes", "Bytes of membership packets sent since the start.", func() float64 { sent, _ := h.members.Traffic(); return float64(sent) })
	for name, g := range h.localGroups {
		m.GaugeFunc("group_"+metricName(name)+"_leader", "1 if this host leads the group "+name+".", func() float64 {
			if g.IsLeader() {
				return 1
			}
			return 0
		})
	}
	rings := []observe.Ring{h.members.events, h.config.wake}
	for _, ring := range h.sampler.reportQueues {
		rings = append(rings, ring)
	}
	m.RegisterRings(rings...)
}

// metricName replaces each byte that a metric name must not contain by an underscore.
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
