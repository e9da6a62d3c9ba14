package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config holds the parameters of a measurement.
type Config struct {
	Seed uint64
	// Duration is the simulated time of the run with trainers and faults.
	Duration time.Duration
	// Deployments are measured in order; empty means Deployments().
	Deployments []Deployment
}

// DefaultDuration is long enough for more than twenty steps of each trainer.
const DefaultDuration = time.Hour

// Result holds the figures of all deployments and policies.
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
	TrainerIdleShare    float64 `json:"trainer_idle_share"` // relative to idle plus training time
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
	RecoveryS           float64 `json:"back_to_normal_s"`
	SamplesDelivered    int     `json:"samples_delivered"`
	SamplesDiscarded    int     `json:"samples_discarded"` // duplicate, too old or late
	SamplesLost         int     `json:"samples_lost"`
	SamplesDuplicated   int     `json:"samples_doubled"`
	SamplesOverBound    int     `json:"samples_over_bound"`
	FailedSwaps         int     `json:"failed_swaps"`
}

// Target is a performance target with the measured figure.
type Target struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Limit  float64 `json:"limit"`
	Met    bool    `json:"met"`
}

const (
	queueBound       = 32 // requests queued per target, for every policy
	swapFailureRate  = 0.03
	deskRate         = 2.0 // requests per second to each pool of a deployment
	shortDuration    = 40 * time.Minute
	overloadRate     = 118.0 // requests per second that saturate all model replicas
	overloadStart    = 2 * time.Minute
	overloadEnd      = 4 * time.Minute
	overloadDuration = 6 * time.Minute
	peakStart        = time.Minute
	normalLoadFactor = 0.7
	recoveredShare   = 0.95 // minimum share of arrivals answered in time that counts as recovered
)

// overloadFactor returns the offered load relative to the capacity, at a time since the start of the
// run.
func overloadFactor(since time.Duration) float64 {
	switch {
	case since < peakStart:
		return normalLoadFactor
	case since < overloadStart:
		return 1
	case since < overloadEnd:
		return 3
	}
	return normalLoadFactor
}

// Run measures all policies on the configured deployments.
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
			dr.Policies = append(dr.Policies, measurePolicy(cfg, d, p))
		}
		dr.Targets = checkTargets(dr.Policies)
		r.Deployments = append(r.Deployments, dr)
	}
	return r
}

// simulate runs a scenario under one policy.
func simulate(d Deployment, sc Scenario, p policy, seed uint64) *metrics {
	sc.QueueBound = queueBound
	sim := newSimulation(d, sc, p, seed)
	sim.runUntil(sim.started.Add(sc.Duration))
	sim.recordEnd()
	return &sim.metrics
}

