package consensus_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
	"fuchsiaflow/storage/faultfs"
)

const (
	heartbeat       = 100 * time.Millisecond
	electionTimeout = time.Second
	clockDrift      = 100 * time.Millisecond
	// clockRate keeps two clocks within clockDrift of each other over electionTimeout.
	clockRate     = 0.04
	simStep       = 10 * time.Millisecond
	snapshotEvery = 20
	chokeEnd      = 6 * time.Second
)

// command is what the replicated map executes. Keys from fillKey on are not read.
type command struct{ Key, Value int }

const fillKey = 100

// replica is one node with its disk, clock and replicated map.
type replica struct {
	id      string
	node    *consensus.Node // nil while it is down
	log     *storage.Log
	fs      *faultfs.FS
	rate    float64
	lost    bool // the disk was lost
	dieNext bool // crash after the next write, before its messages are sent
	// resumes is the end of a suspension, in which the process does nothing and what is sent to it
	// waits. missed is the time that its clock did not count.
	resumes time.Time
	missed  time.Duration
	state   map[int]int
	sum     uint64   // of state
	voters  []string // as last known to the node
	applied uint64
	snapped uint64
	writes  map[uint64]write // proposals by index
	reads   map[uint64]int   // operations by read id
	waiting map[int]uint64   // operations whose read index is not applied
}

type write struct {
	term uint64
	op   int
}

type flight struct {
	at  time.Time
	msg consensus.Message
}

// sim is a cluster in simulated time, with the oracle that observes it. It is driven by one
// random source, so that a seed repeats a run.
type sim struct {
	rand     *rand.Rand
	now      time.Time
	started  time.Time
	replicas []*replica
	voters   []string
	network  []flight
	cut      map[string]int // replicas in different parts cannot reach each other
	// choked replicas receive later and later, and after chokeEnd their sending is lost.
	choked map[string]time.Time
	fault  string
	loss   float64
	// detached nodes leave the data of snapshots to their caller.
	detached bool

	ops      []porcupine.Operation
	open     map[int]bool // operations without an answer
	clock    int64        // of operations
	readID   uint64
	nextID   int
	removed  map[string]bool
	violated error

	leaders   map[uint64]string
	committed map[uint64]consensus.Entry
	newest    uint64
	states    map[uint64]uint64
	leases    map[string]time.Time // real end of the last lease of each replica
}

func newSim(seed uint64, voters int, fault string) *sim {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{rand: rand.New(rand.NewPCG(seed, 7)), now: start, started: start, cut: map[string]int{}, choked: map[string]time.Time{}, fault: fault, loss: 0.02,
		detached: seed%2 == 1, open: map[int]bool{}, removed: map[string]bool{}, leaders: map[uint64]string{}, committed: map[uint64]consensus.Entry{},
		states: map[uint64]uint64{}, leases: map[string]time.Time{}}
	for range voters {
		s.nextID++
		s.voters = append(s.voters, fmt.Sprintf("n%d", s.nextID))
	}
	for _, id := range s.voters {
		s.add(id, storage.Bootstrap)
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	if s.violated == nil {
		s.violated = fmt.Errorf("%s at %s", fmt.Sprintf(format, args...), s.now.Sub(s.started))
	}
}

func (s *sim) add(id string, start storage.StartMode) {
	r := &replica{id: id, rate: 1 + clockRate*(2*s.rand.Float64()-1),
		fs: faultfs.New(rand.New(rand.NewPCG(s.rand.Uint64(), 1)))}
	s.replicas = append(s.replicas, r)
	s.start(r, start)
	r.fs.IgnoreSyncs(s.fault == "ignore-syncs")
}

// at is the time on a replica's own clock.
func (s *sim) at(r *replica) time.Time {
	return s.started.Add(time.Duration(float64(s.now.Sub(s.started))*r.rate) - r.missed)
}

// runs tells whether the process of a replica can do anything.
func (s *sim) runs(r *replica) bool { return r.node != nil && !s.now.Before(r.resumes) }

func (s *sim) start(r *replica, start storage.StartMode) {
	opt := storage.Options{Group: "g", Voter: r.id, Start: start, SegmentBytes: 2048}
	opt.NewNodeID = func() string { return fmt.Sprint(r.id, s.rand.Uint64()) }
	if start == storage.Bootstrap {
		opt.First = encode(consensus.Bootstrap(s.voters))
	}
	log, rec, err := storage.Open(r.fs, "d", opt)
	if err != nil {
		s.fail("open of %s: %v", r.id, err)
		return
	}
	in := decode(rec)
	cfg := consensus.Config{ID: r.id, Group: "g", ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat,
		MaxClockDrift: clockDrift, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), TrailingEntries: 5, MaxBatchBytes: 200,
		ExternalSnapshots: s.detached}
	if set, ok := consensus.Faults[s.fault]; ok {
		set(&cfg)
	}
	node, err := consensus.New(cfg, in, s.at(r))
	if err != nil {
		s.fail("start of %s: %v", r.id, err)
		return
	}
	r.log, r.node, r.dieNext, r.resumes = log, node, false, s.now
	r.writes, r.reads, r.waiting = map[uint64]write{}, map[uint64]int{}, map[int]uint64{}
	r.voters = node.Status().Voters
	s.restore(r, in.Snapshot)
}

