package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var scoringEpoch = time.Unix(1000, 0)

func noOpenItems(string, string) int { return 1 }

func scoringCall(job, item, group string, due time.Duration) ScoringCall {
	return ScoringCall{Job: job, Item: item, Group: group, Service: "s", Deadline: scoringEpoch.Add(due), MaxServerErrors: 3}
}

func startedItems(calls []ScoringCall) string {
	var items []string
	for _, c := range calls {
		items = append(items, c.Item)
	}
	return fmt.Sprint(items)
}

// Guards against calls that occupy the slots that people need, and against a service without known
// targets that is never asked.
func TestScoringLimit(t *testing.T) {
	q := NewScoringQueue()
	for i := range 10 {
		q.Add(scoringCall("j", fmt.Sprint(i), "g", time.Second))
	}
	if n := len(q.Start(scoringEpoch, noOpenItems)); n != 1 {
		t.Errorf("%d calls to a service with unknown targets, want 1", n)
	}
	q.SetSlots(map[string]int{"s": 12})
	if n := len(q.Start(scoringEpoch, noOpenItems)); n != 5 {
		t.Errorf("%d more calls to a service with 12 slots, want 5", n)
	}
	q.Remove(Key{"j", "0"})
	if n := len(q.Start(scoringEpoch, noOpenItems)); n != 1 {
		t.Errorf("%d calls after one has ended, want 1", n)
	}
}

// Guards against scores that complete no group: the nearly complete group of the job that is due first
// must come before all others, and an overdue job last.
func TestScoringOrder(t *testing.T) {
	q := NewScoringQueue()
	q.SetSlots(map[string]int{"s": 100})
	q.Add(scoringCall("overdue", "a", "g", -time.Second))
	q.Add(scoringCall("later", "b", "g", 2*time.Second))
	q.Add(scoringCall("first", "c", "far", time.Second))
	q.Add(scoringCall("first", "d", "near", time.Second))
	open := map[string]int{"far": 4, "near": 1, "g": 1}
	got := startedItems(q.Start(scoringEpoch, func(_, group string) int { return open[group] }))
	if got != "[d c b a]" {
		t.Errorf("calls start in the order %s, want [d c b a]", got)
	}
}

// Guards against a call that is given up too early or never, and against repeated calls without a pause
// to a service that does not answer.
func TestScoringRetry(t *testing.T) {
	q := NewScoringQueue()
	q.Add(scoringCall("j", "a", "g", time.Second))
	key, now := Key{"j", "a"}, scoringEpoch
	start := func(want bool) {
		t.Helper()
		if started := len(q.Start(now, noOpenItems)) == 1; started != want {
			t.Fatalf("after %s the call starts: %v, want %v", now.Sub(scoringEpoch), started, want)
		}
	}
	start(true)
	if q.Retry(now, key, ScoringEnd{}) {
		t.Fatal("a call without an answer counts as failed")
	}
	start(false)
	now = now.Add(initialScoringBackoff)
	start(true)
	q.Retry(now, key, ScoringEnd{RetryAfter: 300 * time.Millisecond})
	now = now.Add(299 * time.Millisecond)
	start(false)
	now = now.Add(time.Millisecond)
	start(true)
	if q.Retry(now, key, ScoringEnd{ServerErrors: 2}) {
		t.Fatal("given up after 2 of 3 server errors")
	}
	start(true) // a server error needs no pause
	if !q.Retry(now, key, ScoringEnd{ServerErrors: 1}) {
		t.Error("not given up after 3 server errors")
	}
}

// Guards against a call that is lost when a configuration removes its route and the next one restores it.
func TestScoringWaitsForRoute(t *testing.T) {
	q := NewScoringQueue()
	q.Add(scoringCall("j", "a", "g", time.Second))
	q.Reroute(func(Key) string { return "" })
	if n := len(q.Start(scoringEpoch, noOpenItems)); n != 0 {
		t.Fatal("a call without a route starts")
	}
	q.Reroute(func(Key) string { return "other" })
	if calls := q.Start(scoringEpoch, noOpenItems); len(calls) != 1 || calls[0].Service != "other" {
		t.Errorf("calls after the route is back: %+v", calls)
	}
}

// Guards against a call that waits for a service without a route, because that changed while an attempt was in
// progress, and against slots that stay taken.
func TestScoringCallInProgressIsRerouted(t *testing.T) {
	q := NewScoringQueue()
	q.Add(scoringCall("j", "a", "g", time.Second))
	first := q.Start(scoringEpoch, noOpenItems)
	q.Reroute(func(Key) string { return "other" })
	q.Retry(scoringEpoch, first[0].Key(), ScoringEnd{})
	if calls := q.Start(scoringEpoch.Add(time.Minute), noOpenItems); len(calls) != 1 || calls[0].Service != "other" {
		t.Fatalf("next attempt: %+v, want one at the other service", calls)
	}
	if q.running[first[0].Service] != 0 || q.running["other"] != 1 {
		t.Errorf("calls in progress: %v, want one at the other service", q.running)
	}
}