func measurePolicy(cfg Config, d Deployment, p policy) PolicyResult {
	warmup := min(10*time.Minute, cfg.Duration/4)
	full := simulate(d, Scenario{Duration: cfg.Duration, Warmup: warmup, Trainers: true, TrainDuration: trainDuration, Faults: true,
		DeskRate: deskRate, SwapFailureRate: swapFailureRate}, p, cfg.Seed)
	duration := min(shortDuration, cfg.Duration)
	alone := simulate(d, Scenario{Duration: duration, Warmup: time.Minute, DeskRate: deskRate}, p, cfg.Seed)
	// With a training time near zero, trainers always request samples.
	trainerOverload := simulate(d, Scenario{Duration: duration, Warmup: 5 * time.Minute, Trainers: true, TrainDuration: time.Second,
		DeskRate: deskRate, SwapFailureRate: swapFailureRate}, p, cfg.Seed)
	overload := simulate(d, Scenario{Duration: overloadDuration, DeskRate: overloadRate, LoadFactor: overloadFactor}, p, cfg.Seed)

	r := PolicyResult{Policy: p.name, Steps: full.steps,
		StalenessMean: full.staleness.Mean(), StalenessP99: full.staleness.ValueAtQuantile(99),
		SamplesDelivered: full.samples, SamplesDiscarded: full.discarded, SamplesLost: full.lost + trainerOverload.lost,
		SamplesDuplicated: full.duplicated + trainerOverload.duplicated, SamplesOverBound: full.overBound + trainerOverload.overBound, FailedSwaps: full.failedSwaps}
	if total := full.idleTime + full.trainingTime; total > 0 {
		r.TrainerIdleShare = full.idleTime.Seconds() / total.Seconds()
	}
	r.DeskP50Ms, r.DeskP99Ms, r.DeskFailedShare = deskFigures(full)
	r.DeskAloneP50Ms, r.DeskAloneP99Ms, _ = deskFigures(alone)
	r.DeskOverloadP50Ms, r.DeskOverloadP99Ms, r.OverloadFailedShare = deskFigures(trainerOverload)
	r.Goodput1x = meanPerSecond(overload.goodTokens, peakStart+10*time.Second, overloadStart)
	r.Goodput3x = meanPerSecond(overload.goodTokens, overloadStart+10*time.Second, overloadEnd)
	r.RecoveryS = recoverySeconds(overload)
	return r
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// deskFigures returns the latencies in milliseconds and the share of failed requests.
func deskFigures(m *metrics) (p50, p99, failed float64) {
	return quantileMs(m.deskLatency, 50), quantileMs(m.deskLatency, 99), float64(m.deskFailures) / float64(max(1, m.deskRequests))
}

// meanPerSecond returns the mean of the values for the seconds from from to to.
func meanPerSecond(perSecond []int, from, to time.Duration) float64 {
	sum, n := 0, int((to-from)/time.Second)
	for i := range n {
		if s := int(from/time.Second) + i; s < len(perSecond) {
			sum += perSecond[s]
		}
	}
	return float64(sum) / float64(n)
}

// recoverySeconds returns the time in seconds from the end of the overload until the policy has
// recovered: from then on, in each window of ten seconds, at least recoveredShare of the arrivals are
// answered in time. It is -1 if the policy does not recover within the run.
func recoverySeconds(m *metrics) float64 {
	const window = 10 // seconds
	first := int(overloadEnd / time.Second)
	last := int((overloadDuration - deskDeadline) / time.Second)
	recovered := -1
	for s := last - window; s >= first; s-- {
		arrived, answered := 0, 0
		for i := s; i < s+window; i++ {
			arrived += m.arrived[i]
			answered += m.answered[i]
		}
		if float64(answered) < recoveredShare*float64(arrived) {
			break
		}
		recovered = s - first
	}
	return float64(recovered)
}

const (
	maxIdleRatio = 0.5
	maxDeskRatio = 1.5
	minGoodput   = 0.9
)

// checkTargets compares the first policy with the baselines and with the performance targets.
func checkTargets(results []PolicyResult) []Target {
	own, best, adjusted := results[0], results[1], results[baselineCount+1]
	for _, p := range results[2 : baselineCount+1] {
		if p.TrainerIdleShare < best.TrainerIdleShare {
			best = p
		}
	}
	peak := max(own.Goodput1x, own.Goodput3x)
	idle := own.TrainerIdleShare / max(1e-9, best.TrainerIdleShare)
	idleAdjusted := own.TrainerIdleShare / max(1e-9, adjusted.TrainerIdleShare)
	stale := own.StalenessMean - best.StalenessMean
	deskRatio := own.DeskOverloadP99Ms / max(1e-9, own.DeskAloneP99Ms)
	goodput := own.Goodput3x / max(1e-9, peak)
	violations := float64(own.SamplesLost + own.SamplesDuplicated + own.SamplesOverBound)
	recovery := own.RecoveryS
	return []Target{
		{"trainer idle time relative to the best baseline (" + best.Policy + ")", idle, maxIdleRatio, idle <= maxIdleRatio},
		{"the same relative to " + adjusted.Policy, idleAdjusted, maxIdleRatio, idleAdjusted <= maxIdleRatio},
		{"mean staleness above that baseline's", stale, 0, stale <= 0},
		{"desk p99 under trainer overload relative to desk p99 without trainers", deskRatio, maxDeskRatio, deskRatio <= maxDeskRatio},
		{"goodput at 3x overload relative to the peak, at least", goodput, minGoodput, goodput >= minGoodput},
		{"seconds back to normal after the overload", recovery, deskDeadline.Seconds(), recovery >= 0 && recovery <= deskDeadline.Seconds()},
		{"broken promises", violations, 0, violations == 0},
	}
}
