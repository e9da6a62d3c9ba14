package autoscale

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/fleet"
)

// TestMain sets a fixed seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "200"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// expect fails the test if a figure of the world is above its bound.
func (w *world) expect(late, calls, turns int) {
	w.t.Helper()
	w.report()
	if w.late > late || w.calls > calls || w.turns > turns {
		w.t.Errorf("more than %d late steps, %d calls or %d turns", late, calls, turns)
	}
}

// Guards against steps that stay late because lost targets are only ordered where none are to be had, and against calls
// without a pause there.
func TestHalfOfTheTargetsTakenAway(t *testing.T) {
	w := newWorld(t, even(10, 0))
	lostAt := 8 * time.Second
	w.unavailable = func(c Cell) bool {
		since := w.now.Sub(simStart) - lostAt
		return (c.Domain == "a" || c.Domain == "b") && since >= 0 && since < 10*time.Second
	}
	w.run(60*time.Second, map[time.Duration]func(){lostAt: w.loseHalf, lostAt + 6*time.Second: func() {
		if w.serving() < w.planner.need {
			t.Errorf("%d targets serve after 6 s, need %d", w.serving(), w.planner.need)
		}
	}})
	w.expect(5, 20, 6)
}

// Guards against late steps after a reclaim while no target is to be had anywhere, and against calls without a pause.
func TestReclaimWithNothingToBeHad(t *testing.T) {
	w := newWorld(t, even(5, 5))
	reclaimAt := 60 * time.Second
	w.unavailable = func(Cell) bool {
		since := w.now.Sub(simStart) - reclaimAt
		return since >= 0 && since < 10*time.Second
	}
	calls := 0
	w.run(90*time.Second, map[time.Duration]func(){reclaimAt: func() {
		calls = w.calls
		w.takeAway(w.in(Cell{"b", Spot}))
	}, reclaimAt + 10*time.Second: func() {
		if w.calls-calls > 32 {
			t.Errorf("%d calls in 10 s", w.calls-calls)
		}
	}})
	w.expect(0, 50, 4)
	if m, _, _ := w.planner.counts(w.now); m.safe() < w.planner.need {
		t.Errorf("the loss was not made good: %d of %d are safe", m.safe(), w.planner.need)
	}
}

