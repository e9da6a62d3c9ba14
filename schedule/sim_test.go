package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The load that the tests of this file play: two trainers on nine engines of twelve slots. Each
// asks for a job every four seconds, waits for most of its groups, trains, and names the next
// version of its weights; step k may run under version k - 1 and newer. Lengths are heavy-tailed
// and the estimates are often far off.
type trainerLoad struct {
	model        string
	groups       int
	wanted       int
	groupSize    int
	meanEvents   float64
	training     time.Duration
	jobEvery     time.Duration
	due          time.Duration
	lengthSpread float64 // standard deviation of the logarithm
	hintSpread   float64
}

var twoTrainers = []trainerLoad{
	{model: "a", groups: 13, wanted: 12, groupSize: 8, meanEvents: 20, training: time.Second, jobEvery: 4 * time.Second, due: 7500 * time.Millisecond,
		lengthSpread: 0.8, hintSpread: 0.6},
	{model: "b", groups: 20, wanted: 18, groupSize: 4, meanEvents: 12, training: time.Second, jobEvery: 4 * time.Second, due: 7500 * time.Millisecond,
		lengthSpread: 0.8, hintSpread: 0.6},
}

const (
	tokensPerEvent = 43
	// firstEventGap is the pause between two events of the only run of an engine, and fullFactor
	// how much longer it is when all slots are in use.
	firstEventGap = 28 * time.Millisecond
	fullFactor    = 1.65
	loadDuration  = 900 * time.Millisecond
	simStep       = 20 * time.Millisecond
	// promptTokensPerMs is how fast an engine reads prompts.
	promptTokensPerMs = 193
)

type simItem struct {
	length float64 // events
	made   float64
	engine string
	group  int
	done   bool
}

type simJob struct {
	id      string
	step    int
	asked   time.Time
	items   map[string]*simItem
	left    []int // unfinished items of each group
	whole   int
	tasks   []Task
	trainer *simTrainer
}

type simTrainer struct {
	load   trainerLoad
	step   int
	next   time.Time // when the next step is to be asked
	job    *simJob
	named  uint64
	ready  time.Time // when the version for the next step is named; zero while a job is open
	times  []time.Duration
	inTime int
	asked  int
}

// sim plays the load against a Scheduler.
type sim struct {
	r        *rand.Rand
	s        *Scheduler
	engines  []Engine
	slow     map[string]float64
	loading  map[string]loadEnd
	trainers []*simTrainer
	alternative
	debt     map[string]time.Duration // time until an engine has read its prompts
	cached   map[string]bool          // engine and group whose prompt it has read
	loads    int
	prompts  int // tokens read
	started  int
	busy     float64 // slot seconds in use
	measured time.Time
	reviewed time.Time
}

// alternative is a plainer policy in place of a decision of the Scheduler.
type alternative struct {
	name string
	// change alters the tasks of a job, to play another order of the items.
	change func([]Task)
	// stay keeps runs where they are, as if speeds were not measured.
	stay bool
}

type loadEnd struct {
	load LoadOrder
	at   time.Time
}

func newSim(seed uint64, loads []trainerLoad, a alternative) *sim {
	m := &sim{r: rand.New(rand.NewPCG(seed, 3)), s: New(), slow: make(map[string]float64), loading: make(map[string]loadEnd), alternative: a,
		debt: make(map[string]time.Duration), cached: make(map[string]bool)}
	var models []string
	for i, l := range loads {
		models = append(models, l.model)
		m.trainers = append(m.trainers, &simTrainer{load: l, named: 1, step: 1, next: start.Add(time.Duration(i) * 700 * time.Millisecond)})
	}
	m.engines = engines(9, models...)
	for i := range m.engines {
		m.engines[i].KVCacheTokens = 0
	}
	m.s.SetEngines(m.engines)
	return m
}

