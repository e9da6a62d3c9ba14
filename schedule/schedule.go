// Package schedule decides which item of which batch job runs on which engine next, when a run
// moves to another engine, and which engine loads which weights. The load it answers: several
// trainers share the engines of a service, each asks for groups of items whose lengths are
// heavy-tailed and known only as an estimate, and waits for most of its groups.
//
// The package is pure: time is an argument, there is no I/O, and the same calls give the same
// decisions. A Scheduler is not safe for concurrent use.
package schedule

import (
	"slices"
	"strings"
	"time"
)

// Limits of the decisions.
const (
	// refusedPause is the pause after an engine refused an item as not run.
	refusedPause = 100 * time.Millisecond
	// failedPause is the first pause of an engine that broke a run off; it doubles with each
	// failure in a row.
	failedPause = 250 * time.Millisecond
	// maxPause bounds the pause, so that an engine that works again is noticed.
	maxPause = 2 * time.Second
	// slowFactor is how much slower than the fastest engine one must be for its runs to move
	// to another. Below it, the prefill at the other engine costs more than the move gains.
	slowFactor = 1.8
	// spreadGain weighs the occupancy of an engine against the placement of a group: the
	// step time of an engine grows by about half when all its slots run.
	spreadGain = 0.5
	// groupGain is the advantage of an engine that keeps the prompt of the item's group.
	groupGain = 0.06
	// priorSize is the assumed size of an item without an estimate, in output tokens.
	priorSize = 400
)

// Task is one item to run.
type Task struct {
	Job, Item string
	Service   string
	Model     string
	// MinVersion is the oldest weight version that may run the item.
	MinVersion uint64
	// SingleVersion is set when one version must make the whole text.
	SingleVersion bool
	// PinnedVersion is the version that made the text so far of a task with SingleVersion. An
	// assignment without it asks for a run from the beginning.
	PinnedVersion uint64
	Group         string
	// CarriedOver items belong to groups of an earlier job that the client asks for again and waits for
	// whatever else is complete.
	CarriedOver bool
	// RemainingTokens is the expected number of output tokens that are still to be made; 0 when unknown.
	RemainingTokens int
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	Deadline     time.Time
}

// Key names a task.
type Key struct{ Job, Item string }

// Key returns the name of the task.
func (t *Task) Key() Key { return Key{t.Job, t.Item} }

// tokens is the expected final size of the task in an engine's memory.
func (t *Task) tokens() int { return t.PromptTokens + max(t.RemainingTokens, priorSize) }

// footprint is the expected size of the task in an engine's memory, averaged over its run: runs
// grow from the prompt to their final size at different times. An engine that runs out of memory
// all the same puts its newest run back, which costs no more than reading its text again.
func (t *Task) footprint() int { return t.PromptTokens + max(t.RemainingTokens, priorSize)/2 }

// Assignment tells to run a task on an engine now.
type Assignment struct {
	Task   Task
	Engine string
}

type job struct {
	waiting []*Task // in the order in which they are to start
	running map[string]*run
}

type run struct {
	task   *Task
	engine *engine
	moving bool
}

// Scheduler holds the open tasks and the engines.
type Scheduler struct {
	jobs    map[string]*job
	order   []string // jobs by acceptance
	engines map[string]*engine
	list    []*engine                     // engines in the order of their ids; nil when it must be made again
	demand  map[string]map[string]float64 // service, model: tokens of a typical job
	loads   loadTimes
	typical float64 // median pause between events of the engines, in seconds
}

// New returns a scheduler without tasks and engines.
func New() *Scheduler {
	return &Scheduler{jobs: make(map[string]*job), engines: make(map[string]*engine), demand: make(map[string]map[string]float64),
		typical: typicalGap}
}

// AddJob adds the open tasks of a job. Carried items start first, then those that are expected
// to take longest, since the last to end decides when a group is complete.
func (s *Scheduler) AddJob(id string, tasks []Task) {
	if s.jobs[id] != nil || len(tasks) == 0 {
		return
	}
	j := &job{running: make(map[string]*run)}
	for i := range tasks {
		t := tasks[i]
		j.waiting = append(j.waiting, &t)
	}
	j.sort()
	s.jobs[id] = j
	s.order = append(s.order, id)
}

func (j *job) sort() {
	slices.SortStableFunc(j.waiting, func(a, b *Task) int {
		switch {
		case a.CarriedOver != b.CarriedOver && a.CarriedOver:
			return -1
		case a.CarriedOver != b.CarriedOver:
			return 1
		}
		return b.tokens() - a.tokens()
	})
}

