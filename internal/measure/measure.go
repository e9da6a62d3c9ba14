package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config holds the parameters of a measurement.
type Config struct {
	Seed uint64
	// Duration is the simulated time of the run with trainers.
	Duration time.Duration
	// Deployments are measured one after the other; Deployments() where empty.
	Deployments []Deployment
}

// DefaultDuration is long enough for more than twenty steps of each trainer.
const DefaultDuration = time.Hour

// Result holds the figures of all policies in one run.
type Result struct {
	Seed        uint64             `json:"seed"`
	DurationS   float64            `json:"duration_s"`
	Deployments []DeploymentResult `json:"deployments"`
}

// DeploymentResult holds the figures of one deployment.
type DeploymentResult struct {
	Name     string         `json:"name"`
	Policies []PolicyResult `json:"policies"`
	Targets  []Target       `json:"targets"`
}

// PolicyResult holds the figures of one policy.
type PolicyResult struct {
	Policy              string  `json:"policy"`
	TrainerIdleShare    float64 `json:"trainer_idle_share"` // of idle and training time
	Steps               int     `json:"steps"`
	StalenessMean       float64 `json:"staleness_mean"` // versions
	StalenessP99        int64   `json:"staleness_p99"`
	DeskP50Ms           float64 `json:"desk_p50_ms"`
	DeskP99Ms           float64 `json:"desk_p99_ms"`
	DeskFailedShare     float64 `json:"desk_failed_share"`
	DeskAloneP50Ms      float64 `json:"desk_alone_p50_ms"`
	DeskAloneP99Ms      float64 `json:"desk_alone_p99_ms"`
	DeskOverloadP50Ms   float64 `json:"desk_trainer_overload_p50_ms"`
	DeskOverloadP99Ms   float64 `json:"desk_trainer_overload_p99_ms"`
	OverloadFailedShare float64 `json:"desk_trainer_overload_failed_share"`
	Goodput1x           float64 `json:"goodput_1x_tokens_s"`
	Goodput3x           float64 `json:"goodput_3x_tokens_s"`
	BackToNormalS       float64 `json:"back_to_normal_s"`
	SamplesDelivered    int     `json:"samples_delivered"`
	SamplesDiscarded    int     `json:"samples_discarded"` // second attempts, too old, or late
	SamplesLost         int     `json:"samples_lost"`
	SamplesDoubled      int     `json:"samples_doubled"`
	SamplesOverBound    int     `json:"samples_over_bound"`
	FailedSwaps         int     `json:"failed_swaps"`
}

// Target is a stated target with the figure that was reached.
type Target struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Limit  float64 `json:"limit"`
	Met    bool    `json:"met"`
}

const (
	queueBound      = 32 // requests queued per target, for every policy
	swapFailure     = 0.03
	deskRate        = 2.0 // requests per second to each pool, per deployment
	aloneDuration   = 40 * time.Minute
	overloadRate    = 118.0 // requests per second that keep all model replicas busy
	overloadStart   = 2 * time.Minute
	overloadEnd     = 4 * time.Minute
	overloadRunTime = 6 * time.Minute
	peakStart       = time.Minute
	normalLoad      = 0.7
	normalShare     = 0.95 // of the arrivals that are answered in time
)

// overload is the offered load over time, relative to the capacity.
func overload(since time.Duration) float64 {
	switch {
	case since < peakStart:
		return normalLoad
	case since < overloadStart:
		return 1
	case since < overloadEnd:
		return 3
	}
	return normalLoad
}

// Run measures all policies.
func Run(cfg Config) Result {
	if cfg.Duration <= 0 {
		cfg.Duration = DefaultDuration
	}
	if len(cfg.Deployments) == 0 {
		cfg.Deployments = Deployments()
	}
	r := Result{Seed: cfg.Seed, DurationS: cfg.Duration.Seconds()}
	for _, d := range cfg.Deployments {
		dr := DeploymentResult{Name: d.Name}
		for _, p := range policies() {
			dr.Policies = append(dr.Policies, measure(cfg, d, p))
		}
		dr.Targets = targets(dr.Policies)
		r.Deployments = append(r.Deployments, dr)
	}
	return r
}

func simulate(d Deployment, sc Scenario, p policy, seed uint64) *metrics {
	sc.QueueBound = queueBound
	w := newWorld(d, sc, p, seed)
	w.runUntil(w.started.Add(sc.Duration))
	w.close()
	return &w.m
}