func (m *sim) named() map[string]uint64 {
	out := make(map[string]uint64)
	for _, t := range m.trainers {
		out[t.load.model] = t.named
	}
	return out
}

func (m *sim) play(length time.Duration) {
	for now := start; now.Before(start.Add(length)); now = now.Add(simStep) {
		for _, t := range m.trainers {
			m.trainer(now, t)
		}
		m.endLoads(now)
		if now.Sub(m.reviewed) >= 60*time.Millisecond { // as often as the runner does
			m.reviewed = now
			m.s.SetEngines(m.engines)
		}
		for _, l := range m.s.PlanLoads(now, m.named()) {
			m.loads++
			m.s.RecordLoadOrder(now, l, true)
			m.loading[l.Engine] = loadEnd{l, now.Add(loadDuration)}
		}
		for _, a := range m.s.AssignTasks(now) {
			m.begin(a)
		}
		if !m.stay {
			for _, move := range m.s.PlanMoves(now) {
				m.item(move.Key).engine = ""
				m.s.EndRun(now, move.Key, Stopped, 0, 0)
			}
		}
		m.run(now)
	}
}

// begin starts an item. The engine reads the prompt unless it has read it for the group; its other
// runs wait meanwhile.
func (m *sim) begin(a Assignment) {
	it := m.item(a.Task.Key())
	it.engine = a.Engine
	prompt := fmt.Sprintf("%s/%s/%d", a.Engine, a.Task.Job, it.group)
	read := int(it.made * tokensPerEvent)
	if !m.cached[prompt] {
		m.cached[prompt] = true
		read += a.Task.PromptTokens
		m.prompts += a.Task.PromptTokens
	}
	m.started++
	m.debt[a.Engine] += time.Duration(float64(read) / promptTokensPerMs * float64(time.Millisecond))
}

func (m *sim) item(k Key) *simItem {
	for _, t := range m.trainers {
		if t.job != nil && t.job.id == k.Job {
			return t.job.items[k.Item]
		}
	}
	return &simItem{}
}

func (m *sim) trainer(now time.Time, t *simTrainer) {
	if t.job != nil && (t.job.whole >= t.load.wanted || now.Sub(t.job.asked) > 12*time.Second) {
		took := now.Sub(t.job.asked)
		t.times = append(t.times, took)
		m.s.EndJob(t.job.id)
		t.job = nil
		t.ready = now.Add(t.load.training)
	}
	if t.job != nil || now.Before(t.next) || now.Before(t.ready) {
		return
	}
	if t.step > 1 {
		t.named = uint64(t.step)
	}
	t.job = m.newJob(now, t)
	m.s.AddJob(t.job.id, t.job.tasks)
	tokens := 0
	for _, k := range t.job.tasks {
		tokens += k.RemainingTokens + k.PromptTokens
	}
	m.s.RecordDemand("s", t.load.model, tokens)
	t.asked += t.load.wanted
	t.step++
	t.next = t.next.Add(t.load.jobEvery)
}

func (m *sim) newJob(now time.Time, t *simTrainer) *simJob {
	l := t.load
	j := &simJob{id: fmt.Sprintf("%s%d", l.model, t.step), step: t.step, asked: now, items: make(map[string]*simItem), trainer: t}
	median := l.meanEvents / math.Exp(l.lengthSpread*l.lengthSpread/2)
	for g := range l.groups {
		j.left = append(j.left, l.groupSize)
		for i := range l.groupSize {
			id := fmt.Sprintf("%s-%02d-%02d", j.id, g, i)
			length := max(1, math.Round(median*math.Exp(l.lengthSpread*m.r.NormFloat64())))
			j.items[id] = &simItem{length: length, group: g}
			hint := length * math.Exp(l.hintSpread*m.r.NormFloat64())
			minVersion := uint64(max(t.step-1, 1))
			j.tasks = append(j.tasks, Task{Job: j.id, Item: id, Service: "s", Model: l.model, MinVersion: minVersion,
				Group: fmt.Sprintf("%s-%02d", j.id, g), RemainingTokens: int(hint * tokensPerEvent), PromptTokens: 1000, Deadline: now.Add(l.due)})
		}
	}
	if m.change != nil {
		m.change(j.tasks)
	}
	return j
}

