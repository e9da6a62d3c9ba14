package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// accountLoad is the load of client accounts on engines of which half are lost for some seconds.
type accountLoad struct {
	accounts  int
	skew      float64 // exponent of the accounts' sizes
	items     int     // items of all accounts in an interval
	greedy    int     // account that submits greedyFactor times its items
	interval  time.Duration
	deadline  time.Duration
	lostAfter time.Duration // when half of the engines are lost, for lostFor
	lostFor   time.Duration
	duration  time.Duration
}

const greedyFactor = 10

var evictedEngines = accountLoad{accounts: 72, skew: 1.2, items: 200, greedy: 3, interval: 4 * time.Second, deadline: 7500 * time.Millisecond,
	lostAfter: 8 * time.Second, lostFor: 10 * time.Second, duration: 32 * time.Second}

// itemsOf returns the number of items that an account submits in an interval.
func (l *accountLoad) itemsOf(account int) int {
	total := 0.0
	for i := range l.accounts {
		total += math.Pow(float64(i+1), -l.skew)
	}
	n := max(1, int(math.Round(float64(l.items)*math.Pow(float64(account+1), -l.skew)/total)))
	if account == l.greedy {
		n *= greedyFactor
	}
	return n
}

// play runs the load and returns the share of its items that each account got in time. Without names the scheduler knows
// no accounts, and the earliest deadline goes first.
func (l *accountLoad) play(named bool) []float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	s := New()
	all := newEngines(9)
	remaining := make(map[Key]time.Duration) // of the runs
	owner, submitted := make(map[string]int), make(map[string]time.Time)
	asked, inTime := make([]float64, l.accounts), make([]float64, l.accounts)
	for elapsed := time.Duration(0); elapsed < l.duration; elapsed += simStep {
		now := testStart.Add(elapsed)
		engines := all
		if elapsed >= l.lostAfter && elapsed < l.lostAfter+l.lostFor {
			engines = all[:5]
		}
		s.SetEngines(engines)
		for a := range l.accounts {
			phase := time.Duration(a) * l.interval / time.Duration(l.accounts) / simStep * simStep
			if elapsed%l.interval != phase {
				continue
			}
			id := fmt.Sprintf("%02d-%03d", a, elapsed/l.interval)
			var tasks []Task
			for i := range l.itemsOf(a) {
				t := Task{Job: id, Item: fmt.Sprintf("%s-%04d", id, i), Service: "s", RemainingTokens: 600 + rng.IntN(1200), Deadline: now.Add(l.deadline)}
				if named {
					t.Account = fmt.Sprintf("account-%02d", a)
				}
				tasks = append(tasks, t)
			}
			owner[id], submitted[id] = a, now
			if elapsed+l.deadline <= l.duration {
				asked[a] += float64(len(tasks))
			}
			s.AddJob(id, tasks)
		}
		for id, at := range submitted {
			if now.Sub(at) > l.deadline {
				s.EndJob(id)
			}
		}
		for _, a := range s.AssignTasks(now) {
			remaining[a.Task.Key()] = time.Duration(a.Task.RemainingTokens) * 1500 * time.Microsecond
		}
		for _, k := range sortedRuns(remaining) {
			if remaining[k] -= simStep; remaining[k] > 0 {
				continue
			}
			delete(remaining, k)
			if at := submitted[k.Job]; now.Sub(at) <= l.deadline && at.Add(l.deadline).Sub(testStart) <= l.duration {
				inTime[owner[k.Job]]++
			}
			s.EndRun(now, k, Finished, 0, 0)
		}
	}
	for a := range asked {
		inTime[a] /= asked[a]
	}
	return inTime
}

func sortedRuns(runs map[Key]time.Duration) []Key {
	var keys []Key
	for k := range runs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if a.Item < b.Item {
			return -1
		}
		return 1
	})
	return keys
}

// fairShare returns the max-min fair share of an account, in items of an interval, while capacity items can be done.
func (l *accountLoad) fairShare(capacity float64) float64 {
	var asked []int
	for a := range l.accounts {
		asked = append(asked, l.itemsOf(a))
	}
	slices.Sort(asked)
	for i, n := range asked {
		if share := capacity / float64(len(asked)-i); float64(n) > share {
			return share
		}
		capacity -= float64(n)
	}
	return float64(asked[len(asked)-1])
}

// summary returns the median and the least share of the accounts that ask for at most limit items, and the share of the
// greedy account.
func (l *accountLoad) summary(shares []float64, limit float64) (median, least, greedy float64) {
	var within []float64
	for a, share := range shares {
		if a != l.greedy && float64(l.itemsOf(a)) <= limit {
			within = append(within, share)
		}
	}
	slices.Sort(within)
	return within[len(within)/2], within[0], shares[l.greedy]
}

