package autoscale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/routes"
)

var testScale = routes.Scale{Min: 1, Max: 24, BootTime: 4 * time.Second, SpotPrice: 0.22,
	DomainPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}}

const (
	simStep       = 100 * time.Millisecond
	planEvery     = 500 * time.Millisecond
	simWindow     = 7500 * time.Millisecond
	simPeriod     = 4 * time.Second
	simModels     = 4
	tokensPerStep = 20_000 // of one model
	tokensPerSec  = 1000   // of one target
)

var simStart = time.Unix(1000, 0)

// simTarget is a target at the platform.
type simTarget struct {
	report   fleet.Target
	servesAt time.Time
	endsAt   time.Time // zero unless it is taken away
}

// simOrder is an order that is carried out at a time.
type simOrder struct {
	at    time.Time
	order Order
}

// world is a platform, its targets and trainers in simulated time. Targets do the work in the order of its deadlines.
type world struct {
	t       *testing.T
	scale   routes.Scale
	now     time.Time
	planner *Planner
	rng     *rand.Rand
	targets []*simTarget
	nextID  int
	jobs    []OpenWork
	later   []simOrder

	// The conditions of the test; each may be nil.
	load        func(now time.Time) float64 // factor of the tokens of a job
	unavailable func(c Cell) bool
	loseAnswer  func() (lost bool, carriedOutAfter time.Duration)
	hidden      func(t *simTarget) bool // reports of the target do not arrive
	noDemand    func() bool
	varied      bool // steps have 5 to 20 groups of 8 to 16 items
	// stated is the part of the tokens that the demand states, 1 if 0.
	stated float64

	submitted, late, calls, turns int
	cost                          float64
	lastChange                    map[Cell]int // sign of the last accepted change
	sizes                         [simModels][]float64
}

func newWorld(t *testing.T, perCell map[Cell]int) *world {
	w := &world{t: t, scale: testScale, now: simStart, planner: New("s"), rng: rand.New(rand.NewPCG(1, 2)), lastChange: make(map[Cell]int)}
	for _, d := range []string{"a", "b", "c", "d"} {
		for _, k := range Kinds {
			w.start(Cell{d, k}, perCell[Cell{d, k}], 0)
		}
	}
	return w
}

// even returns the same number of targets of both kinds in each failure domain.
func even(onDemand, spot int) map[Cell]int {
	m := make(map[Cell]int)
	for _, d := range []string{"a", "b", "c", "d"} {
		m[Cell{d, OnDemand}], m[Cell{d, Spot}] = onDemand, spot
	}
	return m
}

func (w *world) start(c Cell, n int, boot time.Duration) {
	for range n {
		w.nextID++
		w.targets = append(w.targets, &simTarget{servesAt: w.now.Add(boot), report: fleet.Target{ID: fmt.Sprintf("t%03d", w.nextID), Domain: c.Domain,
			Spot: c.Kind == Spot, State: fleet.Ready}})
	}
}

func (w *world) in(c Cell) []*simTarget {
	var list []*simTarget
	for _, t := range w.targets {
		if cellOf(&t.report) == c && t.report.State == fleet.Ready {
			list = append(list, t)
		}
	}
	return list
}

// loseHalf takes the on-demand targets of two failure domains away.
func (w *world) loseHalf() {
	w.takeAway(w.in(Cell{"a", OnDemand}))
	w.takeAway(w.in(Cell{"b", OnDemand}))
}

// takeAway drains targets for 2 s, after which they are gone.
func (w *world) takeAway(list []*simTarget) {
	for _, t := range list {
		t.report.State, t.endsAt = fleet.Draining, w.now.Add(2*time.Second)
	}
}

func (w *world) execute(o Order) {
	list := w.in(o.Cell)
	if o.Count < len(list) {
		w.takeAway(list[o.Count:])
	}
	w.start(o.Cell, o.Count-len(list), w.scale.BootTime)
}

func (w *world) serving() int {
	n := 0
	for _, t := range w.targets {
		if t.report.State == fleet.Ready && !w.now.Before(t.servesAt) {
			n++
		}
	}
	return n
}

func (w *world) factor() float64 {
	if w.load == nil {
		return 1
	}
	return w.load(w.now)
}