// EndJob forgets a job. It returns the runs to stop.
func (s *Scheduler) EndJob(id string) []Key {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	var stop []Key
	for _, r := range j.running {
		r.engine.remove(r)
		stop = append(stop, r.task.Key())
	}
	slices.SortFunc(stop, func(a, b Key) int { return strings.Compare(a.Item, b.Item) })
	delete(s.jobs, id)
	s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == id })
	return stop
}

// Jobs lists the jobs with open tasks in the order of their acceptance.
func (s *Scheduler) Jobs() []string { return slices.Clone(s.order) }

// Counts returns the number of waiting and running tasks.
func (s *Scheduler) Counts() (waiting, running int) {
	for _, j := range s.jobs {
		waiting += len(j.waiting)
		running += len(j.running)
	}
	return waiting, running
}

// ModelState sums up the work and the engines of one model.
type ModelState struct {
	Model            string
	Waiting, Running int
	// Engines is the number of engines meant for the model and Slots the number of their slots;
	// engines that are lost are meant for none.
	Engines, Slots, Loading, Unavailable int
}

// ModelStates sums up each model, in the order of their names.
func (s *Scheduler) ModelStates() []ModelState {
	byModel := make(map[string]*ModelState)
	of := func(model string) *ModelState {
		if byModel[model] == nil {
			byModel[model] = &ModelState{Model: model}
		}
		return byModel[model]
	}
	for _, j := range s.jobs {
		for _, t := range j.waiting {
			of(t.Model).Waiting++
		}
		for _, r := range j.running {
			of(r.task.Model).Running++
		}
	}
	for _, e := range s.engines {
		m := of(e.model)
		m.Engines++
		m.Slots += e.Slots
		if e.loading != nil {
			m.Loading++
		}
		if e.lost() {
			m.Unavailable++
		}
	}
	var out []ModelState
	for _, m := range byModel {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b ModelState) int { return strings.Compare(a.Model, b.Model) })
	return out
}

// AssignTasks starts tasks on free slots and returns what to run. Its cost is the number of waiting
// tasks times the number of engines with a free slot, so that it is small when all are busy.
func (s *Scheduler) AssignTasks(now time.Time) []Assignment {
	var out []Assignment
	for _, id := range s.byDeadline() {
		j := s.jobs[id]
		free := s.freeFor(now, j)
		var left []*Task
		for i, t := range j.waiting {
			if len(free) == 0 {
				left = append(left, j.waiting[i:]...)
				break
			}
			e := s.place(now, t, free)
			if e == nil && t.PinnedVersion > 0 && !s.serves(t) {
				t.PinnedVersion = 0 // the text so far can never be finished
				e = s.place(now, t, free)
			}
			if e == nil {
				left = append(left, t)
				continue
			}
			r := &run{task: t, engine: e}
			j.running[t.Item] = r
			e.add(now, r)
			out = append(out, Assignment{Task: *t, Engine: e.ID})
			if e.free() <= 0 {
				free = slices.DeleteFunc(free, func(o *engine) bool { return o == e })
			}
		}
		j.waiting = left
	}
	return out
}

// freeFor lists the engines that could take a task of the job if it needed no memory.
func (s *Scheduler) freeFor(now time.Time, j *job) []*engine {
	if len(j.waiting) == 0 {
		return nil
	}
	var list []*engine
	probe := Task{Service: j.waiting[0].Service, Model: j.waiting[0].Model, MinVersion: j.waiting[0].MinVersion}
	for _, e := range s.sorted() {
		probe.Service = e.Service // tasks of a job may go to several services
		if e.free() > 0 && !e.draining && !now.Before(e.pausedUntil) && e.fits(now, &probe) {
			list = append(list, e)
		}
	}
	return list
}

// byDeadline orders the jobs so that the one that is due first is served first.
func (s *Scheduler) byDeadline() []string {
	ids := slices.Clone(s.order)
	due := func(id string) time.Time {
		if w := s.jobs[id].waiting; len(w) > 0 {
			return w[0].Deadline
		}
		return time.Time{}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return due(a).Compare(due(b)) })
	return ids
}