// Guards against one account that asks for ten times its share and delays the others while half of the engines are lost.
func TestSharesProtectAccountsFromAGreedyOne(t *testing.T) {
	l := evictedEngines
	const itemsPerSlot = 4 / 1.8 // in an interval; an item takes 1.8 s in the mean
	limit := l.fairShare(5 * 12 * itemsPerSlot)
	median, least, greedy := l.summary(l.play(true), limit)
	fcfsMedian, fcfsLeast, fcfsGreedy := l.summary(l.play(false), limit)
	t.Logf("fair share %.1f items; share of the items in time, median, least, greedy account: by shares %.3f, %.3f, %.3f; earliest deadline first %.3f, %.3f, %.3f",
		limit, median, least, greedy, fcfsMedian, fcfsLeast, fcfsGreedy)
	if median < fcfsMedian || least < fcfsLeast {
		t.Errorf("the other accounts got %.3f and %.3f at least by shares, %.3f and %.3f without", median, least, fcfsMedian, fcfsLeast)
	}
	if least < 0.9 {
		t.Errorf("an account within its share got %.3f of its items in time, want 0.9", least)
	}
	if greedy == 0 {
		t.Error("the greedy account was starved")
	}
}

// Guards against shares that change the order of jobs of accounts that are all within their shares.
func TestAccountsWithinTheirSharesAreServedByDeadline(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(1))
	for i, account := range []string{"a", "b"} {
		job := fmt.Sprintf("j%d", i)
		var tasks []Task
		for k := range 8 {
			tasks = append(tasks, Task{Job: job, Item: fmt.Sprintf("%s-%d", job, k), Service: "s", Account: account, Deadline: testStart.Add(time.Duration(9-i) * time.Second)})
		}
		s.AddJob(job, tasks)
	}
	got := map[string]int{}
	for _, a := range s.AssignTasks(testStart) {
		got[a.Task.Account]++
	}
	if got["b"] != 8 || got["a"] != 4 {
		t.Errorf("assigned %v, want all 8 tasks with the earlier deadline and 4 others", got)
	}
}

// Guards against an account that gets many times its share since it states less output than its items have.
func TestSharesFollowTheOutput(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(1))
	for i := range 240 {
		account := string(rune('a' + i%2))
		id := fmt.Sprintf("%s%03d", account, i)
		s.AddJob(id, []Task{{Job: id, Item: id, Service: "s", Account: account, RemainingTokens: 400, Deadline: testStart.Add(time.Duration(i))}})
	}
	output := map[string]int{"a": 4000, "b": 400} // of an item
	given := make(map[string]int)
	for range 10 {
		for _, a := range s.AssignTasks(testStart) {
			given[a.Task.Account] += output[a.Task.Account]
			s.ChargeOutput(a.Task.Key(), output[a.Task.Account])
			s.EndRun(testStart, a.Task.Key(), Finished, 0, 0)
		}
	}
	if given["a"] > 2*given["b"] {
		t.Errorf("tokens given: %v", given)
	}
}

// newWaitingJobs returns a scheduler whose engines are full, with some 100 waiting tasks in each job. The jobs belong to as
// many client accounts; 0 is none.
func newWaitingJobs(jobs, accounts int) *Scheduler {
	s := New()
	s.SetEngines(newEngines(48))
	for i := range jobs {
		id, account := fmt.Sprintf("j%d", i), ""
		if accounts > 0 {
			account = fmt.Sprintf("account-%02d", i%accounts)
		}
		var tasks []Task
		for k := range 100 {
			tasks = append(tasks, Task{Job: id, Item: fmt.Sprintf("%s-%d", id, k), Service: "s", Account: account, RemainingTokens: 600, Deadline: testStart.Add(time.Duration(i))})
		}
		s.AddJob(id, tasks)
	}
	s.AssignTasks(testStart)
	return s
}

// Guards against rounds of the runner whose cost grows with the number of jobs times the number of accounts.
func TestCostOfSharesIsThatOfJobs(t *testing.T) {
	const jobs = 150
	s := newWaitingJobs(jobs, 72)
	if perJob := testing.AllocsPerRun(10, func() { s.AssignTasks(testStart) }) / jobs; perJob > 3 {
		t.Errorf("%.1f allocations for a job", perJob)
	}
}

func BenchmarkAssignWhenFullByShares(b *testing.B) {
	for _, accounts := range []int{0, 72} {
		s := newWaitingJobs(150, accounts)
		b.Run(fmt.Sprintf("%d_accounts", accounts), func(b *testing.B) {
			for b.Loop() {
				s.AssignTasks(testStart)
			}
		})
	}
}
