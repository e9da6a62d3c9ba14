package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
	"fuchsiaflow/schedule"
)

// openJob is the runner's copy of a job that has not ended.
type openJob struct {
	*jobs.Job
	id    string               // schedulerID of the job
	items map[string]*openItem // without a result, by ID
	// openInGroup is the number of items by group.
	openInGroup map[string]int
	routeName   string
	// routePriority is the priority of the route when the job was added.
	routePriority int
	deadline      time.Time
	expiresAt     time.Time // zero if the items never expire
}

// openItem is an item without a result.
type openItem struct {
	jobs.Item
	failures int // runs that an engine reported as failed, under this and earlier leaders
	// fruitlessResumes is the number of successive runs that resumed the text and ended without an event.
	fruitlessResumes int
	waitingSince     time.Time // start of the current wait for an engine
	// textCompleteAt is when the text of an item that is to be scored was complete; zero if this leader
	// did not see it.
	textCompleteAt time.Time
}

// schedulerID returns the ID under which the scheduler and the queue of scoring calls know a job. It is unique among the jobs
// of all client accounts, whatever IDs and names they have.
func schedulerID(job jobs.Key) string {
	return strconv.Itoa(len(job.Owner)) + ":" + job.Owner + job.ID
}

// taskKey returns the key of an item as the scheduler knows it.
func (j *openJob) taskKey(item string) schedule.Key { return schedule.Key{Job: j.id, Item: item} }

// logArgs returns the arguments of a log line about the job.
func (j *openJob) logArgs(args ...any) []any { return j.Key().LogArgs(args...) }

// removeItem removes an item that has a result or is about to get one.
func (j *openJob) removeItem(id string) {
	if it := j.items[id]; it != nil {
		j.openInGroup[it.Group]--
		delete(j.items, id)
	}
}

// recordNewJobs records when this replica first saw each job. Job ages are measured from that time
// on a monotonic clock.
func (r *Runner) recordNewJobs(now time.Time) {
	for _, key := range r.opts.StateMachine.TakeNewJobs() {
		r.firstSeen[key] = now
	}
}

// syncState updates the scheduler from the committed jobs and the current routes.
func (r *Runner) syncState(now time.Time) {
	table := r.opts.View.Table()
	if table == nil {
		return
	}
	if revision := r.opts.StateMachine.Revision(); revision != r.syncedRevision {
		var added []*openJob
		open := make(map[string]bool)
		r.opts.StateMachine.View(func(s *storestate.State) {
			r.publishedVersions = s.Versions()
			for _, e := range s.Jobs().Entries() {
				id := schedulerID(e.Key())
				if e.IsOpen() {
					open[id] = true
				}
				r.reportDemand(now, e, table)
				if e.IsOpen() && r.jobs[id] == nil {
					added = append(added, r.newOpenJob(now, e, table))
					r.restorePartials(s.Jobs(), e)
				}
			}
		})
		r.syncedRevision = revision
		for id := range r.jobs {
			if !open[id] {
				r.endJob(now, id)
			}
		}
		for _, j := range added {
			r.addJob(now, j, table)
		}
	}
	if table.Config.Version != r.routesVersion {
		r.routesVersion = table.Config.Version
		reroute := func(t *schedule.Task) string {
			t.AccountPriority = r.accountPriority(t.Account)
			return r.serviceOf(table, t.Key())
		}
		for _, key := range r.sched.Reroute(reroute) {
			r.terminate(key, "route was removed")
		}
		r.rerouteScoring(table)
	}
}

// accountPriority returns the priority that an account has by the configuration in force. Jobs without an account come
// after those of all accounts; without accounts all have the same priority.
func (r *Runner) accountPriority(account string) int {
	tables := r.opts.View.Tables()
	if tables == nil {
		return 0
	}
	return tables.Accounts.Priority(account)
}

// hidesKey reports whether items of the job must not bring a key, or an account that their client names, to an engine.
func (r *Runner) hidesKey(j *openJob) bool {
	tables := r.opts.View.Tables()
	return j.Owner != "" || tables != nil && tables.Accounts.NeedsKeys()
}

// reportDemand reports the tokens of each job to the scheduler once, including jobs that have
// ended, so that a new leader divides the engines among the models as the previous one did.
func (r *Runner) reportDemand(now time.Time, e *jobs.Entry, table *routes.Table) {
	if e.Sequence <= r.lastDemandSequence || len(e.Items) == 0 {
		return
	}
	r.lastDemandSequence = e.Sequence
	route, ok := table.Match(e.Host, e.Items[0].Path)
	if !ok {
		return
	}
	tokens, outputTokens := 0, 0
	for _, it := range e.Items {
		tokens += it.PromptTokens + it.ExpectedOutputTokens
		outputTokens += schedule.OutputTokens(it.ExpectedOutputTokens)
	}
	service := route.ChooseService(xxhash.Sum64String(e.Items[0].ID))
	r.sched.RecordDemand(service, e.Model, tokens)
	first, ok := r.firstSeen[e.Key()]
	if !ok {
		first = now
	}
	r.sched.RecordArrival(first, service, listedModel(table, service, e.Model), outputTokens, route.CompletionWindow)
}

