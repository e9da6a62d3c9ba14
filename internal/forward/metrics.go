package forward

import (
	"strconv"
	"time"

	"fuchsiaflow/internal/observe"
)

// latencyBuckets are in seconds. They range from responses served from memory to timed-out requests.
var latencyBuckets = []float64{.002, .005, .01, .025, .05, .1, .15, .25, .5, 1, 2.5, 10}

type metrics struct {
	requests *observe.Counter
	latency  *observe.Histogram
	// statementsSent and statementsLearned count the statements about targets that were sent and that were taken over.
	statementsSent, statementsLearned *observe.Counter
}

func newMetrics(m *observe.Metrics, f *Forwarder) *metrics {
	kind := observe.Label{Name: "kind", Values: []string{"idempotent", "unsafe", "stream", "batch"}}
	m.GaugeFunc("forward_connections_opened", "Connections opened to targets since the process started.", func() float64 { return float64(f.pool.Dialed()) })
	registerEstimateMetrics(m, f)
	return &metrics{
		requests: m.Counter("forward_requests_total", "Requests by route kind and status; status 0 if the caller disconnected.",
			kind, observe.Label{Name: "status", Values: []string{"0", "200", "400", "404", "429", "500", "502", "503", "504"}}),
		statementsSent:    m.Counter("capacity_statements_told_total", "Statements about targets that this host sent to the leader."),
		statementsLearned: m.Counter("capacity_statements_learned_total", "Statements of other hosts about targets that this host took over."),
		latency:           m.Histogram("forward_request_seconds", "Time from receiving a request to the end of its response.", latencyBuckets, kind),
	}
}

func (m *metrics) requestFinished(kind string, status int, took time.Duration) {
	m.requests.Inc(kind, strconv.Itoa(status))
	m.latency.Observe(took.Seconds(), kind)
}
