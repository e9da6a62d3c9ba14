package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// usableShare is the share of the time of a target that is planned for steps. The rest is headroom for targets that
	// are slow for a while, for loads of weights and for the last items of a step, which do not fill a target.
	usableShare = 0.7
	// usableWindow is the share of a completion window in which the tokens of a step must be generated.
	usableWindow = 0.7
	// maxBacklogFactor bounds the targets that the backlog alone may ask for, relative to those that the steps need.
	maxBacklogFactor = 1.5
	// maxDemandAge is the age from which a statement of the demand is no longer used.
	maxDemandAge = 3 * time.Second
	// settledJobs is the number of jobs of a model after which its period is known well enough to save targets.
	settledJobs = 6
	// minPeriod bounds the period of jobs from below.
	minPeriod = 250 * time.Millisecond
)

// Demand is the work of a service and how fast its targets do it.
type Demand struct {
	// StatedAt is when the runner made the statement.
	StatedAt time.Time
	// Models are the models whose jobs come at present.
	Models []ModelDemand
	// Open is the work that waits or runs, one entry for each job.
	Open []OpenWork
	// TokensPerSecond is what one target generates while all of its slots are in use.
	TokensPerSecond float64
	// Failing are the IDs of the targets on which all recent runs have failed.
	Failing []string
}

// ModelDemand describes the jobs of one model.
type ModelDemand struct {
	Model string
	// Jobs is the number of jobs from which the figures are made.
	Jobs int
	// MeanTokens and MaxTokens are the tokens of a job.
	MeanTokens, MaxTokens float64
	// Period is the time between two jobs; 0 while it is not known.
	Period time.Duration
	// Window is the time from the submission of a job until its results are due; 0 if there is no limit.
	Window time.Duration
}

// OpenWork is the work that is left of a job.
type OpenWork struct {
	Deadline time.Time
	Tokens   float64
}

// isKnown reports whether the number of targets that the work needs can be computed.
func (d *Demand) isKnown(now time.Time) bool {
	return d != nil && d.TokensPerSecond > 0 && len(d.Models) > 0 && now.Sub(d.StatedAt) < maxDemandAge
}

// isSettled reports whether the demand is known so well that targets may be given up for it. models are all models of the
// service; those without jobs prevent that unless ignoreIdle is set.
func (d *Demand) isSettled(models []string, ignoreIdle bool) bool {
	known := make(map[string]bool, len(d.Models))
	for _, m := range d.Models {
		if m.Jobs < settledJobs {
			return false
		}
		known[m.Model] = true
	}
	return ignoreIdle || !slices.ContainsFunc(models, func(m string) bool { return !known[m] })
}

// targets returns the number of targets that complete each step in time, if a new one serves after bootTime.
func (d *Demand) targets(now time.Time, bootTime time.Duration) int {
	periodic := 0
	for _, m := range d.Models {
		periodic += m.targets(d.TokensPerSecond)
	}
	backlog := min(d.backlogTargets(now, bootTime), maxBacklogFactor*float64(periodic))
	return max(periodic, int(math.Ceil(backlog)))
}

// targets returns the number of targets that the jobs of the model need. It is a whole number, because a target serves one
// model at a time. While the period is not known, the jobs are assumed to follow each other, which is the least.
func (m *ModelDemand) targets(tokensPerSecond float64) int {
	perTarget := tokensPerSecond * usableShare
	period := m.Period
	if period == 0 {
		period = m.Window
	}
	n := 0.0
	if period > 0 {
		n = m.MeanTokens / (max(period, minPeriod).Seconds() * perTarget)
	}
	if m.Window > 0 {
		n = max(n, m.MaxTokens/(m.Window.Seconds()*usableWindow*tokensPerSecond))
	}
	return max(int(math.Ceil(n)), 1)
}

// backlogTargets returns the number of targets that complete the open work in the order of its deadlines. Work that is due
// before a new target could serve counts as if it were due soon after.
func (d *Demand) backlogTargets(now time.Time, bootTime time.Duration) float64 {
	open := slices.Clone(d.Open)
	slices.SortFunc(open, func(a, b OpenWork) int { return a.Deadline.Compare(b.Deadline) })
	soonest := bootTime + minHelp
	needed, tokens := 0.0, 0.0
	for _, w := range open {
		tokens += w.Tokens
		left := max(w.Deadline.Sub(now), soonest)
		needed = max(needed, tokens/(left.Seconds()*d.TokensPerSecond))
	}
	return needed
}

// minHelp is the time for which a target must serve to help with the backlog.
const minHelp = 2 * time.Second

const (
	// lateShare is the part of a job that must be open after its deadline for the job to be late. Trainers do not wait for
	// the last items of a step.
	lateShare = 0.15
	// latenessStep is the factor by which late steps raise the need, at most to maxLateness, and latenessPause the least
	// time between two steps, in which new targets start and catch up.
	latenessStep, maxLateness = 1.15, 1.5
	latenessPause             = 15 * time.Second
	// onTimeMemory is the time without late steps after which the need falls again by one step.
	onTimeMemory = 2 * time.Minute
)

// lateness corrects the computed need while steps are late although it is met: then the work or the speed of targets is
// not as stated. Its zero value corrects nothing.
type lateness struct {
	steps     int
	changedAt time.Time
	lateAt    time.Time // when work was last late
}

// observe takes account of the open work. isMet tells whether as many targets serve as are needed.
func (l *lateness) observe(now time.Time, d *Demand, isMet bool) {
	late := d.isLate(now)
	if late {
		l.lateAt = now
	}
	switch {
	case late && !isMet:
		l.changedAt = now // wait until the missing targets have caught up
	case late && now.Sub(l.changedAt) >= latenessPause && l.factor() < maxLateness:
		l.steps, l.changedAt = l.steps+1, now
	case !late && l.steps > 0 && now.Sub(l.lateAt) >= onTimeMemory && now.Sub(l.changedAt) >= onTimeMemory:
		l.steps, l.changedAt = l.steps-1, now
	}
}

func (l *lateness) factor() float64 {
	return min(math.Pow(latenessStep, float64(l.steps)), maxLateness)
}

// raise returns a need with the correction.
func (l *lateness) raise(need int) int { return int(math.Ceil(float64(need) * l.factor())) }

// isLate reports whether a part of the work that matters is open after its deadline.
func (d *Demand) isLate(now time.Time) bool {
	overdue, mean := 0.0, 0.0
	for _, w := range d.Open {
		if now.After(w.Deadline) {
			overdue = max(overdue, w.Tokens)
		}
	}
	for _, m := range d.Models {
		mean += m.MeanTokens / float64(len(d.Models))
	}
	return overdue > lateShare*mean
}
