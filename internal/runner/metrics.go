package runner

import (
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/schedule"
)

type metrics struct {
	runs           *observe.Counter
	orders         *observe.Counter
	waiting        *observe.Gauge
	running        *observe.Gauge
	itemWaitTime   *observe.Histogram
	commitDuration *observe.Histogram
	jobDuration    *observe.Histogram

	scoringCalls    *observe.Counter
	scoringDuration *observe.Histogram
	scoringWaiting  *observe.Gauge
	scoringRunning  *observe.Gauge
}

func newMetrics(m *observe.Metrics, pool *httpconn.Pool) *metrics {
	m.GaugeFunc("runner_connections_opened", "Connections opened to engines since the process started.", func() float64 { return float64(pool.Dialed()) })
	return &metrics{
		runs: m.Counter("runner_runs_total", "Item runs by outcome.",
			observe.Label{Name: "outcome", Values: []string{"finished", "refused", "broken", "stopped", "failed"}}),
		orders: m.Counter("runner_orders_total", "Load orders sent to engines by answer.",
			observe.Label{Name: "answer", Values: []string{"accepted", "held", "changed", "fenced", "elsewhere", "unclear"}}),
		waiting:        m.Gauge("runner_items_waiting", "Items waiting for an engine."),
		running:        m.Gauge("runner_items_running", "Items running on an engine."),
		itemWaitTime:   m.Histogram("runner_item_wait_seconds", "Time an item waits for an engine slot.", observe.SecondsBuckets),
		commitDuration: m.Histogram("runner_commit_seconds", "Time from proposing a command to its result.", observe.SecondsBuckets),
		jobDuration:    m.Histogram("runner_job_seconds", "Time from the submission of a batch job to its end.", observe.SecondsBuckets),
		scoringCalls: m.Counter("runner_scoring_calls_total", "Scoring calls by outcome.",
			observe.Label{Name: "outcome", Values: []string{"scored", "refused", "failed", "unanswered", "aborted"}}),
		scoringDuration: m.Histogram("runner_scoring_seconds", "Duration of a scoring call with all its attempts.", observe.SecondsBuckets),
		scoringWaiting:  m.Gauge("runner_scoring_waiting", "Items that wait for a scoring call to start."),
		scoringRunning:  m.Gauge("runner_scoring_running", "Scoring calls in progress."),
	}
}

func (m *metrics) countRun(o schedule.Outcome) { m.runs.Inc(outcomeName(o)) }

func (m *metrics) updateGauges(s *schedule.Scheduler, q *schedule.ScoringQueue) {
	waiting, running := s.Counts()
	m.waiting.Set(float64(waiting))
	m.running.Set(float64(running))
	waiting, running = q.Counts()
	m.scoringWaiting.Set(float64(waiting))
	m.scoringRunning.Set(float64(running))
}
