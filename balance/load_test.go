package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiaflow/capacity"
	"fuchsiaflow/fleet"
)

const (
	loadStep    = time.Millisecond
	loadWork    = 25 * time.Millisecond // mean work of a request at speed 1
	loadTimely  = 150 * time.Millisecond
	noiseFactor = 2.5
	noisePeriod = 600 * time.Millisecond
	noiseShare  = 0.15
	// silence is the time after which a host gives up a request at a target that does not answer.
	silence      = 400 * time.Millisecond
	loadAttempts = 3
	loadQueue    = 12 // requests that wait at a target at most
)

// loadRequest is a request in progress at a target.
type loadRequest struct {
	host, started int
	work          float64 // left, in seconds at speed 1
	begin, sentAt time.Time
	tried         []string
}

// loadTarget runs up to its slots of requests, of which cores get its full speed each; more share it.
type loadTarget struct {
	Candidate
	speed, cores float64
	slowUntil    time.Time
	nextSlow     time.Time
	running      []*loadRequest                    // and waiting, in order of arrival
	lie          func(capacity.Load) capacity.Load // changes the stated load; nil for a true one
	alive        bool
}

// rate returns the work that a request of the target completes in a second.
func (t *loadTarget) rate(now time.Time) float64 {
	rate := t.speed * min(1, t.cores/float64(max(min(len(t.running), t.Slots), 1)))
	if now.Before(t.slowUntil) {
		rate /= noiseFactor
	}
	return rate
}

// stated returns the load header of the target.
func (t *loadTarget) stated(now time.Time) LoadReport {
	running := min(len(t.running), t.Slots)
	l := LoadReport{Running: running, Waiting: len(t.running) - running, Slots: t.Slots, SlownessPercent: 100}
	if now.Before(t.slowUntil) {
		l.SlownessPercent = 100 * noiseFactor
	}
	if t.lie != nil {
		l = t.lie(l)
	}
	return l
}

// loadCase is one load test. Its zero values mean: no noise, one host, statements without delay.
type loadCase struct {
	load       float64 // as a part of the capacity of all targets at the start
	noise      bool
	hosts      int
	cores      float64 // of the default targets, instead of theirs
	seed       uint64
	shareDelay time.Duration
	targets    []*loadTarget
	change     func(now time.Duration, targets []*loadTarget) // called before each step
	measureAt  time.Duration                                  // requests before are not measured
}

// pickFunc selects a target for a request of a host.
type pickFunc func(now time.Time, b *Balancer, list []Candidate, tried []string) (string, bool)

// pickByCompletion is the decision of this package.
func pickByCompletion(now time.Time, b *Balancer, list []Candidate, tried []string) (string, bool) {
	c, _, ok := b.PickWithin(now, list, tried, loadTimely)
	return c.ID, ok
}

// pickWithoutRefusals is pickByCompletion for requests that may take any time, so that the caller is never refused.
func pickWithoutRefusals(now time.Time, b *Balancer, list []Candidate, tried []string) (string, bool) {
	c, _, ok := b.Pick(now, list, tried)
	return c.ID, ok
}

// pickByFixedSlots is the decision without estimates: average latency and occupancy of the slots.
func pickByFixedSlots(now time.Time, b *Balancer, list []Candidate, tried []string) (string, bool) {
	b.services[""] = &serviceState{reviewedAt: now}
	c, _, ok := b.Pick(now, list, tried)
	return c.ID, ok
}

// pickByLeastOutstanding selects the target with the fewest requests of the host, one after the other among equal ones.
func pickByLeastOutstanding(now time.Time, b *Balancer, list []Candidate, tried []string) (id string, ok bool) {
	for i := range list {
		c := &list[(i+int(now.Sub(t0)/loadStep))%len(list)]
		if slices.Contains(tried, c.ID) {
			continue
		}
		if !ok || b.statsFor(c.ID).inflight < b.statsFor(id).inflight {
			id, ok = c.ID, true
		}
	}
	return id, ok
}

