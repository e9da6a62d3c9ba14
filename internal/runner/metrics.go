package runner

import (
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/schedule"
)

type metrics struct {
	runs    *observe.Counter
	orders  *observe.Counter
	waiting *observe.Gauge
	running *observe.Gauge
	wait    *observe.Histogram
	commit  *observe.Histogram
	job     *observe.Histogram
}

func newMetrics(m *observe.Metrics, pool *httpconn.Pool) *metrics {
	m.GaugeFunc("runner_connections_opened", "Connections opened to engines since the start.", func() float64 { return float64(pool.Dialed()) })
	return &metrics{
		runs: m.Counter("runner_runs_total", "Runs of items by outcome.",
			observe.Label{Name: "outcome", Values: []string{"finished", "refused", "broken", "stopped", "failed"}}),
		orders: m.Counter("runner_orders_total", "Orders to engines by the answer.",
			observe.Label{Name: "answer", Values: []string{"accepted", "held", "changed", "fenced", "elsewhere", "unclear"}}),
		waiting: m.Gauge("runner_items_waiting", "Items that wait for an engine."),
		running: m.Gauge("runner_items_running", "Items that run on an engine."),
		wait:    m.Histogram("runner_item_wait_seconds", "Time that an item waits for a slot of an engine.", observe.SecondsBuckets),
		commit:  m.Histogram("runner_commit_seconds", "Time from the proposal of a command to its result.", observe.SecondsBuckets),
		job:     m.Histogram("runner_job_seconds", "Time from the submission of a batch job to its end.", observe.SecondsBuckets),
	}
}

func (m *metrics) run(o schedule.Outcome) { m.runs.Inc(outcomeName(o)) }

func (m *metrics) state(s *schedule.Scheduler) {
	waiting, running := s.Counts()
	m.waiting.Set(float64(waiting))
	m.running.Set(float64(running))
}
