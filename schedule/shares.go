package schedule

import (
	"slices"
	"time"

	"fuchsiaflow/fairshare"
)

// The order of jobs of client accounts is made for engines that are scarce: full, slow or evicted. An account that asks for
// many times its share then delays only its own steps, and those of the others start on time. While all accounts are within
// their shares, the job with the earliest deadline goes first, as without accounts.

// jobWorkSampleWeight is the weight of a new job in the moving average of the work of a job.
const jobWorkSampleWeight = 0.2

// competitor returns the account of the task as it competes for engines.
func (t *Task) competitor() fairshare.Account {
	return fairshare.Account{Name: t.Account, Priority: fairshare.Priority{Account: t.AccountPriority, Route: t.RoutePriority}}
}

// work returns what the account is charged for a run of the task, in tokens.
func (t *Task) work() float64 { return float64(t.finalKVTokens()) }

// ChargeOutput charges the account of a running task for the tokens that the run has generated, in place of the estimate, which
// the client has stated. It is called once, before the end of a run that has completed its item.
func (s *Scheduler) ChargeOutput(key Key, tokens int) {
	j := s.jobs[key.Job]
	if j == nil || j.running[key.Item] == nil {
		return
	}
	t := j.running[key.Item].task
	s.shares.Charge(t.competitor(), float64(t.PromptTokens+tokens)-t.work())
}

// recordJobWork adds a job to the moving average of the work of a job.
func (s *Scheduler) recordJobWork(tasks []*Task) {
	work := 0.0
	for _, t := range tasks {
		work += t.work()
	}
	if s.jobWork == 0 {
		s.jobWork = work
		return
	}
	s.jobWork += jobWorkSampleWeight * (work - s.jobWork)
}

// competitor returns the account of a job. All tasks of a job have the same.
func (j *job) competitor() (a fairshare.Account, ok bool) {
	if len(j.waiting) > 0 {
		return j.waiting[0].competitor(), true
	}
	for _, r := range j.running {
		return r.task.competitor(), true
	}
	return a, false
}

// hasAccounts reports whether a job belongs to a client account.
func (s *Scheduler) hasAccounts() bool {
	for _, j := range s.jobs {
		if a, ok := j.competitor(); ok && a.Name != "" {
			return true
		}
	}
	return false
}

// contender is a job with waiting tasks and its account.
type contender struct {
	*job
	account fairshare.Account
}

// contenders returns the jobs with waiting tasks, that with the earliest deadline first.
func (s *Scheduler) contenders() []contender {
	var list []contender
	for _, id := range s.jobsByDeadline() {
		if j := s.jobs[id]; len(j.waiting) > 0 {
			list = append(list, contender{j, j.waiting[0].competitor()})
		}
	}
	return list
}

// assignByShares is AssignTasks for jobs of client accounts. Among the accounts of the highest priority whose lead is at most
// the work of a job, the job with the earliest deadline goes first. The lead of an account is what it was given beyond the
// account that was given the least; accounts with a larger lead get what the others leave.
func (s *Scheduler) assignByShares(now time.Time) []Assignment {
	var out []Assignment
	s.updateActiveAccounts()
	open := s.contenders()
	rivals, jobs := competitors(open)
	s.shares.Order(rivals)
	for len(open) > 0 {
		i := s.nextByShares(open, rivals)
		c := open[i]
		least := rivals[:min(len(rivals), 2)] // one of them is another account, if there is one of the same priority
		a := &jobAssigner{s: s, now: now, job: c.job, stop: func() bool { return s.shares.Lead(c.account, least) > s.jobWork }}
		if assigned := a.run(); len(assigned) > 0 {
			out = append(out, assigned...)
			s.shares.Order(rivals)
		}
		if a.stopped && len(c.waiting) > 0 {
			continue
		}
		open = slices.Delete(open, i, i+1)
		if jobs[c.account]--; jobs[c.account] == 0 {
			rivals = slices.DeleteFunc(rivals, func(a fairshare.Account) bool { return a == c.account })
		}
	}
	return out
}

// competitors returns the accounts of jobs, and how many jobs each of them has.
func competitors(list []contender) (accounts []fairshare.Account, jobs map[fairshare.Account]int) {
	jobs = make(map[fairshare.Account]int)
	for _, c := range list {
		if jobs[c.account]++; jobs[c.account] == 1 {
			accounts = append(accounts, c.account)
		}
	}
	return accounts, jobs
}

// updateActiveAccounts tells the ledger which accounts have open tasks.
func (s *Scheduler) updateActiveAccounts() {
	var list []fairshare.Account
	for _, id := range s.jobOrder {
		if a, ok := s.jobs[id].competitor(); ok {
			list = append(list, a)
		}
	}
	s.shares.SetActive(list)
}

// nextByShares returns the position of the job that goes first. rivals are the accounts of the jobs in the order of the ledger:
// the first one has the highest priority, and was given the least work of that priority.
func (s *Scheduler) nextByShares(open []contender, rivals []fairshare.Account) int {
	for i, c := range open {
		if c.account.Priority == rivals[0].Priority && s.shares.Lead(c.account, rivals[:1]) <= s.jobWork {
			return i
		}
	}
	return 0 // not reached: the account that was given the least has no lead
}