// loadResult summarizes a load test.
type loadResult struct {
	onTime   float64
	p50, p99 time.Duration
	share    map[string]int // requests that each target completed
}

func (r loadResult) String() string {
	return fmt.Sprintf("%.4f on time, p50 %3d ms, p99 %3d ms", r.onTime, r.p50.Milliseconds(), r.p99.Milliseconds())
}

// loadSim runs a load test.
type loadSim struct {
	loadCase
	rng      *rand.Rand
	pick     pickFunc
	hosts    []*Balancer
	table    *capacity.Table
	result   loadResult
	latency  []time.Duration
	requests int
	begun    time.Time
	pending  []delayedStatements
}

type delayedStatements struct {
	at   time.Time
	list []capacity.Statement
}

// unevenTargets returns targets of speed 0.7, 0.7 and 1.7 with six slots, of which three run at full speed.
func unevenTargets() []*loadTarget {
	var list []*loadTarget
	for i, speed := range []float64{0.7, 0.7, 1.7} {
		c := Candidate{Target: fleet.Target{ID: fmt.Sprintf("t%d", i), Domain: "d0", Slots: 6, Incarnation: 1}, Connected: true}
		list = append(list, &loadTarget{Candidate: c, speed: speed, cores: 3, alive: true})
	}
	return list
}

// run plays a case with a decision. Every case uses the same random sequence.
func (lc loadCase) run(pick pickFunc) loadResult {
	const duration = 12 * time.Second
	s := &loadSim{loadCase: lc, rng: rand.New(rand.NewPCG(lc.seed, 7)), pick: pick, table: capacity.NewTable(), begun: t0}
	s.result.share = make(map[string]int)
	s.targets = unevenTargets()
	for _, t := range s.targets {
		t.cores = max(lc.cores, t.cores)
	}
	if lc.targets != nil { // changes apply to copies
		s.targets = nil
		for _, t := range lc.targets {
			c := *t
			s.targets = append(s.targets, &c)
		}
	}
	total := 0.0
	for _, t := range s.targets {
		total += t.speed * t.cores / loadWork.Seconds()
		t.running = nil
	}
	for range max(lc.hosts, 1) {
		s.hosts = append(s.hosts, New("d0"))
	}
	s.measureAt = max(s.measureAt, 2*time.Second)
	arrivals := lc.load * total * loadStep.Seconds()
	for now := t0; now.Before(t0.Add(duration)); now = now.Add(loadStep) {
		s.step(now, arrivals)
	}
	slices.Sort(s.latency)
	s.result.p50, s.result.p99 = s.latency[len(s.latency)/2], s.latency[len(s.latency)*99/100]
	s.result.onTime /= float64(s.requests)
	return s.result
}

func (s *loadSim) step(now time.Time, arrivals float64) {
	if s.change != nil {
		s.change(now.Sub(t0), s.targets)
	}
	s.share(now)
	if s.rng.Float64() < arrivals {
		// Lengths are log-normal, and one request in 33 is five times as expensive.
		work := loadWork.Seconds() * math.Exp(0.4*s.rng.NormFloat64()-0.08) / 1.12
		if s.rng.IntN(33) == 0 {
			work *= 5
		}
		s.send(now, &loadRequest{host: s.rng.IntN(len(s.hosts)), work: work, begin: now})
	}
	for _, t := range s.targets {
		s.advance(now, t)
	}
}

// share passes statements between hosts as the leader does, with the delay of the case.
func (s *loadSim) share(now time.Time) {
	if len(s.hosts) == 1 || now.Sub(t0)%(100*time.Millisecond) != 0 {
		return
	}
	turn := int(now.Sub(t0) / (100 * time.Millisecond))
	for i, h := range s.hosts {
		if i%20 == turn%20 { // each host every 2 s
			for _, st := range h.Statements(now) {
				s.table.Add(now, st)
			}
		}
	}
	merged, _ := s.table.ChangedSince(now, 0)
	s.pending = append(s.pending, delayedStatements{now.Add(s.shareDelay), merged})
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		for _, h := range s.hosts {
			list := slices.Clone(s.pending[0].list)
			for i := range list {
				list[i].Age += s.shareDelay
			}
			h.Learn(now, list)
		}
		s.pending = s.pending[1:]
	}
}