func (s *sim) restore(r *replica, snap consensus.Snapshot) {
	r.state, r.applied, r.snapped = map[int]int{}, snap.Index, snap.Index
	r.sum = 0
	if snap.Index == 0 {
		return
	}
	if err := cbor.Unmarshal(snap.Data, &r.state); err != nil {
		s.fail("snapshot of %s: %v", r.id, err)
	}
	if s.fault == "partial-snapshot" {
		delete(r.state, fillKey)
	}
	for k, v := range r.state {
		r.sum += pairSum(k, v)
	}
	s.observeState(r)
}

// pairSum mixes a key and a value, so that the sum over a map identifies its content.
func pairSum(k, v int) uint64 {
	x := uint64(k+1)*0x9e3779b97f4a7c15 + uint64(v)*0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}

func (r *replica) set(k, v int) {
	if old, ok := r.state[k]; ok {
		r.sum -= pairSum(k, old)
	}
	r.state[k] = v
	r.sum += pairSum(k, v)
}

func (s *sim) observeState(r *replica) {
	if have, ok := s.states[r.applied]; ok && have != r.sum {
		s.fail("state machine safety: %s differs from the others after entry %d", r.id, r.applied)
	}
	s.states[r.applied] = r.sum
}

// crash stops a replica; its unsynced writes are lost.
func (s *sim) crash(r *replica) {
	r.node = nil
	r.fs.Crash()
}

// run advances the simulated time.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.violated == nil; {
		s.now = s.now.Add(simStep)
		s.deliver()
		for _, r := range s.replicas {
			if s.runs(r) {
				r.node.Tick(s.at(r))
				s.work(r)
			}
		}
		s.observe()
	}
}

func (s *sim) deliver() {
	var due []flight
	kept := s.network[:0]
	for _, f := range s.network {
		if f.at.After(s.now) {
			kept = append(kept, f)
		} else {
			due = append(due, f)
		}
	}
	s.network = kept
	s.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		r := s.find(f.msg.To)
		if r == nil || r.node == nil || s.cut[f.msg.From] != s.cut[f.msg.To] {
			continue
		}
		if !s.runs(r) {
			s.network = append(s.network, flight{r.resumes, f.msg})
			continue
		}
		if err := r.node.Step(s.at(r), f.msg); err != nil {
			s.fail("%s refused a message of %s: %v", r.id, f.msg.From, err)
			return
		}
		s.work(r)
	}
}

func (s *sim) find(id string) *replica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// send puts a message on the network, which loses, repeats, delays and reorders.
func (s *sim) send(m consensus.Message) {
	if since, ok := s.choked[m.From]; ok && s.now.Sub(since) > chokeEnd {
		return
	}
	for copies := 1; copies > 0 && s.rand.Float64() >= s.loss; copies-- {
		delay := time.Duration(s.rand.Int64N(int64(30 * time.Millisecond)))
		if s.rand.IntN(30) == 0 {
			delay = time.Duration(s.rand.Int64N(int64(3 * electionTimeout)))
		}
		if since, ok := s.choked[m.To]; ok {
			// The delay grows more slowly than time passes, so that answers keep arriving.
			delay += s.now.Sub(since) * 7 / 10
		}
		s.network = append(s.network, flight{s.now.Add(delay), m})
		if s.rand.IntN(30) == 0 {
			copies++
		}
	}
}

