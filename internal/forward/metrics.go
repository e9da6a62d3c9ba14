package forward

import (
	"strconv"
	"time"

	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
)

// latencyBuckets are in seconds; they cover an answer from memory up to a route's timeout.
var latencyBuckets = []float64{.002, .005, .01, .025, .05, .1, .15, .25, .5, 1, 2.5, 10}

type metrics struct {
	requests *observe.Counter
	latency  *observe.Histogram
}

func newMetrics(m *observe.Metrics, pool *httpconn.Pool) *metrics {
	kind := observe.Label{Name: "kind", Values: []string{"idempotent", "unsafe", "stream", "batch"}}
	m.GaugeFunc("forward_connections_opened", "Connections opened to targets since the start.", func() float64 { return float64(pool.Dialed()) })
	return &metrics{
		requests: m.Counter("forward_requests_total", "Requests of callers by kind of route and status; 0 when the caller left.",
			kind, observe.Label{Name: "status", Values: []string{"0", "200", "400", "404", "429", "500", "502", "503", "504"}}),
		latency: m.Histogram("forward_request_seconds", "Time from the arrival of a request to the end of its answer.", latencyBuckets, kind),
	}
}

func (m *metrics) finished(kind string, status int, took time.Duration) {
	m.requests.Inc(kind, strconv.Itoa(status))
	m.latency.Observe(took.Seconds(), kind)
}