// listedModel returns the model of a job if its service lists it, and "" for all other models. Clients may make up any number
// of names, and targets are not ordered for each of them.
func listedModel(table *routes.Table, service, model string) string {
	if s, ok := table.Service(service); ok && slices.Contains(s.Models, model) {
		return model
	}
	return ""
}

// newOpenJob copies the parts of a job that the runner needs, so that commands applied later do not
// change them.
func (r *Runner) newOpenJob(now time.Time, e *jobs.Entry, table *routes.Table) *openJob {
	job := e.Job
	job.Items = nil
	j := &openJob{Job: &job, id: schedulerID(e.Key()), items: make(map[string]*openItem), openInGroup: make(map[string]int)}
	for _, it := range e.Items {
		if !e.HasResult(it.ID) {
			j.items[it.ID] = &openItem{Item: it, failures: e.Failures[it.ID]}
			j.openInGroup[it.Group]++
		}
	}
	first, ok := r.firstSeen[e.Key()]
	if !ok {
		first = now
		r.firstSeen[e.Key()] = now
	}
	if route, ok := table.Match(e.Host, e.Path); ok {
		j.routeName, j.routePriority = route.Name, route.Priority
		j.deadline = first.Add(route.CompletionWindow)
		if route.MaxAge > 0 {
			j.expiresAt = first.Add(route.MaxAge + expirySlack)
		}
	}
	return j
}

// restorePartials loads the committed partial texts of a job's items, except those already in r.partials.
func (r *Runner) restorePartials(table *jobs.Table, e *jobs.Entry) {
	for _, it := range e.Items {
		key := e.ItemKey(it.ID)
		if r.partials[key] != nil {
			continue
		}
		p, err := committedPartial(table, key)
		if err != nil {
			r.opts.Log.Error("cannot decode committed partial text; item restarts from the beginning", e.Key().LogArgs("item", it.ID, "error", err)...)
			continue
		}
		if p != nil {
			p.updatedAt = bootclock.Now()
			r.partials[key] = p
		}
	}
}

// addJob adds a job and its items to the scheduler. Items that no route matches are terminated, and those
// whose text an earlier job or leader completed are finished.
func (r *Runner) addJob(now time.Time, j *openJob, table *routes.Table) {
	r.jobs[j.id] = j
	var tasks []schedule.Task
	var unrouted []schedule.Key
	completeTexts := make(map[string]*partialText)
	carriedOver, resumed := 0, 0
	for id, it := range j.items {
		key := j.taskKey(id)
		if p := r.usablePartial(j, id); p != nil && p.complete {
			completeTexts[id] = p
			continue
		}
		service := r.serviceOf(table, key)
		if service == "" {
			unrouted = append(unrouted, key)
			continue
		}
		t := schedule.Task{Job: j.id, Item: id, Service: service, Model: j.Model, MinVersion: j.MinVersion, SingleVersion: j.SingleVersion, Group: it.Group,
			CarriedOver: r.knownItems[j.ItemKey(id)], RemainingTokens: it.ExpectedOutputTokens, PromptTokens: it.PromptTokens, Deadline: j.deadline,
			Account: j.Owner, AccountPriority: r.accountPriority(j.Owner), RoutePriority: j.routePriority}
		if t.CarriedOver {
			carriedOver++
		}
		if p := r.usablePartial(j, id); p != nil {
			resumed++
			t.RemainingTokens, t.PinnedVersion, t.Partial = p.remainingTokens(it.ExpectedOutputTokens), p.requiredVersion(j), p.scheduled()
		}
		tasks = append(tasks, t)
	}
	for id, it := range j.items {
		it.waitingSince = now
		r.knownItems[j.ItemKey(id)] = true
	}
	r.opts.Log.Info("batch job added to the scheduler", j.logArgs("model", j.Model, "step", j.TrainStep, "min_version", j.MinVersion, "wanted", j.WantedGroups,
		"items", len(j.items), "carried", carriedOver, "resumed", resumed, "complete", len(completeTexts), "age_ms", now.Sub(r.firstSeen[j.Key()]).Milliseconds(), "route", j.routeName)...)
	r.sched.AddJob(j.id, sortTasks(tasks))
	for _, key := range unrouted {
		r.terminate(key, "no route matches")
	}
	for id, p := range completeTexts {
		delete(r.partials, j.ItemKey(id))
		r.finishText(now, j, j.items[id], p)
	}
}

// serviceOf returns the service that the routes select for an item, or "" if no route matches.
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

// endJob stops the runs of a job that has ended and removes it.
func (r *Runner) endJob(now time.Time, id string) {
	j := r.jobs[id]
	waiting, running := r.sched.Counts()
	for _, key := range r.sched.EndJob(id) {
		r.stopRun(key, "job ended")
	}
	for item := range j.items {
		r.stopScoring(j.taskKey(item))
	}
	delete(r.jobs, id)
	age := now.Sub(r.firstSeen[j.Key()])
	r.metrics.jobDuration.Observe(age.Seconds())
	r.opts.Log.Info("batch job removed from the scheduler", j.logArgs("model", j.Model, "step", j.TrainStep, "age_ms", age.Milliseconds(),
		"unlisted", len(j.items), "waiting", waiting, "running", running)...)
}