// place returns the engine of the list on which the task ends soonest, or nil if none can take
// it.
func (s *Scheduler) place(now time.Time, t *Task, list []*engine) *engine {
	var best *engine
	var bestScore float64
	for _, e := range list {
		if !e.usable(now, t) {
			continue
		}
		score := e.expected(now, t, s.typical)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// serves tells whether an engine has the version that made the text so far of the task. The engine
// may be full: its slots become free, while a version that is gone does not come back.
func (s *Scheduler) serves(t *Task) bool {
	return slices.ContainsFunc(s.sorted(), func(e *engine) bool {
		return e.Service == t.Service && !e.draining && !e.lost() && e.version(t.Model) == t.PinnedVersion
	})
}

// sorted lists the engines in the order of their ids. The caller must not change the list.
func (s *Scheduler) sorted() []*engine {
	if s.list == nil {
		for _, e := range s.engines {
			s.list = append(s.list, e)
		}
		slices.SortFunc(s.list, func(a, b *engine) int { return strings.Compare(a.ID, b.ID) })
	}
	return s.list
}

// Move tells to stop a run, which is then waiting again and starts on a faster engine with the
// text that it has.
type Move struct {
	Key    Key
	Engine string
}

// PlanMoves picks runs on slow engines for which a much faster one has a free slot that nothing
// else waits for. The caller stops each and reports it with Stopped.
func (s *Scheduler) PlanMoves(now time.Time) []Move {
	var out []Move
	taken := make(map[string]int)
	for _, id := range s.order {
		j := s.jobs[id]
		if len(j.waiting) > 0 {
			continue
		}
		for _, r := range sortedRuns(j.running) {
			if r.moving || !r.engine.speed.known(now) {
				continue
			}
			task := *r.task
			if task.SingleVersion {
				task.PinnedVersion = r.engine.weights[task.Model] // made the text that moves along
			}
			to := s.place(now, &task, s.sorted())
			if to == nil || to == r.engine || to.free()-taken[to.ID] <= 0 {
				continue
			}
			if r.engine.speed.average < slowFactor*to.speed.gap(now, s.typical) {
				continue
			}
			r.moving = true
			taken[to.ID]++
			out = append(out, Move{Key: r.task.Key(), Engine: r.engine.ID})
		}
	}
	return out
}

func sortedRuns(m map[string]*run) []*run {
	list := make([]*run, 0, len(m))
	for _, r := range m {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if d := b.task.RemainingTokens - a.task.RemainingTokens; d != 0 {
			return d
		}
		return strings.Compare(a.task.Item, b.task.Item)
	})
	return list
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	// Finished runs need no other.
	Finished Outcome = iota
	// Refused runs were declared as not run by the engine.
	Refused
	// Broken runs ended early, fell silent or could not be started.
	Broken
	// Stopped runs were ended by the caller and go on elsewhere.
	Stopped
	// Failed runs got a failure for the item itself; the engine works.
	Failed
)

// EndRun takes in the end of a run. Unless it is finished the task waits again; size is the
// number of output tokens still expected, 0 to keep the estimate, and onlyVersion the version
// to which a continuation is bound.
func (s *Scheduler) EndRun(now time.Time, key Key, outcome Outcome, size int, onlyVersion uint64) {
	j := s.jobs[key.Job]
	if j == nil {
		return
	}
	r := j.running[key.Item]
	if r == nil {
		return
	}
	delete(j.running, key.Item)
	r.engine.remove(r)
	r.engine.took(now, outcome)
	if outcome == Finished {
		if len(j.waiting) == 0 && len(j.running) == 0 {
			s.EndJob(key.Job)
		}
		return
	}
	if size > 0 {
		r.task.RemainingTokens = size
	}
	r.task.PinnedVersion = onlyVersion
	j.waiting = append(j.waiting, r.task)
	j.sort()
}

// RemoveTask removes a task that will not be run again.
func (s *Scheduler) RemoveTask(key Key) {
	j := s.jobs[key.Job]
	if j == nil {
		return
	}
	if r := j.running[key.Item]; r != nil {
		delete(j.running, key.Item)
		r.engine.remove(r)
	}
	j.waiting = slices.DeleteFunc(j.waiting, func(t *Task) bool { return t.Item == key.Item })
	if len(j.waiting) == 0 && len(j.running) == 0 {
		s.EndJob(key.Job)
	}
}

// Reroute asks for the service of each waiting task again, after the routes have changed. Tasks
// without a service are removed and returned.
func (s *Scheduler) Reroute(service func(*Task) string) []Key {
	var gone []Key
	for _, id := range s.Jobs() {
		j := s.jobs[id]
		for _, t := range slices.Clone(j.waiting) {
			if t.Service = service(t); t.Service == "" {
				gone = append(gone, t.Key())
			}
		}
	}
	for _, key := range gone {
		s.RemoveTask(key)
	}
	return gone
}