func measure(cfg Config, d Deployment, p policy) PolicyResult {
	warmup := min(10*time.Minute, cfg.Duration/4)
	full := simulate(d, Scenario{Duration: cfg.Duration, Warmup: warmup, Trainers: true, TrainTime: trainTime, Faults: true,
		DeskRate: deskRate, SwapFailure: swapFailure}, p, cfg.Seed)
	short := min(aloneDuration, cfg.Duration)
	alone := simulate(d, Scenario{Duration: short, Warmup: time.Minute, DeskRate: deskRate}, p, cfg.Seed)
	// Trainers that train in no time always want samples.
	greedy := simulate(d, Scenario{Duration: short, Warmup: 5 * time.Minute, Trainers: true, TrainTime: time.Second,
		DeskRate: deskRate, SwapFailure: swapFailure}, p, cfg.Seed)
	peak := simulate(d, Scenario{Duration: overloadRunTime, DeskRate: overloadRate, Load: overload}, p, cfg.Seed)

	r := PolicyResult{Policy: p.name, Steps: full.steps,
		StalenessMean: full.staleness.Mean(), StalenessP99: full.staleness.ValueAtQuantile(99),
		SamplesDelivered: full.samples, SamplesDiscarded: full.discarded, SamplesLost: full.lost + greedy.lost,
		SamplesDoubled: full.doubled + greedy.doubled, SamplesOverBound: full.overBound + greedy.overBound, FailedSwaps: full.failedSwaps}
	if total := full.idle + full.training; total > 0 {
		r.TrainerIdleShare = full.idle.Seconds() / total.Seconds()
	}
	r.DeskP50Ms, r.DeskP99Ms, r.DeskFailedShare = desk(full)
	r.DeskAloneP50Ms, r.DeskAloneP99Ms, _ = desk(alone)
	r.DeskOverloadP50Ms, r.DeskOverloadP99Ms, r.OverloadFailedShare = desk(greedy)
	r.Goodput1x = mean(peak.good, peakStart+10*time.Second, overloadStart)
	r.Goodput3x = mean(peak.good, overloadStart+10*time.Second, overloadEnd)
	r.BackToNormalS = backToNormal(peak)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func desk(m *metrics) (p50, p99, failed float64) {
	return quantile(m.desk, 50), quantile(m.desk, 99), float64(m.deskFailed) / float64(max(1, m.deskCalls))
}

func mean(perSecond []int, from, to time.Duration) float64 {
	sum, n := 0, int((to-from)/time.Second)
	for i := range n {
		if s := int(from/time.Second) + i; s < len(perSecond) {
			sum += perSecond[s]
		}
	}
	return float64(sum) / float64(n)
}

// backToNormal returns the time from the end of the overload to the first second from which
// nearly all arrivals of each following ten seconds are answered in time. It is -1 where that
// does not happen within the run.
func backToNormal(m *metrics) float64 {
	const span = 10
	first := int(overloadEnd / time.Second)
	last := int((overloadRunTime - deskDeadline) / time.Second)
	normal := -1
	for s := last - span; s >= first; s-- {
		arrived, answered := 0, 0
		for i := s; i < s+span; i++ {
			arrived += m.arrived[i]
			answered += m.answered[i]
		}
		if float64(answered) < normalShare*float64(arrived) {
			break
		}
		normal = s - first
	}
	return float64(normal)
}

const (
	maxIdleRatio = 0.5
	maxDeskRatio = 1.5
	minGoodput   = 0.9
)

// targets compares the first policy with the others and with the stated targets.
func targets(ps []PolicyResult) []Target {
	own, best, ordered := ps[0], ps[1], ps[baselines+1]
	for _, p := range ps[2 : baselines+1] {
		if p.TrainerIdleShare < best.TrainerIdleShare {
			best = p
		}
	}
	peak := max(own.Goodput1x, own.Goodput3x)
	idle := own.TrainerIdleShare / max(1e-9, best.TrainerIdleShare)
	idleOrdered := own.TrainerIdleShare / max(1e-9, ordered.TrainerIdleShare)
	stale := own.StalenessMean - best.StalenessMean
	deskRatio := own.DeskOverloadP99Ms / max(1e-9, own.DeskAloneP99Ms)
	good := own.Goodput3x / max(1e-9, peak)
	broken := float64(own.SamplesLost + own.SamplesDoubled + own.SamplesOverBound)
	back := own.BackToNormalS
	return []Target{
		{"trainer idle time relative to the best baseline (" + best.Policy + ")", idle, maxIdleRatio, idle <= maxIdleRatio},
		{"the same relative to " + ordered.Policy, idleOrdered, maxIdleRatio, idleOrdered <= maxIdleRatio},
		{"mean staleness above that baseline's", stale, 0, stale <= 0},
		{"desk p99 under trainer overload relative to desk p99 without trainers", deskRatio, maxDeskRatio, deskRatio <= maxDeskRatio},
		{"goodput at 3x overload relative to the peak, at least", good, minGoodput, good >= minGoodput},
		{"seconds back to normal after the overload", back, deskDeadline.Seconds(), back >= 0 && back <= deskDeadline.Seconds()},
		{"broken promises", broken, 0, broken == 0},
	}
}