func (m *sim) endLoads(now time.Time) {
	for id, l := range m.loading {
		if now.Before(l.at) {
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
		m.s.RecordLoaded(now, id, l.load.Model, l.load.Version)
	}
}

// run lets the runs make text for one step of time.
func (m *sim) run(now time.Time) {
	count := make(map[string]int)
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
				count[it.engine]++
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
		full := float64(count[engine]-1) / 11
		return time.Duration(float64(firstEventGap) * (1 + (fullFactor-1)*full) * max(m.slow[engine], 1))
	}
	work := make(map[string]float64) // share of the step of time that is left after the prompts
	for id := range count {
		read := min(m.debt[id], simStep)
		m.debt[id] -= read
		work[id] = 1 - float64(read)/float64(simStep)
	}
	for _, e := range list {
		m.busy += simStep.Seconds()
		e.it.made += work[e.it.engine] * float64(simStep) / float64(gap(e.it.engine))
		if e.it.made < e.it.length {
			continue
		}
		e.it.done = true
		m.s.EndRun(now, e.key, Finished, 0, 0)
		if e.job.left[e.it.group]--; e.job.left[e.it.group] == 0 {
			e.job.whole++
			if e.job.whole <= e.job.trainer.load.wanted && now.Sub(e.job.asked) <= e.job.trainer.load.due {
				e.job.trainer.inTime++
			}
		}
	}
	if !m.stay && now.Sub(m.measured) >= 300*time.Millisecond {
		m.measured = now
		var speeds []SpeedSample
		for id := range count {
			speeds = append(speeds, SpeedSample{Engine: id, EventGap: gap(id)})
		}
		slices.SortFunc(speeds, func(a, b SpeedSample) int {
			if a.Engine < b.Engine {
				return -1
			}
			return 1
		})
		m.s.RecordSpeeds(now, speeds)
	}
}

// outcome sums up what the trainers got.
type outcome struct {
	inTime  float64 // share of the groups waited for that were whole when due
	step    float64 // mean time of a step in seconds
	worst   float64 // 95th percentile of it
	prompts float64 // tokens of prompts read for an item
	loads   float64 // per named version
	busy    float64 // share of the slots in use
}

func (o outcome) String() string {
	return fmt.Sprintf("%.3f of the groups in time, step %.2f s, 95th percentile %.2f s, %.0f prompt tokens an item, %.1f loads a version, %.0f%% of the slots busy",
		o.inTime, o.step, o.worst, o.prompts, o.loads, 100*o.busy)
}

// play plays the load with several seeds; disturb is called once for each.
func play(loads []trainerLoad, a alternative, disturb func(*sim)) outcome {
	const seeds, length = 5, 60 * time.Second
	var o outcome
	var inTime, asked, versions, prompts, started int
	var times []time.Duration
	for seed := range seeds {
		m := newSim(uint64(seed), loads, a)
		if disturb != nil {
			disturb(m)
		}
		m.play(length)
		for _, t := range m.trainers {
			inTime += t.inTime
			asked += t.asked
			times = append(times, t.times...)
			versions += int(t.named - 1)
		}
		o.loads += float64(m.loads)
		prompts += m.prompts
		started += m.started
		o.busy += m.busy / (length.Seconds() * 9 * 12) / seeds
	}
	slices.Sort(times)
	var total time.Duration
	for _, d := range times {
		total += d
	}
	o.inTime = float64(inTime) / float64(asked)
	o.step = total.Seconds() / float64(len(times))
	o.worst = times[len(times)*95/100].Seconds()
	o.loads /= float64(versions)
	o.prompts = float64(prompts) / float64(started)
	return o
}
