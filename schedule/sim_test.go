package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// trainerWorkload describes the jobs of one simulated trainer. The trainer submits a job per step, at
// most once per jobInterval, waits for requiredGroups of its groups, trains, and publishes the next
// version of its weights. Step k accepts text from version k-1 and newer. Lengths are log-normal, and
// the estimates in the tasks are often far off.
type trainerWorkload struct {
	model          string
	groups         int
	requiredGroups int
	groupSize      int
	meanEvents     float64 // mean length of an item's output, in events
	trainingTime   time.Duration
	jobInterval    time.Duration
	deadline       time.Duration // of a job, from its submission
	lengthSigma    float64       // standard deviation of the logarithm of the length
	estimateSigma  float64       // standard deviation of the logarithm of the estimate's relative error
}

// twoTrainers is the usual workload: two trainers on nine engines with twelve slots each.
var twoTrainers = []trainerWorkload{
	{model: "a", groups: 13, requiredGroups: 12, groupSize: 8, meanEvents: 20, trainingTime: time.Second, jobInterval: 4 * time.Second, deadline: 7500 * time.Millisecond,
		lengthSigma: 0.8, estimateSigma: 0.6},
	{model: "b", groups: 20, requiredGroups: 18, groupSize: 4, meanEvents: 12, trainingTime: time.Second, jobInterval: 4 * time.Second, deadline: 7500 * time.Millisecond,
		lengthSigma: 0.8, estimateSigma: 0.6},
}

const (
	// idleEngineGap is the time between two events of a run that is alone on its engine, and
	// fullEngineSlowdown the factor by which it grows when all slots are in use.
	idleEngineGap      = 28 * time.Millisecond
	fullEngineSlowdown = 1.65
	loadDuration       = 900 * time.Millisecond
	simStep            = 20 * time.Millisecond
	// promptTokensPerMs is the prefill speed of an engine.
	promptTokensPerMs = 193
)

type simItem struct {
	events    float64 // length of the item
	generated float64 // events so far
	engine    string  // empty while the item does not run
	group     int
	done      bool
}

type simJob struct {
	id             string
	step           int
	submittedAt    time.Time
	items          map[string]*simItem
	unfinished     []int // unfinished items of each group
	completeGroups int
	tasks          []Task
	trainer        *simTrainer
}

type simTrainer struct {
	workload         trainerWorkload
	step             int
	nextJobAt        time.Time // earliest submission of the next job
	job              *simJob
	publishedVersion uint64
	trainedAt        time.Time // end of training after the last job
	stepTimes        []time.Duration
	groupsInTime     int // required groups that were complete by the deadline
	groupsRequired   int // sum of requiredGroups over all jobs
}

// simulation runs a workload on simulated engines under a Scheduler.
type simulation struct {
	rng       *rand.Rand
	scheduler *Scheduler
	engines   []Engine
	slowdown  map[string]float64 // factor by which an engine is slower than usual
	noise     map[string]*engineNoise
	knee      map[string]float64 // runs beyond which an engine gets no more work done, if it has a knee
	limits    map[string]float64 // runs a second that an engine takes, if it has a limit
	starts    map[string][]time.Time
	loading   map[string]pendingLoad
	trainers  []*simTrainer
	policyVariant
	prefillBacklog        map[string]time.Duration // remaining prefill time of an engine
	cachedPrompts         map[string]bool          // by engine, job and group
	movedFrom             map[Key]string           // engine that an item has left last for a move
	moves, returns        int                      // moves of runs, and those after which the item started on the same engine although one that is not slower had room
	loadCount             int
	prefilledPromptTokens int
	startedRuns           int
	busySlotSeconds       float64
	measuredAt            time.Time
	enginesUpdatedAt      time.Time
}

// policyVariant replaces a decision of the Scheduler by a simpler policy, as a baseline.
type policyVariant struct {
	name string
	// changeTasks modifies the tasks of a job before submission, for example to change their order.
	changeTasks func([]Task)
	// disableMoves keeps runs on their engines and reports no speeds.
	disableMoves bool
	// engines is the number of engines; 0 means 9.
	engines int
	// alike keeps the scheduler from noticing that engines are of unlike speed.
	alike bool
}

// engineNoise makes an engine slow for some time, again and again.
type engineNoise struct {
	rng                 *rand.Rand
	slowUntil, nextSlow time.Time
}