// The load of the simulation: a service that loses a third of its targets, a scoring load that alone
// needs twice the slots that are left, and short requests of people beside it.
const (
	simSlots         = 24
	simScoringWork   = 200 * time.Millisecond
	simPersonWork    = 25 * time.Millisecond
	simGroups        = 60
	simGroupSize     = 4
	simJobInterval   = time.Second
	simJobDue        = 2 * time.Second
	simPersonsPerSec = 50
	simDuration      = 20 * time.Second
)

// scoringSimResult is what the callers of the simulation got.
type scoringSimResult struct {
	personsServedAtOnce, persons int
	groupsInTime, groups         int
}

// simulateScoring plays the load in steps of a millisecond. The plain alternative sends every call at
// once while a slot is free, in the order of arrival.
func simulateScoring(seed uint64, plain bool) scoringSimResult {
	type job struct {
		due  time.Time
		open map[string]int
	}
	r := rand.New(rand.NewPCG(seed, 1))
	q := NewScoringQueue()
	q.SetSlots(map[string]int{"s": simSlots})
	var waiting []ScoringCall // of the plain alternative
	jobs := make(map[string]*job)
	scoring := make(map[Key]time.Time) // end of the call by item
	group := make(map[Key]string)
	var persons []time.Time // end of the request
	var res scoringSimResult
	for now := scoringEpoch; now.Before(scoringEpoch.Add(simDuration)); now = now.Add(time.Millisecond) {
		since := now.Sub(scoringEpoch)
		if since%simJobInterval == 0 {
			id := fmt.Sprint("j", since/simJobInterval)
			j := &job{due: now.Add(simJobDue), open: make(map[string]int)}
			jobs[id] = j
			items := r.Perm(simGroups * simGroupSize) // groups become ready interleaved
			for _, i := range items {
				c := ScoringCall{Job: id, Item: fmt.Sprint(i), Group: fmt.Sprint(i / simGroupSize), Service: "s", Deadline: j.due, MaxServerErrors: 3}
				j.open[c.Group]++
				group[c.Key()] = c.Group
				q.Add(c)
				waiting = append(waiting, c)
			}
			res.groups += simGroups
		}
		for key, end := range scoring {
			if now.Before(end) {
				continue
			}
			delete(scoring, key)
			q.Remove(key)
			j := jobs[key.Job]
			j.open[group[key]]--
			if j.open[group[key]] == 0 && !now.After(j.due) {
				res.groupsInTime++
			}
		}
		persons = slices.DeleteFunc(persons, func(end time.Time) bool { return !now.Before(end) })
		if r.IntN(1000) < simPersonsPerSec {
			res.persons++
			if len(scoring)+len(persons) < simSlots {
				res.personsServedAtOnce++
				persons = append(persons, now.Add(simPersonWork))
			}
		}
		for id, j := range jobs { // the trainer ends a job that is due
			if now.After(j.due) {
				for key := range group {
					if key.Job == id {
						q.Remove(key)
						delete(group, key)
						delete(scoring, key)
					}
				}
				waiting = slices.DeleteFunc(waiting, func(c ScoringCall) bool { return c.Job == id })
				delete(jobs, id)
			}
		}
		var start []ScoringCall
		if plain {
			n := min(max(simSlots-len(scoring)-len(persons), 0), len(waiting))
			start, waiting = slices.Clone(waiting[:n]), waiting[n:]
		} else {
			start = q.Start(now, func(job, g string) int { return jobs[job].open[g] })
		}
		for _, c := range start {
			scoring[c.Key()] = now.Add(simScoringWork)
		}
	}
	return res
}

// Guards against scoring calls that push people aside: at twice the capacity that is left after the loss
// of a third of the targets, people must find a slot at once, and the groups that complete must be no
// fewer than those of a queue in the order of arrival that takes every slot.
func TestScoringLoad(t *testing.T) {
	for seed := range uint64(3) {
		plain, got := simulateScoring(seed, true), simulateScoring(seed, false)
		t.Logf("seed %d: people served at once %d of %d (plain %d), groups in time %d of %d (plain %d)", seed, got.personsServedAtOnce, got.persons,
			plain.personsServedAtOnce, got.groupsInTime, got.groups, plain.groupsInTime)
		if share := float64(got.personsServedAtOnce) / float64(got.persons); share < 0.99 {
			t.Errorf("seed %d: %.3f of the people find a slot, want 0.99", seed, share)
		}
		if got.groupsInTime < plain.groupsInTime {
			t.Errorf("seed %d: %d groups in time, %d in the order of arrival", seed, got.groupsInTime, plain.groupsInTime)
		}
	}
}