// attach adds the stored data to a snapshot that is to be sent.
func (s *sim) attach(r *replica, m *consensus.Message) bool {
	if m.Snapshot.Data != nil {
		s.fail("a detached node of %s sends the data of snapshot %d", r.id, m.Snapshot.Index)
	}
	snapshot := *m.Snapshot
	data, size, err := r.log.ReadSnapshot(snapshot.Index, 0)
	if err != nil || uint64(len(data)) != size {
		return false
	}
	snapshot.Data = data
	m.Snapshot = &snapshot
	return true
}

// work does what the node of a replica asks for.
func (s *sim) work(r *replica) {
	for r.node != nil && r.node.HasReady() && s.violated == nil {
		rd := r.node.Ready()
		if err := persist(r.log, rd); err != nil {
			s.crash(r)
			return
		}
		if r.dieNext && (len(rd.Entries) > 0 || rd.HardState != nil) {
			s.crash(r)
			return
		}
		for _, m := range rd.Messages {
			if m.Type == consensus.MsgSnapshot && s.detached && !s.attach(r, &m) {
				continue
			}
			s.send(m)
		}
		if rd.Snapshot != nil {
			s.restore(r, *rd.Snapshot)
		}
		for _, e := range rd.Committed {
			s.apply(r, e)
		}
		s.answerReads(r, rd.Reads)
		r.node.Advance(rd)
		r.voters = r.node.Status().Voters
		s.snapshot(r)
	}
}

func (s *sim) apply(r *replica, e consensus.Entry) {
	if e.Index != r.applied+1 {
		s.fail("%s applies entry %d after %d", r.id, e.Index, r.applied)
	}
	if have, ok := s.committed[e.Index]; ok && (have.Term != e.Term || string(have.Data) != string(e.Data)) {
		s.fail("committed entry %d changed from term %d to %d on %s", e.Index, have.Term, e.Term, r.id)
	}
	s.committed[e.Index] = e
	s.newest = max(s.newest, e.Index)
	r.applied = e.Index
	if e.Type == consensus.EntryCommand {
		var c command
		_ = cbor.Unmarshal(e.Data, &c)
		r.set(c.Key, c.Value)
	}
	if w, ok := r.writes[e.Index]; ok && w.term == e.Term {
		s.finish(w.op, nil)
	}
	s.observeState(r)
}

func (s *sim) answerReads(r *replica, reads []consensus.ReadState) {
	for _, rs := range reads {
		if !rs.Aborted {
			r.waiting[r.reads[rs.ID]] = rs.Index
		}
	}
	for _, op := range slices.Sorted(maps.Keys(r.waiting)) {
		if r.waiting[op] <= r.applied {
			value := r.state[s.ops[op].Input.(input).key]
			s.finish(op, value)
			delete(r.waiting, op)
		}
	}
}

func (s *sim) snapshot(r *replica) {
	if r.applied < r.snapped+snapshotEvery {
		return
	}
	snap, ok := r.node.SnapshotAt(r.applied)
	if !ok {
		return
	}
	snap.Data, _ = cbor.Marshal(r.state)
	extra, _ := cbor.Marshal(snap.Conf)
	if err := r.log.Snapshot(storage.SnapshotMeta{Index: snap.Index, Term: snap.Term, Extra: extra}, snap.Data); err != nil {
		s.crash(r)
		return
	}
	r.node.Compact(snap)
	r.snapped = r.applied
}

// observe checks the invariants that hold at any moment.
func (s *sim) observe() {
	for _, r := range s.replicas {
		if !s.runs(r) {
			continue
		}
		if st := r.node.Status(); st.Role == consensus.Leader {
			s.observeLeader(r, st.Term)
		}
		until, ok := r.node.Lease(s.at(r))
		if !ok {
			continue
		}
		for id, end := range s.leases {
			if id != r.id && end.After(s.now) {
				s.fail("%s and %s have leases at the same moment", r.id, id)
			}
		}
		s.leases[r.id] = s.now.Add(time.Duration(float64(until.Sub(s.at(r))) / r.rate))
	}
}

