package schedule

import (
	"slices"
	"time"

	"fuchsiaflow/fairshare"
)

// The order of jobs of client accounts is made for engines that are scarce: full, slow or evicted. An account that asks for
// many times its share then waits for itself, and the steps of the others start on time. While all accounts are within
// their shares, the job with the earliest deadline goes first, as without accounts.

// jobWorkSampleWeight is the weight of a new job in the moving average of the work of a job.
const jobWorkSampleWeight = 0.2

// competitor returns the account of the task as it competes for engines.
func (t *Task) competitor() fairshare.Account {
	return fairshare.Account{Name: t.Account, Priority: fairshare.Priority{Account: t.AccountPriority, Route: t.RoutePriority}}
}

// work returns what the account is charged for a run of the task, in tokens.
func (t *Task) work() float64 { return float64(t.finalKVTokens()) }

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

// assignByShares is AssignTasks for jobs of client accounts. Among the accounts of the highest priority whose lead is at most
// the work of a job, the job with the earliest deadline goes first. The lead of an account is what it was given beyond the
// account that was given the least; accounts with a larger lead get what the others leave.
func (s *Scheduler) assignByShares(now time.Time) []Assignment {
	var out []Assignment
	open := slices.DeleteFunc(s.jobsByDeadline(), func(id string) bool { return len(s.jobs[id].waiting) == 0 })
	s.updateActiveAccounts()
	for len(open) > 0 {
		rivals := s.competitors(open)
		i := s.nextByShares(open, rivals)
		j := s.jobs[open[i]]
		account, _ := j.competitor()
		a := &jobAssigner{s: s, now: now, job: j, stop: func() bool { return s.shares.Lead(account, rivals) > s.jobWork }}
		out = append(out, a.run()...)
		if !a.stopped || len(j.waiting) == 0 {
			open = slices.Delete(open, i, i+1)
		}
	}
	return out
}

// updateActiveAccounts tells the ledger which accounts have open tasks.
func (s *Scheduler) updateActiveAccounts() { s.shares.SetActive(s.competitors(s.jobOrder)) }

// competitors returns the accounts of jobs.
func (s *Scheduler) competitors(ids []string) []fairshare.Account {
	var list []fairshare.Account
	for _, id := range ids {
		if a, ok := s.jobs[id].competitor(); ok && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// nextByShares returns the position of the job that goes first. rivals are the accounts of the jobs.
func (s *Scheduler) nextByShares(open []string, rivals []fairshare.Account) int {
	s.shares.Order(rivals)
	first := rivals[0].Priority
	for i, id := range open {
		a, _ := s.jobs[id].competitor()
		if a.Priority == first && s.shares.Lead(a, rivals) <= s.jobWork {
			return i
		}
	}
	return 0 // not reached: the account that was given the least has no lead
}
