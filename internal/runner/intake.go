package runner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
	"fuchsiaflow/schedule"
)

// openJob is what the runner needs of a job.
type openJob struct {
	*jobs.Job
	items    map[string]*openItem
	route    string
	deadline time.Time
	giveUp   time.Time // zero: never
}

type openItem struct {
	jobs.Item
	failures int       // answers of an engine that the item failed
	since    time.Time // when it began to wait for an engine
}

// noteJobs remembers when this replica learned of each job. Ages are measured from then on a
// clock that never jumps.
func (r *Runner) noteJobs(now time.Time) {
	for _, id := range r.o.StateMachine.NewJobs() {
		r.first[id] = now
	}
}

// takeIn compares the committed state with the scheduler's.
func (r *Runner) takeIn(now time.Time) {
	table := r.o.View.Table()
	if table == nil {
		return
	}
	if revision := r.o.StateMachine.Revision(); revision != r.applied {
		var fresh []*openJob
		open := make(map[string]bool)
		r.o.StateMachine.View(func(s *storestate.State) {
			r.named = s.Versions()
			for _, e := range s.Book().Entries() {
				if e.Open() {
					open[e.ID] = true
				}
				r.noteDemand(e, table)
				if e.Open() && r.jobs[e.ID] == nil {
					fresh = append(fresh, r.openJob(now, e, table))
					r.recallTexts(s.Book(), e)
				}
			}
		})
		r.applied = revision
		for id := range r.jobs {
			if !open[id] {
				r.endJob(now, id)
			}
		}
		for _, j := range fresh {
			r.addJob(now, j, table)
		}
	}
	if table.Config.Version != r.routes {
		r.routes = table.Config.Version
		for _, key := range r.sched.Reroute(func(t *schedule.Task) string { return r.serviceOf(table, t.Key()) }) {
			r.terminate(key, "its route was removed")
		}
	}
}

// noteDemand tells the scheduler of each job once, also of those that have ended: a new leader
// then gives the models the same shares of the engines as the one before.
func (r *Runner) noteDemand(e *jobs.Entry, table *routes.Table) {
	if e.Order <= r.noted || len(e.Items) == 0 {
		return
	}
	r.noted = e.Order
	route, ok := table.Match(e.Host, e.Items[0].Path)
	if !ok {
		return
	}
	tokens := 0
	for _, it := range e.Items {
		tokens += it.Prompt + it.Hint
	}
	r.sched.RecordDemand(route.ChooseService(xxhash.Sum64String(e.Items[0].ID)), e.Model, tokens)
}

// openJob copies what the runner needs of a job, so that later commands do not change it.
func (r *Runner) openJob(now time.Time, e *jobs.Entry, table *routes.Table) *openJob {
	job := e.Job
	job.Items = nil
	o := &openJob{Job: &job, items: make(map[string]*openItem)}
	for _, it := range e.Items {
		if !e.Listed(it.ID) {
			o.items[it.ID] = &openItem{Item: it}
		}
	}
	first, ok := r.first[e.ID]
	if !ok {
		first = now
		r.first[e.ID] = now
	}
	if route, ok := table.Match(e.Host, e.Path); ok {
		o.route = route.Name
		o.deadline = first.Add(route.CompletionWindow)
		if route.MaxAge > 0 {
			o.giveUp = first.Add(route.MaxAge + giveUpSlack)
		}
	}
	return o
}

// recallTexts takes over the committed texts of a job's items that this leader has not got.
func (r *Runner) recallTexts(b *jobs.Book, e *jobs.Entry) {
	for _, it := range e.Items {
		if r.partials[it.ID] != nil {
			continue
		}
		p, err := storedPartial(b, it.ID)
		if err != nil {
			r.o.Log.Error("stored text cannot be read; the item begins anew", "job", e.ID, "item", it.ID, "error", err)
			continue
		}
		if p != nil {
			p.at = bootclock.Now()
			r.partials[it.ID] = p
		}
	}
}

func (r *Runner) addJob(now time.Time, j *openJob, table *routes.Table) {
	r.jobs[j.ID] = j
	var tasks []schedule.Task
	var lost []schedule.Key
	carried, resumed := 0, 0
	for id, it := range j.items {
		key := schedule.Key{Job: j.ID, Item: id}
		service := r.serviceOf(table, key)
		if service == "" {
			lost = append(lost, key)
			continue
		}
		t := schedule.Task{Job: j.ID, Item: id, Service: service, Model: j.Model, MinVersion: j.MinVersion, SingleVersion: j.SingleVersion, Group: it.Group,
			CarriedOver: r.known[id], RemainingTokens: it.Hint, PromptTokens: it.Prompt, Deadline: j.deadline}
		if t.CarriedOver {
			carried++
		}
		if p := r.usablePartial(j, id); p != nil {
			resumed++
			t.RemainingTokens, t.PinnedVersion = p.remaining(it.Hint), p.only(j)
		}
		tasks = append(tasks, t)
	}
	for id, it := range j.items {
		it.since = now
		r.known[id] = true
	}
	r.o.Log.Info("batch job opened", "job", j.ID, "model", j.Model, "step", j.Step, "min_version", j.MinVersion, "wanted", j.Wanted,
		"items", len(j.items), "carried", carried, "resumed", resumed, "age_ms", now.Sub(r.first[j.ID]).Milliseconds(), "route", j.route)
	r.sched.AddJob(j.ID, sortTasks(tasks))
	for _, key := range lost {
		r.terminate(key, "no route")
	}
}

// serviceOf returns the service to which the routes send an item, or "".
func (r *Runner) serviceOf(table *routes.Table, key schedule.Key) string {
	j := r.jobs[key.Job]
	if j == nil || j.items[key.Item] == nil {
		return ""
	}
	route, ok := table.Match(j.Host, j.items[key.Item].Path)
	if !ok {
		return ""
	}
	return route.ChooseService(xxhash.Sum64String(key.Item))
}

func (r *Runner) endJob(now time.Time, id string) {
	j := r.jobs[id]
	waiting, running := r.sched.Counts()
	for _, key := range r.sched.EndJob(id) {
		r.stopRun(key, "job ended")
	}
	delete(r.jobs, id)
	r.metrics.job.Observe(now.Sub(r.first[id]).Seconds())
	r.o.Log.Info("batch job closed", "job", id, "model", j.Model, "step", j.Step, "age_ms", now.Sub(r.first[id]).Milliseconds(),
		"unlisted", len(j.items), "waiting", waiting, "running", running)
}