// send sends a request to a target, and after a refusal to another one.
func (s *loadSim) send(now time.Time, r *loadRequest) {
	var list []Candidate
	for _, t := range s.targets {
		list = append(list, t.Candidate)
	}
	b := s.hosts[r.host]
	for range loadAttempts {
		id, ok := s.pick(now, b, list, r.tried)
		if !ok {
			break
		}
		i := slices.IndexFunc(s.targets, func(t *loadTarget) bool { return t.ID == id })
		t := s.targets[i]
		r.started, r.sentAt = b.Started(id), now
		if len(t.running) < t.Slots+loadQueue {
			t.running = append(t.running, r)
			return
		}
		b.RecordLoad(now, id, t.stated(now))
		b.FinishedAmong(now, id, Shed, 0, r.started)
		r.tried = append(r.tried, id)
	}
	s.record(now, r, false)
}

// record records the end of a request of the measured time. A failed one counts as one that took a second.
func (s *loadSim) record(now time.Time, r *loadRequest, completed bool) {
	if r.begin.Sub(t0) < s.measureAt {
		return
	}
	took := now.Sub(r.begin)
	if !completed {
		took = time.Second
	}
	s.requests++
	s.latency = append(s.latency, took)
	if took <= loadTimely {
		s.result.onTime++
	}
}

// advance completes requests of a target.
func (s *loadSim) advance(now time.Time, t *loadTarget) {
	if s.noise && !now.Before(t.nextSlow) {
		t.slowUntil = now.Add(noisePeriod)
		if t.nextSlow.IsZero() {
			t.slowUntil = now
		}
		t.nextSlow = t.slowUntil.Add(time.Duration(2 * s.rng.Float64() * float64(noisePeriod) * (1 - noiseShare) / noiseShare))
	}
	done := t.rate(now) * loadStep.Seconds()
	slot := 0
	t.running = slices.DeleteFunc(t.running, func(r *loadRequest) bool {
		if slot++; slot > t.Slots && now.Sub(r.sentAt) < silence {
			return false
		}
		if t.alive {
			r.work -= done
		}
		if r.work > 0 && now.Sub(r.sentAt) < silence {
			return false
		}
		s.finish(now, t, r)
		return true
	})
}

func (s *loadSim) finish(now time.Time, t *loadTarget, r *loadRequest) {
	b := s.hosts[r.host]
	if r.work > 0 {
		b.FinishedAmong(now, t.ID, Failed, 0, r.started)
		s.record(now, r, false)
		return
	}
	b.RecordLoad(now, t.ID, t.stated(now))
	b.FinishedAmong(now, t.ID, OK, now.Sub(r.sentAt), r.started)
	s.result.share[t.ID]++
	s.record(now, r, true)
}

// mean returns the mean of the results of two seeds.
func (lc loadCase) mean(pick pickFunc) loadResult {
	lc.seed = 1
	sum := lc.run(pick)
	lc.seed = 2
	second := lc.run(pick)
	sum.onTime, sum.p50, sum.p99 = (sum.onTime+second.onTime)/2, (sum.p50+second.p50)/2, (sum.p99+second.p99)/2
	return sum
}