// run plays the world until a time after its start.
func (w *world) run(until time.Duration, at map[time.Duration]func()) {
	for ; w.now.Sub(simStart) < until; w.now = w.now.Add(simStep) {
		elapsed := w.now.Sub(simStart)
		if f := at[elapsed]; f != nil {
			f()
		}
		for m := range simModels {
			if (elapsed-time.Duration(m)*time.Second)%simPeriod == 0 && elapsed >= time.Duration(m)*time.Second {
				w.submit(m)
			}
		}
		w.work()
		if elapsed%planEvery == 0 {
			w.plan()
		}
	}
}

// submit submits a job of a model.
func (w *world) submit(m int) {
	tokens := tokensPerStep * w.factor()
	if w.varied {
		tokens *= float64((5+w.rng.IntN(16))*(8+w.rng.IntN(9))) / (12.5 * 12)
	}
	w.jobs = append(w.jobs, OpenWork{w.now.Add(simWindow), tokens})
	w.sizes[m] = append(w.sizes[m], tokens)
	w.sizes[m] = w.sizes[m][max(len(w.sizes[m])-16, 0):]
	w.submitted++
}

// work lets the targets and the platform work for one step of time.
func (w *world) work() {
	w.later = slices.DeleteFunc(w.later, func(o simOrder) bool {
		if w.now.Before(o.at) {
			return false
		}
		w.execute(o.order)
		return true
	})
	w.targets = slices.DeleteFunc(w.targets, func(t *simTarget) bool { return !t.endsAt.IsZero() && !w.now.Before(t.endsAt) })
	for _, t := range w.targets {
		c := cellOf(&t.report)
		w.cost += (&costModel{scale: &w.scale}).price(c) * simStep.Seconds()
		if !w.hides(t) {
			t.report.ReportedAt = w.now
		}
	}
	tokens := float64(w.serving()) * tokensPerSec * simStep.Seconds()
	for i := range w.jobs {
		done := min(tokens, w.jobs[i].Tokens)
		w.jobs[i].Tokens -= done
		tokens -= done
	}
	w.jobs = slices.DeleteFunc(w.jobs, func(j OpenWork) bool {
		if j.Tokens <= 0 && w.now.After(j.Deadline) {
			w.late++
		}
		return j.Tokens <= 0
	})
}

func (w *world) hides(t *simTarget) bool { return w.hidden != nil && w.hidden(t) }

func (w *world) demand() *Demand {
	if w.noDemand != nil && w.noDemand() {
		return nil
	}
	d := &Demand{StatedAt: w.now, TokensPerSecond: tokensPerSec, Open: slices.Clone(w.jobs)}
	for m, sizes := range w.sizes {
		if len(sizes) == 0 {
			continue
		}
		md := ModelDemand{Model: fmt.Sprint("m", m), Jobs: 8, MaxTokens: slices.Max(sizes), Period: simPeriod, Window: simWindow}
		for _, tokens := range sizes {
			md.MeanTokens += tokens
		}
		md.MeanTokens /= float64(len(sizes))
		d.Models = append(d.Models, md)
	}
	if w.stated > 0 {
		d.TokensPerSecond /= w.stated
	}
	return d
}

// input returns what the planner gets to see.
func (w *world) input() *Input {
	in := &Input{Scale: w.scale, Demand: w.demand()}
	for _, t := range w.targets {
		if !w.now.Before(t.servesAt) && !(w.hides(t) && t.report.ReportedAt.IsZero()) {
			in.Targets = append(in.Targets, t.report)
		}
	}
	return in
}

func (w *world) plan() {
	for _, o := range w.planner.Plan(w.now, w.input()) {
		w.calls++
		w.planner.Record(w.now, &o, w.send(o))
	}
}

func (w *world) send(o Order) Result {
	sign := 1
	if o.Count < len(w.in(o.Cell)) {
		sign = -1
	}
	if w.unavailable != nil && sign > 0 && w.unavailable(o.Cell) {
		return Unavailable
	}
	if w.lastChange[o.Cell] == -sign {
		w.turns++
	}
	w.lastChange[o.Cell] = sign
	if w.loseAnswer != nil {
		if lost, after := w.loseAnswer(); lost {
			w.later = append(w.later, simOrder{w.now.Add(after), o})
			return Unanswered
		}
	}
	w.execute(o)
	return Accepted
}

func (w *world) report() {
	w.t.Logf("%d of %d steps late, %d calls, %d turns, cost %.0f, %d targets serve, need %d", w.late, w.submitted, w.calls, w.turns, w.cost, w.serving(), w.planner.need)
}