// noisyFactor returns the factor by which an engine is slow now: 2.5 for 15% of the time, in periods of 0.6 s.
func (m *simulation) noisyFactor(now time.Time, engine string) float64 {
	const period, share, factor = 600 * time.Millisecond, 0.15, 2.5
	n := m.noise[engine]
	if n == nil {
		return 1
	}
	if now.After(n.nextSlow) {
		n.slowUntil = now.Add(period)
		n.nextSlow = n.slowUntil.Add(time.Duration(2 * n.rng.Float64() * float64(period) * (1 - share) / share))
	}
	if now.Before(n.slowUntil) {
		return factor
	}
	return 1
}

type pendingLoad struct {
	load        LoadOrder
	completesAt time.Time
}

func newSimulation(seed uint64, workloads []trainerWorkload, variant policyVariant) *simulation {
	m := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), scheduler: New(), slowdown: make(map[string]float64), limits: make(map[string]float64), starts: make(map[string][]time.Time), loading: make(map[string]pendingLoad), policyVariant: variant,
		prefillBacklog: make(map[string]time.Duration), cachedPrompts: make(map[string]bool)}
	var models []string
	for i, w := range workloads {
		models = append(models, w.model)
		m.trainers = append(m.trainers, &simTrainer{workload: w, publishedVersion: 1, step: 1, nextJobAt: testStart.Add(time.Duration(i) * 700 * time.Millisecond)})
	}
	m.engines = newEngines(max(variant.engines, 9), models...)
	m.movedFrom = make(map[Key]string)
	m.noise, m.knee = make(map[string]*engineNoise), make(map[string]float64)
	m.scheduler.ignoreSpeeds = variant.alike
	for i := range m.engines {
		m.engines[i].KVCacheTokens = 0
	}
	m.scheduler.SetEngines(m.engines)
	return m
}

func (m *simulation) publishedVersions() map[string]uint64 {
	versions := make(map[string]uint64)
	for _, t := range m.trainers {
		versions[t.workload.model] = t.publishedVersion
	}
	return versions
}

// advance simulates the given duration in steps of simStep.
func (m *simulation) advance(duration time.Duration) {
	for now := testStart; now.Before(testStart.Add(duration)); now = now.Add(simStep) {
		for _, t := range m.trainers {
			m.updateTrainer(now, t)
		}
		m.completeLoads(now)
		if now.Sub(m.enginesUpdatedAt) >= 60*time.Millisecond { // reviewInterval of internal/runner, rounded up to simStep
			m.enginesUpdatedAt = now
			m.scheduler.SetEngines(m.engines)
		}
		for _, l := range m.scheduler.PlanLoads(now, m.publishedVersions()) {
			m.loadCount++
			m.scheduler.RecordLoadOrder(now, l, true)
			m.loading[l.Engine] = pendingLoad{l, now.Add(loadDuration)}
		}
		for _, a := range m.scheduler.AssignTasks(now) {
			if !m.admits(now, a.Engine) {
				m.scheduler.EndRun(now, a.Task.Key(), Stopped, 0, a.Task.PinnedVersion)
				m.scheduler.DelayEngine(now, a.Engine, 100*time.Millisecond)
				continue
			}
			if m.movedFrom[a.Task.Key()] == a.Engine && m.hasRoomElsewhere(now, a) {
				m.returns++
			}
			delete(m.movedFrom, a.Task.Key())
			m.startRun(a)
		}
		if !m.disableMoves {
			for _, move := range m.scheduler.PlanMoves(now) {
				m.item(move.Key).engine = ""
				m.movedFrom[move.Key] = move.FromEngine
				m.moves++
				m.scheduler.EndRun(now, move.Key, Stopped, 0, 0)
			}
		}
		m.generate(now)
	}
}

// admits reports whether an engine takes another run, and counts it. The limit holds over two seconds.
func (m *simulation) admits(now time.Time, engine string) bool {
	const window = 2 * time.Second
	rate, limited := m.limits[engine]
	starts := slices.DeleteFunc(m.starts[engine], func(at time.Time) bool { return now.Sub(at) >= window })
	m.starts[engine] = starts
	if limited && float64(len(starts)) >= rate*window.Seconds() {
		return false
	}
	m.starts[engine] = append(starts, now)
	return true
}

// hasRoomElsewhere reports whether another engine that is not slower could start the task of an assignment.
func (m *simulation) hasRoomElsewhere(now time.Time, a Assignment) bool {
	gap := m.scheduler.plannedGap(now, m.scheduler.engines[a.Engine])
	return slices.ContainsFunc(m.scheduler.enginesByID(), func(e *engine) bool {
		return e.ID != a.Engine && e.hasRoom() && e.canStart(now, &a.Task) && m.scheduler.plannedGap(now, e) <= gap
	})
}