// Guards against orders that are repeated without end, and far too many targets, while answers are lost and the orders are
// carried out 2 to 12 s later.
func TestLostAnswers(t *testing.T) {
	w := newWorld(t, even(5, 5))
	w.loseAnswer = func() (bool, time.Duration) {
		return w.now.Sub(simStart) < 60*time.Second, 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	most := 0
	at := map[time.Duration]func(){20 * time.Second: func() { w.takeAway(w.in(Cell{"a", OnDemand})); w.takeAway(w.in(Cell{"c", Spot})) }}
	for s := 20; s < 100; s++ {
		f := at[time.Duration(s)*time.Second]
		at[time.Duration(s)*time.Second] = func() {
			if f != nil {
				f()
			}
			most = max(most, w.serving())
		}
	}
	w.run(100*time.Second, at)
	w.expect(2, 30, 8)
	if most > 2*w.planner.need {
		t.Errorf("up to %d targets, need %d", most, w.planner.need)
	}
}

// Guards against a number that turns back and forth while the demand rises and falls slowly, and against late steps.
func TestSlowChangeOfDemand(t *testing.T) {
	w := newWorld(t, even(6, 4))
	w.load = func(now time.Time) float64 {
		s := now.Sub(simStart).Seconds()
		return 0.6 + 0.6*max(0, 1-abs(s-120)/100)
	}
	w.run(300*time.Second, nil)
	w.expect(0, 60, 16)
}

// Guards against a number that follows the size of each step.
func TestStepsOfVariedSize(t *testing.T) {
	w := newWorld(t, even(8, 8))
	w.varied = true
	w.run(600*time.Second, nil)
	w.expect(0, 60, 16)
}

// Guards against steps that stay late because the stated speed of targets is too high.
func TestLateStepsRaiseTheNeed(t *testing.T) {
	w := newWorld(t, even(4, 4))
	w.stated = 0.35
	w.run(150*time.Second, nil)
	late := w.late
	if w.run(250*time.Second, nil); late == 0 || w.late-late > 5 {
		t.Errorf("%d steps late in the last 100 s", w.late-late)
	}
}

// Guards against waiting for an order without an answer while the work needs its targets now.
func TestUnansweredOrderIsHedged(t *testing.T) {
	w := newWorld(t, even(10, 0))
	lostAt := 8 * time.Second
	w.loseAnswer = func() (bool, time.Duration) { return w.now.Sub(simStart) == lostAt, time.Hour }
	w.run(lostAt+6*time.Second, map[time.Duration]func(){lostAt: w.loseHalf})
	if w.expect(0, 20, 0); w.serving() < w.planner.need {
		t.Errorf("%d targets serve 6 s after the loss, need %d", w.serving(), w.planner.need)
	}
}

func abs(x float64) float64 { return max(x, -x) }

// Guards against a new leader that orders fewer targets than there are, because it knows only half of them yet, or orders
// anything before it knows the demand.
func TestNewLeaderWithHalfOfThePicture(t *testing.T) {
	w := newWorld(t, even(5, 5))
	w.hidden = func(s *simTarget) bool { return s.report.ID > "t020" && w.now.Sub(simStart) < 5*time.Second }
	w.noDemand = func() bool { return w.now.Sub(simStart) < 12*time.Second }
	w.run(15*time.Second, nil)
	if w.expect(0, 0, 0); w.serving() != 40 {
		t.Errorf("%d targets serve, want 40", w.serving())
	}
}

// Guards against orders that follow heartbeats that come and go: targets out of sight must not be ended by an order for
// those in sight.
func TestFlappingHeartbeats(t *testing.T) {
	w := newWorld(t, even(5, 5))
	w.hidden = func(s *simTarget) bool {
		return s.report.Domain == "b" && s.report.ID <= "t040" && int(w.now.Sub(simStart).Seconds())%20 >= 8
	}
	w.run(200*time.Second, nil)
	w.expect(0, 20, 2)
	for _, k := range Kinds {
		if len(w.in(Cell{"b", k})) < 5 {
			t.Errorf("targets of kind %s out of sight were ended", k)
		}
	}
}

// Guards against surplus targets that are kept forever, and against giving them up before 10 s of surplus.
func TestSavesSlowly(t *testing.T) {
	w := newWorld(t, even(16, 0))
	w.run(200*time.Second, map[time.Duration]func(){9 * time.Second: func() {
		if w.calls > 0 {
			t.Error("orders before there was a surplus for 10 s")
		}
	}})
	w.expect(0, 40, 6)
	m, _, _ := w.planner.counts(w.now)
	cm := costModel{scale: &testScale}
	if m.safe() < w.planner.need || cm.cost(m) > 32 {
		t.Errorf("%v costs %.1f a second, %d are safe, need %d", m, cm.cost(m), m.safe(), w.planner.need)
	}
}

// Guards against orders outside Min and Max, reductions below the need, orders without knowledge of the demand, and two
// changes of a cell within the boot time, whatever happens at the platform.
func TestOrdersKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, nil)
		w.scale.Min, w.scale.Max = rapid.IntRange(0, 3).Draw(rt, "min"), rapid.IntRange(4, 12).Draw(rt, "max")
		w.scale.SpotPrice = rapid.SampledFrom([]float64{0, 0.22}).Draw(rt, "spot price")
		for d := range w.scale.DomainPrices {
			w.start(Cell{d, OnDemand}, w.scale.Max/2, 0)
		}
		if rapid.Bool().Draw(rt, "more than the maximum") {
			w.start(Cell{"a", OnDemand}, w.scale.Max, 0)
		}
		changed, load := make(map[Cell]time.Time), 0.0
		for look := range 160 {
			if look%40 == 0 {
				load = float64(rapid.IntRange(1, 12).Draw(rt, "load"))
			}
			w.now = w.now.Add(planEvery)
			w.work()
			if rapid.IntRange(0, 29).Draw(rt, "loss") == 0 && len(w.targets) > 0 {
				w.takeAway(w.targets[:1])
			}
			in := w.input()
			in.Demand = nil
			if rapid.IntRange(0, 49).Draw(rt, "demand unknown") > 0 {
				in.Demand = &Demand{StatedAt: w.now, TokensPerSecond: 1000, Models: []ModelDemand{{Jobs: 9, Period: time.Second, MeanTokens: load * 600}}}
			}
			orders := w.planner.Plan(w.now, in)
			if in.Demand == nil && len(orders) > 0 {
				rt.Fatalf("orders without demand: %v", orders)
			}
			for i := range orders {
				w.checkBounds(rt, in, &orders[i])
				if at := changed[orders[i].Cell]; !at.IsZero() && w.now.Sub(at) < w.scale.BootTime {
					rt.Fatalf("%+v follows another change within the boot time", orders[i])
				}
			}
			for i := range orders {
				result := rapid.SampledFrom([]Result{Accepted, Unavailable, Unanswered, NotSent}).Draw(rt, "result")
				if result == Accepted || result == Unanswered && rapid.Bool().Draw(rt, "carried out") {
					w.execute(orders[i])
					if rapid.Bool().Draw(rt, "starts at once") {
						w.targets[len(w.targets)-1].servesAt = w.now
					}
				}
				if result == Accepted || result == Unanswered {
					changed[orders[i].Cell] = w.now
				}
				w.planner.Record(w.now, &orders[i], result)
			}
		}
	})
}

// checkBounds fails the test if an order leaves Min or Max or reduces the targets below the need.
func (w *world) checkBounds(rt *rapid.T, in *Input, o *Order) {
	present, others := len(w.in(o.Cell)), len(w.in(o.other()))
	low, _, _ := w.planner.counts(w.now)
	switch {
	case o.Count+others > w.scale.Max:
		rt.Fatalf("%+v exceeds the maximum %d with %d others", *o, w.scale.Max, others)
	case o.Count < present && o.Count+others < w.scale.Min:
		rt.Fatalf("%+v goes below the minimum %d with %d others", *o, w.scale.Min, others)
	case o.Count < present && low.safe() < in.Demand.targets(w.now, w.scale.BootTime):
		rt.Fatalf("%+v leaves fewer than the need: %v", *o, low)
	}
}

// Guards against a target that counts in a failure domain or as a kind that its ID had before: another machine may get the ID.
func TestTargetIsCountedWhereItIs(t *testing.T) {
	p, first, later := New("s"), Cell{"a", Spot}, Cell{"b", OnDemand}
	report := func(c Cell, state fleet.State) {
		target := fleet.Target{ID: "t", Domain: c.Domain, Spot: c.Kind == Spot, State: state, ReportedAt: simStart}
		p.Plan(simStart, &Input{Scale: testScale, Targets: []fleet.Target{target}})
	}
	report(first, fleet.Ready)
	report(Cell{"a", OnDemand}, fleet.Draining) // does not tell its kind
	if p.cell(first).isOpen(simStart, 0) {
		t.Error("no pause after a target was taken away")
	}
	if report(later, fleet.Ready); p.cell(first).serving != 0 || p.cell(later).serving != 1 {
		t.Errorf("serving by kind: %v", p.Status(simStart).Present)
	}
}