// Guards against requests that are late on targets of different speeds, which are slow before they are full, although
// others would have completed them in time, and against callers that wait for an answer that comes too late. At 0.6 of the
// capacity nearly all are on time, and the decisions differ by chance; at 0.9 the rounding of a processor may matter.
func TestCompletionTimeBeatsFixedSlotsAndLeastOutstanding(t *testing.T) {
	for _, hosts := range []int{1, 20} {
		for _, noise := range []bool{false, true} {
			for load, chance := range map[float64]float64{0.6: 0.002, 0.9: 0.001, 1.2: 0} {
				lc := loadCase{load: load, noise: noise, hosts: hosts}
				got, slots, least := lc.mean(pickByCompletion), lc.mean(pickByFixedSlots), lc.mean(pickByLeastOutstanding)
				t.Logf("hosts %2d, noise %5t, load %.1f: completion %s | without refusals %s | fixed slots %s | least outstanding %s", hosts, noise, load, got,
					lc.mean(pickWithoutRefusals), slots, least)
				if best := max(slots.onTime, least.onTime); got.onTime < best-chance {
					t.Errorf("hosts %d, noise %t, load %.1f: %.4f on time, %.4f with a simpler decision", hosts, noise, load, got.onTime, best)
				}
			}
		}
	}
}

// Guards against losses where a choice matters little, because the targets are slow only when they are full.
func TestCompletionTimeDoesNoHarmIfTargetsAreSlowOnlyWhenFull(t *testing.T) {
	const chance = 0.005
	for _, load := range []float64{0.6, 0.9, 1.2} {
		lc := loadCase{load: load, noise: true, hosts: 20, cores: 6}
		got, slots, least := lc.run(pickByCompletion), lc.run(pickByFixedSlots), lc.run(pickByLeastOutstanding)
		t.Logf("load %.1f: completion %s | fixed slots %s | least outstanding %s", load, got, slots, least)
		if best := max(slots.onTime, least.onTime); got.onTime < best-chance {
			t.Errorf("load %.1f: %.4f on time, %.4f with a simpler decision", load, got.onTime, best)
		}
	}
}

// Guards against estimates, and messages about them, for services whose targets are alike, and against none for others.
func TestEstimatesAreUsedOnlyIfTargetsDiffer(t *testing.T) {
	equal := func(int) time.Duration { return 25 * time.Millisecond }
	for _, c := range []struct {
		name     string
		slowness int
		latency  func(target int) time.Duration
		growing  bool // with the number of requests
		used     bool
	}{
		{name: "alike", latency: equal},
		{name: "a tenth apart", latency: func(i int) time.Duration { return time.Duration(25+i) * time.Millisecond }},
		{name: "two speeds", latency: func(i int) time.Duration { return time.Duration(25+15*i) * time.Millisecond }, used: true},
		{name: "four figures", latency: equal, slowness: 100, used: true},
		{name: "slow down with load", latency: equal, growing: true, used: true},
	} {
		b, list := New("d0"), candidates(2)
		for i := range list {
			list[i].Incarnation = 1
		}
		now := t0
		for range 60 {
			now = now.Add(50 * time.Millisecond)
			b.Pick(now, list, nil)
			for i := range 2 {
				for n := range 6 {
					latency := c.latency(i)
					if c.growing {
						latency *= time.Duration(n + 1)
					}
					b.Started(list[i].ID)
					b.RecordLoad(now, list[i].ID, LoadReport{Running: 1, Slots: 6, SlownessPercent: c.slowness})
					s := b.statsFor(list[i].ID)
					s.inflight = n + 1
					b.FinishedAmong(now, list[i].ID, OK, latency, n+1)
					s.inflight = 0
				}
			}
		}
		if used := b.services[""].usesEstimates; used != c.used || (len(b.Statements(now)) > 0) != c.used {
			t.Errorf("%s: estimates in use: %t", c.name, used)
		}
	}
}

// at returns a change of a load test that is made once a time is reached.
func at(when time.Duration, change func([]*loadTarget)) func(time.Duration, []*loadTarget) {
	done := false
	return func(now time.Duration, targets []*loadTarget) {
		if now == 0 {
			done = false // another run of the same case
		}
		if now >= when && !done {
			done = true
			change(targets)
		}
	}
}