// startRun starts an item. Unless the prompt of its group is cached, the engine prefills it, which
// delays all runs of the engine.
func (m *simulation) startRun(a Assignment) {
	it := m.item(a.Task.Key())
	it.engine = a.Engine
	prompt := fmt.Sprintf("%s/%s/%d", a.Engine, a.Task.Job, it.group)
	prefill := int(it.generated * TokensPerEvent)
	if !m.cachedPrompts[prompt] {
		m.cachedPrompts[prompt] = true
		prefill += a.Task.PromptTokens
		m.prefilledPromptTokens += a.Task.PromptTokens
	}
	m.startedRuns++
	m.prefillBacklog[a.Engine] += time.Duration(float64(prefill) / promptTokensPerMs * float64(time.Millisecond))
}

// item returns the item with a key, or an empty one if its job has ended.
func (m *simulation) item(k Key) *simItem {
	for _, t := range m.trainers {
		if t.job != nil && t.job.id == k.Job {
			return t.job.items[k.Item]
		}
	}
	return &simItem{}
}

// updateTrainer ends the job of a trainer once enough groups are complete, or after 12 s, and submits
// the next job when it is due.
func (m *simulation) updateTrainer(now time.Time, t *simTrainer) {
	if t.job != nil && (t.job.completeGroups >= t.workload.requiredGroups || now.Sub(t.job.submittedAt) > 12*time.Second) {
		stepTime := now.Sub(t.job.submittedAt)
		t.stepTimes = append(t.stepTimes, stepTime)
		m.scheduler.EndJob(t.job.id)
		t.job = nil
		t.trainedAt = now.Add(t.workload.trainingTime)
	}
	if t.job != nil || now.Before(t.nextJobAt) || now.Before(t.trainedAt) {
		return
	}
	if t.step > 1 {
		t.publishedVersion = uint64(t.step)
	}
	t.job = m.newJob(now, t)
	m.scheduler.AddJob(t.job.id, t.job.tasks)
	tokens := 0
	for _, task := range t.job.tasks {
		tokens += task.RemainingTokens + task.PromptTokens
	}
	m.scheduler.RecordDemand("s", t.workload.model, tokens)
	t.groupsRequired += t.workload.requiredGroups
	t.step++
	t.nextJobAt = t.nextJobAt.Add(t.workload.jobInterval)
}

func (m *simulation) newJob(now time.Time, t *simTrainer) *simJob {
	w := t.workload
	j := &simJob{id: fmt.Sprintf("%s%d", w.model, t.step), step: t.step, submittedAt: now, items: make(map[string]*simItem), trainer: t}
	median := w.meanEvents / math.Exp(w.lengthSigma*w.lengthSigma/2)
	for g := range w.groups {
		j.unfinished = append(j.unfinished, w.groupSize)
		for i := range w.groupSize {
			id := fmt.Sprintf("%s-%02d-%02d", j.id, g, i)
			length := max(1, math.Round(median*math.Exp(w.lengthSigma*m.rng.NormFloat64())))
			j.items[id] = &simItem{events: length, group: g}
			estimate := length * math.Exp(w.estimateSigma*m.rng.NormFloat64())
			minVersion := uint64(max(t.step-1, 1))
			j.tasks = append(j.tasks, Task{Job: j.id, Item: id, Service: "s", Model: w.model, MinVersion: minVersion,
				Group: fmt.Sprintf("%s-%02d", j.id, g), RemainingTokens: int(estimate * TokensPerEvent), PromptTokens: 1000, Deadline: now.Add(w.deadline)})
		}
	}
	if m.changeTasks != nil {
		m.changeTasks(j.tasks)
	}
	return j
}

func (m *simulation) completeLoads(now time.Time) {
	for id, l := range m.loading {
		if now.Before(l.completesAt) {
			continue
		}
		delete(m.loading, id)
		for i := range m.engines {
			if m.engines[i].ID == id {
				weights := map[string]uint64{l.load.Model: l.load.Version}
				for k, v := range m.engines[i].Weights {
					if k != l.load.Model {
						weights[k] = v
					}
				}
				m.engines[i].Weights = weights
			}
		}
		m.scheduler.RecordLoaded(now, id, l.load.Model, l.load.Version)
	}
}