func (s *sim) observeLeader(r *replica, term uint64) {
	if have, ok := s.leaders[term]; ok {
		if have != r.id {
			s.fail("%s and %s lead term %d", have, r.id, term)
		}
		return
	}
	s.leaders[term] = r.id
	for index, e := range s.committed {
		if t, ok := r.node.TermAt(index); index > r.node.Base() && e.Term < term && (!ok || t != e.Term) {
			s.fail("new leader %s of term %d lacks the committed entry %d", r.id, term, index)
		}
	}
}

// input is an operation on the replicated map.
type input struct {
	key, value int
	write      bool
}

func (s *sim) begin(in input) int {
	s.clock++
	op := len(s.ops)
	s.ops = append(s.ops, porcupine.Operation{ClientId: op, Input: in, Call: s.clock, Return: math.MaxInt64})
	s.open[op] = true
	return op
}

func (s *sim) finish(op int, output any) {
	if s.open[op] {
		s.clock++
		s.ops[op].Return, s.ops[op].Output = s.clock, output
		delete(s.open, op)
	}
}

// put proposes a write through any replica that believes to lead.
func (s *sim) put(r *replica, key int) {
	in := input{key: key, value: len(s.ops) + 1, write: true}
	data, _ := cbor.Marshal(command{key, in.value})
	index, term, err := r.node.Propose(s.at(r), data)
	if err == nil {
		r.writes[index] = write{term, s.begin(in)}
		s.work(r)
	} else if errs.OutcomeOf(err) != errs.NotRun {
		s.fail("refused proposal has outcome %s", errs.OutcomeOf(err))
	}
}

// fill proposes a number of writes that are not part of the history.
func (s *sim) fill(r *replica, count int) {
	for i := range count {
		data, _ := cbor.Marshal(command{fillKey + i%5, int(s.rand.Uint32())})
		_, _, _ = r.node.Propose(s.at(r), data)
	}
	s.work(r)
}

func (s *sim) get(r *replica, key int) {
	s.readID++
	op := s.begin(input{key: key})
	r.reads[s.readID] = op
	if r.node.ReadIndex(s.at(r), s.readID) == nil {
		s.work(r)
	}
}

// history returns the operations for the linearizability check. Reads without an answer
// have no effect; writes without one may take effect at any time.
func (s *sim) history() []porcupine.Operation {
	var out []porcupine.Operation
	for i, op := range s.ops {
		if !s.open[i] || op.Input.(input).write {
			out = append(out, op)
		}
	}
	return out
}

var mapModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(input).key
			byKey[k] = append(byKey[k], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op := in.(input)
		if op.write {
			return true, op.value
		}
		return out == state, state
	},
}

func persist(log *storage.Log, rd consensus.Ready) error {
	var in consensus.InitialState
	if rd.HardState != nil {
		in.HardState = *rd.HardState
	}
	if s := rd.Snapshot; s != nil {
		if err := log.Append(encode(in)); err != nil {
			return err
		}
		extra, _ := cbor.Marshal(s.Conf)
		if err := log.Snapshot(storage.SnapshotMeta{Index: s.Index, Term: s.Term, Extra: extra}, s.Data); err != nil {
			return err
		}
	}
	in.Entries = rd.Entries
	return log.Append(encode(in))
}

func encode(in consensus.InitialState) (b storage.Batch) {
	if in.HardState != (consensus.HardState{}) {
		b.HardState, _ = cbor.Marshal(in.HardState)
	}
	for _, e := range in.Entries {
		data, _ := cbor.Marshal(e)
		b.Entries = append(b.Entries, storage.Entry{Index: e.Index, Term: e.Term, Data: data})
	}
	return b
}

func decode(r storage.Recovered) (in consensus.InitialState) {
	_ = cbor.Unmarshal(r.HardState, &in.HardState)
	if r.Snapshot.Index > 0 {
		in.Snapshot = consensus.Snapshot{Index: r.Snapshot.Index, Term: r.Snapshot.Term, Data: r.SnapshotData}
		_ = cbor.Unmarshal(r.Snapshot.Extra, &in.Snapshot.Conf)
	}
	for _, e := range r.Entries {
		var out consensus.Entry
		_ = cbor.Unmarshal(e.Data, &out)
		in.Entries = append(in.Entries, out)
	}
	in.Applied = in.Snapshot.Index
	return in
}