// compare runs a case and fails if fewer requests are on time than with fixed slots, or than the least share.
func (lc loadCase) compare(t *testing.T, least float64) loadResult {
	t.Helper()
	got, slots := lc.run(pickByCompletion), lc.run(pickByFixedSlots)
	t.Logf("completion %s %v | fixed slots %s %v", got, got.share, slots, slots.share)
	if got.onTime < slots.onTime || got.onTime < least {
		t.Errorf("%.4f on time, %.4f with fixed slots, want %.4f at least", got.onTime, slots.onTime, least)
	}
	return got
}

// Guards against targets that are avoided, or callers that are refused, long after all targets were slow at once.
func TestAllTargetsSlowAtOnceRecover(t *testing.T) {
	scale := func(factor float64) func([]*loadTarget) {
		return func(targets []*loadTarget) {
			for _, target := range targets {
				target.speed *= factor
			}
		}
	}
	slow, recover := at(6*time.Second, scale(0.3)), at(9*time.Second, scale(1/0.3))
	lc := loadCase{load: 0.6, measureAt: 10 * time.Second, change: func(now time.Duration, targets []*loadTarget) {
		slow(now, targets)
		recover(now, targets)
	}}
	lc.compare(t, 0.99)
}

// Guards against requests that go on to wait for the fastest target after its loss, and against overload of the others.
func TestLossOfFastestTarget(t *testing.T) {
	lc := loadCase{load: 0.3, measureAt: 7 * time.Second, change: at(6*time.Second, func(targets []*loadTarget) { targets[2].alive = false })}
	lc.compare(t, 0.9)
}

// Guards against a target that gets more, or less, than it handles well because of what it states.
func TestFalseStatementsAreNotBelieved(t *testing.T) {
	boast := func(l capacity.Load) capacity.Load { return capacity.Load{Slots: 60, SlownessPercent: 20} }
	complain := func(l capacity.Load) capacity.Load {
		return capacity.Load{Running: 40, Waiting: 20, Slots: 2, SlownessPercent: 500}
	}
	honest := loadCase{load: 0.7}.run(pickByCompletion)
	for name, lies := range map[string][]func(capacity.Load) capacity.Load{"boast": {boast, nil, nil}, "complaint": {nil, nil, complain}, "both": {boast, nil, complain}} {
		targets := unevenTargets()
		for i, lie := range lies {
			targets[i].lie = lie
		}
		got := loadCase{load: 0.7, targets: targets}.run(pickByCompletion)
		t.Logf("%s: %s %v; honest: %s %v", name, got, got.share, honest, honest.share)
		if got.onTime < honest.onTime-0.01 {
			t.Errorf("%s: %.4f on time, %.4f if all targets state the truth", name, got.onTime, honest.onTime)
		}
	}
}

// Guards against hosts that follow each other's statements late, and so all change to the same target.
func TestLateStatementsDoNoHarm(t *testing.T) {
	for _, load := range []float64{0.6, 0.9} {
		loadCase{load: load, hosts: 20, noise: true, shareDelay: 5 * time.Second}.compare(t, 0.5)
	}
}

// Guards against requests that wait for targets beyond a cut, and against overload of the slow targets of the own domain.
func TestCutDomainWithOneFastAndTwoSlowTargets(t *testing.T) {
	targets := unevenTargets()
	for i, other := range unevenTargets() {
		other.ID, other.Domain = fmt.Sprintf("u%d", i), "d1"
		targets = append(targets, other)
	}
	lc := loadCase{load: 0.35, targets: targets, measureAt: 8 * time.Second, change: at(6*time.Second, func(targets []*loadTarget) {
		for _, target := range targets[3:] {
			target.alive = false
		}
	})}
	lc.compare(t, 0.9)
}

// Guards against a target that is filled up to a knee that it had before.
func TestKneeThatMoves(t *testing.T) {
	lc := loadCase{load: 0.5, measureAt: 8 * time.Second, change: at(6*time.Second, func(targets []*loadTarget) { targets[2].cores = 1 })}
	lc.compare(t, 0.9)
}