// generate advances all runs by simStep, completes items and reports the speed of engines.
func (m *simulation) generate(now time.Time) {
	running := make(map[string]int)
	type entry struct {
		key Key
		job *simJob
		it  *simItem
	}
	var list []entry
	for _, t := range m.trainers {
		if t.job == nil {
			continue
		}
		for id, it := range t.job.items {
			if it.engine != "" && !it.done {
				running[it.engine]++
				list = append(list, entry{Key{t.job.id, id}, t.job, it})
			}
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		if a.key.Item < b.key.Item {
			return -1
		}
		return 1
	})
	gap := func(engine string) time.Duration {
		occupancy := float64(running[engine]-1) / 11 // 0 for one run, 1 for twelve
		slowdown := m.noisyFactor(now, engine)
		if s := m.slowdown[engine]; s > 0 {
			slowdown *= s
		}
		if knee := m.knee[engine]; knee > 0 {
			slowdown *= max(1, float64(running[engine])/knee)
		}
		return time.Duration(float64(idleEngineGap) * (1 + (fullEngineSlowdown-1)*occupancy) * slowdown)
	}
	available := make(map[string]float64) // fraction of the time step that remains after prefill
	for id := range running {
		prefill := min(m.prefillBacklog[id], simStep)
		m.prefillBacklog[id] -= prefill
		available[id] = 1 - float64(prefill)/float64(simStep)
	}
	for _, e := range list {
		m.busySlotSeconds += simStep.Seconds()
		e.it.generated += available[e.it.engine] * float64(simStep) / float64(gap(e.it.engine))
		if e.it.generated < e.it.events {
			continue
		}
		e.it.done = true
		m.scheduler.EndRun(now, e.key, Finished, 0, 0)
		if e.job.unfinished[e.it.group]--; e.job.unfinished[e.it.group] == 0 {
			e.job.completeGroups++
			if e.job.completeGroups <= e.job.trainer.workload.requiredGroups && now.Sub(e.job.submittedAt) <= e.job.trainer.workload.deadline {
				e.job.trainer.groupsInTime++
			}
		}
	}
	if !m.disableMoves && now.Sub(m.measuredAt) >= 300*time.Millisecond {
		m.measuredAt = now
		var speeds []SpeedSample
		for id := range running {
			speeds = append(speeds, SpeedSample{Engine: id, EventGap: gap(id)})
		}
		slices.SortFunc(speeds, func(a, b SpeedSample) int {
			if a.Engine < b.Engine {
				return -1
			}
			return 1
		})
		m.scheduler.RecordSpeeds(now, speeds)
	}
}

// simulationResult summarizes the runs of a simulation with several seeds.
type simulationResult struct {
	groupsInTime       float64 // fraction of the required groups that were complete by the deadline
	meanStep           float64 // mean step time in seconds
	p95Step            float64 // 95th percentile of the step time in seconds
	promptTokensPerRun float64 // prompt tokens prefilled per started run
	loadsPerVersion    float64 // weight loads per published version
	slotUtilization    float64 // mean fraction of slots in use
}

func (o simulationResult) String() string {
	return fmt.Sprintf("%.3f of the groups in time, step %.2f s, 95th percentile %.2f s, %.0f prompt tokens per run, %.1f loads per version, %.0f%% of the slots in use",
		o.groupsInTime, o.meanStep, o.p95Step, o.promptTokensPerRun, o.loadsPerVersion, 100*o.slotUtilization)
}

// simulate runs the workloads with several seeds and summarizes the results. setup, unless nil, can
// modify each simulation before it starts.
func simulate(workloads []trainerWorkload, variant policyVariant, setup func(*simulation)) simulationResult {
	const seeds, duration = 5, 60 * time.Second
	var result simulationResult
	var inTime, required, versions, prompts, started int
	var times []time.Duration
	for seed := range seeds {
		m := newSimulation(uint64(seed), workloads, variant)
		if setup != nil {
			setup(m)
		}
		m.advance(duration)
		for _, t := range m.trainers {
			inTime += t.groupsInTime
			required += t.groupsRequired
			times = append(times, t.stepTimes...)
			versions += int(t.publishedVersion - 1)
		}
		result.loadsPerVersion += float64(m.loadCount)
		prompts += m.prefilledPromptTokens
		started += m.startedRuns
		result.slotUtilization += m.busySlotSeconds / (duration.Seconds() * float64(len(m.engines)) * 12) / seeds
	}
	slices.Sort(times)
	var total time.Duration
	for _, d := range times {
		total += d
	}
	result.groupsInTime = float64(inTime) / float64(required)
	result.meanStep = total.Seconds() / float64(len(times))
	result.p95Step = times[len(times)*95/100].Seconds()
	result.loadsPerVersion /= float64(versions)
	result.promptTokensPerRun = float64(prompts) / float64(started)
	return result
}
