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
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = time.Second
	maxClockDrift     = 100 * time.Millisecond
	// maxClockRateError is the relative error of a replica's clock. Two clocks diverge by at most
	// twice that, which is less than maxClockDrift within one electionTimeout.
	maxClockRateError = 0.04
	simStep           = 10 * time.Millisecond
	snapshotInterval  = 20 // entries
	slowLinkCutoff    = 6 * time.Second
)

// command is a write to the replicated map. Keys from firstFillKey on are never read.
type command struct{ Key, Value int }

const firstFillKey = 100

// replica is a node with its disk, clock and replicated map.
type replica struct {
	id              string
	node            *consensus.Node // nil while the process is down
	log             *storage.Log
	fs              *faultfs.FS
	clockRate       float64
	diskLost        bool // the data was permanently lost
	crashAfterWrite bool // crash after the next write, before the messages that depend on it are sent
	// resumeAt is the end of a suspension. A suspended process does nothing, and messages to it are
	// delivered when it resumes. clockLag is the time for which its clock was stopped.
	resumeAt       time.Time
	clockLag       time.Duration
	state          map[int]int
	stateHash      uint64   // hash of state
	voters         []string // voters of the membership in effect on the node
	applied        uint64
	snapshotIndex  uint64
	pendingWrites  map[uint64]pendingWrite // proposed writes by log index
	pendingReads   map[uint64]int          // operation of each read by read ID
	unappliedReads map[int]uint64          // read index by operation, of reads that wait until it is applied
}

// pendingWrite is a proposed operation and the term of its entry.
type pendingWrite struct {
	term uint64
	op   int
}

// delivery is a message on the simulated network.
type delivery struct {
	at  time.Time // delivery time
	msg consensus.Message
}

// sim is a cluster in simulated time with the checks of its invariants. A single random source
// makes each run reproducible from its seed.
type sim struct {
	rand      *rand.Rand
	now       time.Time
	startTime time.Time
	replicas  []*replica
	voters    []string
	network   []delivery
	partition map[string]int // replicas with different values cannot reach each other
	// slowLinks are the times from which the links of replicas slow down. Messages to such a replica
	// are delayed more and more, and after slowLinkCutoff those from it are lost.
	slowLinks map[string]time.Time
	fault     string
	lossRate  float64
	// externalSnapshots leaves the snapshot data of all nodes to their callers.
	externalSnapshots bool

	ops       []porcupine.Operation
	openOps   map[int]bool // operations that have not returned
	opClock   int64        // logical time of calls and returns
	readID    uint64       // of the last read
	nextID    int          // number of the last replica name
	removed   map[string]bool
	violation error

	leaderByTerm    map[uint64]string
	committed       map[uint64]consensus.Entry
	newestCommitted uint64               // highest index in committed
	stateHashes     map[uint64]uint64    // state hash by applied index
	leaseEnds       map[string]time.Time // end of the latest lease of each replica, in simulated time
}

func newSim(seed uint64, voters int, fault string) *sim {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{rand: rand.New(rand.NewPCG(seed, 7)), now: start, startTime: start,
		partition: map[string]int{}, slowLinks: map[string]time.Time{}, fault: fault, lossRate: 0.02,
		externalSnapshots: seed%2 == 1, openOps: map[int]bool{}, removed: map[string]bool{},
		leaderByTerm: map[uint64]string{}, committed: map[uint64]consensus.Entry{},
		stateHashes: map[uint64]uint64{}, leaseEnds: map[string]time.Time{}}
	for range voters {
		s.nextID++
		s.voters = append(s.voters, fmt.Sprintf("n%d", s.nextID))
	}
	for _, id := range s.voters {
		s.addReplica(id, storage.Bootstrap)
	}
	return s
}

// fail records the first violation.
func (s *sim) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("%s at %s", fmt.Sprintf(format, args...), s.now.Sub(s.startTime))
	}
}

func (s *sim) addReplica(id string, mode storage.StartMode) {
	r := &replica{id: id, clockRate: 1 + maxClockRateError*(2*s.rand.Float64()-1),
		fs: faultfs.New(rand.New(rand.NewPCG(s.rand.Uint64(), 1)))}
	s.replicas = append(s.replicas, r)
	s.startReplica(r, mode)
	r.fs.IgnoreSyncs(s.fault == "ignore-syncs")
}

// localTime returns the time on a replica's own clock.
func (s *sim) localTime(r *replica) time.Time {
	return s.startTime.Add(time.Duration(float64(s.now.Sub(s.startTime))*r.clockRate) - r.clockLag)
}

// isRunning reports whether the process of a replica is neither down nor suspended.
func (s *sim) isRunning(r *replica) bool { return r.node != nil && !s.now.Before(r.resumeAt) }

func (s *sim) startReplica(r *replica, mode storage.StartMode) {
	opt := storage.Options{Group: "g", Voter: r.id, Start: mode, SegmentBytes: 2048}
	opt.NewNodeID = func() string { return fmt.Sprint(r.id, s.rand.Uint64()) }
	if mode == storage.Bootstrap {
		opt.InitialBatch = encodeBatch(consensus.Bootstrap(s.voters))
	}
	log, recovered, err := storage.Open(r.fs, "d", opt)
	if err != nil {
		s.fail("open of %s: %v", r.id, err)
		return
	}
	in := decodeInitial(recovered)
	cfg := consensus.Config{ID: r.id, Group: "g", ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		MaxClockDrift: maxClockDrift, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), TrailingEntries: 5, MaxBatchBytes: 200,
		ExternalSnapshots: s.externalSnapshots}
	if injectFault, ok := consensus.Faults[s.fault]; ok {
		injectFault(&cfg)
	}
	node, err := consensus.New(cfg, in, s.localTime(r))
	if err != nil {
		s.fail("start of %s: %v", r.id, err)
		return
	}
	r.log, r.node, r.crashAfterWrite, r.resumeAt = log, node, false, s.now
	r.pendingWrites, r.pendingReads, r.unappliedReads = map[uint64]pendingWrite{}, map[uint64]int{}, map[int]uint64{}
	r.voters = node.Status().Voters
	s.restore(r, in.Snapshot)
}

func (s *sim) restore(r *replica, snap consensus.Snapshot) {
	r.state, r.applied, r.snapshotIndex = map[int]int{}, snap.Index, snap.Index
	r.stateHash = 0
	if snap.Index == 0 {
		return
	}
	if err := cbor.Unmarshal(snap.Data, &r.state); err != nil {
		s.fail("snapshot of %s: %v", r.id, err)
	}
	if s.fault == "partial-snapshot" {
		delete(r.state, firstFillKey)
	}
	for k, v := range r.state {
		r.stateHash += pairHash(k, v)
	}
	s.checkState(r)
}

// pairHash hashes a key and a value. The sum of the hashes of all pairs identifies the content of
// a map.
func pairHash(k, v int) uint64 {
	x := uint64(k+1)*0x9e3779b97f4a7c15 + uint64(v)*0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}

func (r *replica) set(k, v int) {
	if old, ok := r.state[k]; ok {
		r.stateHash -= pairHash(k, old)
	}
	r.state[k] = v
	r.stateHash += pairHash(k, v)
}

// checkState checks that all replicas have the same state after the same entry.
func (s *sim) checkState(r *replica) {
	if have, ok := s.stateHashes[r.applied]; ok && have != r.stateHash {
		s.fail("state machine safety: %s differs from the others after entry %d", r.id, r.applied)
	}
	s.stateHashes[r.applied] = r.stateHash
}

// crash stops a replica, which loses its unsynced writes.
func (s *sim) crash(r *replica) {
	r.node = nil
	r.fs.Crash()
}

// advance advances the simulated time by d or until a violation.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.violation == nil; {
		s.now = s.now.Add(simStep)
		s.deliver()
		for _, r := range s.replicas {
			if s.isRunning(r) {
				r.node.Tick(s.localTime(r))
				s.processReady(r)
			}
		}
		s.checkInvariants()
	}
}

// deliver delivers the messages that are due, in random order.
func (s *sim) deliver() {
	var due []delivery
	undelivered := s.network[:0]
	for _, d := range s.network {
		if d.at.After(s.now) {
			undelivered = append(undelivered, d)
		} else {
			due = append(due, d)
		}
	}
	s.network = undelivered
	s.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		r := s.findReplica(d.msg.To)
		if r == nil || r.node == nil || s.partition[d.msg.From] != s.partition[d.msg.To] {
			continue
		}
		if !s.isRunning(r) {
			s.network = append(s.network, delivery{r.resumeAt, d.msg})
			continue
		}
		if err := r.node.Step(s.localTime(r), d.msg); err != nil {
			s.fail("%s rejected a message from %s: %v", r.id, d.msg.From, err)
			return
		}
		s.processReady(r)
	}
}

func (s *sim) findReplica(id string) *replica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// send puts a message on the simulated network, which loses, duplicates, delays and reorders
// messages.
func (s *sim) send(m consensus.Message) {
	if since, ok := s.slowLinks[m.From]; ok && s.now.Sub(since) > slowLinkCutoff {
		return
	}
	for copies := 1; copies > 0 && s.rand.Float64() >= s.lossRate; copies-- {
		delay := time.Duration(s.rand.Int64N(int64(30 * time.Millisecond)))
		if s.rand.IntN(30) == 0 {
			delay = time.Duration(s.rand.Int64N(int64(3 * electionTimeout)))
		}
		if since, ok := s.slowLinks[m.To]; ok {
			// The delay grows more slowly than time passes, so that responses keep arriving.
			delay += s.now.Sub(since) * 7 / 10
		}
		s.network = append(s.network, delivery{s.now.Add(delay), m})
		if s.rand.IntN(30) == 0 {
			copies++
		}
	}
}

// attachSnapshotData adds the stored data to an outgoing snapshot. It returns false if the data
// cannot be read.
func (s *sim) attachSnapshotData(r *replica, m *consensus.Message) bool {
	if m.Snapshot.Data != nil {
		s.fail("node %s with external snapshots sent the data of snapshot %d", r.id, m.Snapshot.Index)
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

// processReady does the work that a replica's node returns from Ready.
func (s *sim) processReady(r *replica) {
	for r.node != nil && r.node.HasReady() && s.violation == nil {
		ready := r.node.Ready()
		if err := persist(r.log, ready); err != nil {
			s.crash(r)
			return
		}
		if r.crashAfterWrite && (len(ready.Entries) > 0 || ready.HardState != nil) {
			s.crash(r)
			return
		}
		for _, m := range ready.Messages {
			if m.Type == consensus.MsgSnapshot && s.externalSnapshots && !s.attachSnapshotData(r, &m) {
				continue
			}
			s.send(m)
		}
		if ready.Snapshot != nil {
			s.restore(r, *ready.Snapshot)
		}
		for _, e := range ready.Committed {
			s.apply(r, e)
		}
		s.answerReads(r, ready.Reads)
		r.node.Advance(ready)
		r.voters = r.node.Status().Voters
		s.maybeSnapshot(r)
	}
}

// apply applies a committed entry and checks that it is the same on all replicas.
func (s *sim) apply(r *replica, e consensus.Entry) {
	if e.Index != r.applied+1 {
		s.fail("%s applies entry %d after %d", r.id, e.Index, r.applied)
	}
	if have, ok := s.committed[e.Index]; ok && (have.Term != e.Term || string(have.Data) != string(e.Data)) {
		s.fail("committed entry %d changed from term %d to %d on %s", e.Index, have.Term, e.Term, r.id)
	}
	s.committed[e.Index] = e
	s.newestCommitted = max(s.newestCommitted, e.Index)
	r.applied = e.Index
	if e.Type == consensus.EntryCommand {
		var c command
		_ = cbor.Unmarshal(e.Data, &c)
		r.set(c.Key, c.Value)
	}
	if w, ok := r.pendingWrites[e.Index]; ok && w.term == e.Term {
		s.finishOp(w.op, nil)
	}
	s.checkState(r)
}

// answerReads completes the reads whose index is applied.
func (s *sim) answerReads(r *replica, reads []consensus.ReadState) {
	for _, read := range reads {
		if !read.Aborted {
			r.unappliedReads[r.pendingReads[read.ID]] = read.Index
		}
	}
	for _, op := range slices.Sorted(maps.Keys(r.unappliedReads)) {
		if r.unappliedReads[op] <= r.applied {
			value := r.state[s.ops[op].Input.(operation).key]
			s.finishOp(op, value)
			delete(r.unappliedReads, op)
		}
	}
}

// maybeSnapshot stores a snapshot if enough entries were applied since the last one.
func (s *sim) maybeSnapshot(r *replica) {
	if r.applied < r.snapshotIndex+snapshotInterval {
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
	r.snapshotIndex = r.applied
}

// checkInvariants checks that each term has at most one leader, that a new leader has all committed
// entries, and that at most one replica holds a lease.
func (s *sim) checkInvariants() {
	for _, r := range s.replicas {
		if !s.isRunning(r) {
			continue
		}
		if st := r.node.Status(); st.Role == consensus.Leader {
			s.checkLeader(r, st.Term)
		}
		until, ok := r.node.Lease(s.localTime(r))
		if !ok {
			continue
		}
		for id, end := range s.leaseEnds {
			if id != r.id && end.After(s.now) {
				s.fail("%s and %s hold a lease at the same time", r.id, id)
			}
		}
		s.leaseEnds[r.id] = s.now.Add(time.Duration(float64(until.Sub(s.localTime(r))) / r.clockRate))
	}
}

// checkLeader checks that r is the only leader of its term and has all committed entries.
func (s *sim) checkLeader(r *replica, term uint64) {
	if have, ok := s.leaderByTerm[term]; ok {
		if have != r.id {
			s.fail("%s and %s lead term %d", have, r.id, term)
		}
		return
	}
	s.leaderByTerm[term] = r.id
	for index, e := range s.committed {
		if t, ok := r.node.TermAt(index); index > r.node.BaseIndex() && e.Term < term && (!ok || t != e.Term) {
			s.fail("new leader %s of term %d lacks the committed entry %d", r.id, term, index)
		}
	}
}

// operation is an operation on the replicated map.
type operation struct {
	key, value int
	write      bool
}

func (s *sim) beginOp(in operation) int {
	s.opClock++
	op := len(s.ops)
	s.ops = append(s.ops, porcupine.Operation{ClientId: op, Input: in, Call: s.opClock, Return: math.MaxInt64})
	s.openOps[op] = true
	return op
}

func (s *sim) finishOp(op int, output any) {
	if s.openOps[op] {
		s.opClock++
		s.ops[op].Return, s.ops[op].Output = s.opClock, output
		delete(s.openOps, op)
	}
}

// put proposes a write through a replica that considers itself leader.
func (s *sim) put(r *replica, key int) {
	in := operation{key: key, value: len(s.ops) + 1, write: true}
	data, _ := cbor.Marshal(command{key, in.value})
	index, term, err := r.node.Propose(s.localTime(r), data)
	if err == nil {
		r.pendingWrites[index] = pendingWrite{term, s.beginOp(in)}
		s.processReady(r)
	} else if errs.OutcomeOf(err) != errs.NotRun {
		s.fail("rejected proposal has outcome %s", errs.OutcomeOf(err))
	}
}

// fillLog proposes writes that are not part of the history.
func (s *sim) fillLog(r *replica, count int) {
	for i := range count {
		data, _ := cbor.Marshal(command{firstFillKey + i%5, int(s.rand.Uint32())})
		_, _, _ = r.node.Propose(s.localTime(r), data)
	}
	s.processReady(r)
}

// get starts a linearizable read through a replica.
func (s *sim) get(r *replica, key int) {
	s.readID++
	op := s.beginOp(operation{key: key})
	r.pendingReads[s.readID] = op
	if r.node.ReadIndex(s.localTime(r), s.readID) == nil {
		s.processReady(r)
	}
}

// history returns the operations for the linearizability check. Reads that have not returned are
// omitted because they have no effect; writes that have not returned may take effect at any time.
func (s *sim) history() []porcupine.Operation {
	var out []porcupine.Operation
	for i, op := range s.ops {
		if !s.openOps[i] || op.Input.(operation).write {
			out = append(out, op)
		}
	}
	return out
}

var mapModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(operation).key
			byKey[k] = append(byKey[k], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op := in.(operation)
		if op.write {
			return true, op.value
		}
		return out == state, state
	},
}

func persist(log *storage.Log, ready consensus.Ready) error {
	var in consensus.InitialState
	if ready.HardState != nil {
		in.HardState = *ready.HardState
	}
	if s := ready.Snapshot; s != nil {
		if err := log.Append(encodeBatch(in)); err != nil {
			return err
		}
		extra, _ := cbor.Marshal(s.Conf)
		if err := log.Snapshot(storage.SnapshotMeta{Index: s.Index, Term: s.Term, Extra: extra}, s.Data); err != nil {
			return err
		}
	}
	in.Entries = ready.Entries
	return log.Append(encodeBatch(in))
}

func encodeBatch(in consensus.InitialState) (b storage.Batch) {
	if in.HardState != (consensus.HardState{}) {
		b.HardState, _ = cbor.Marshal(in.HardState)
	}
	for _, e := range in.Entries {
		data, _ := cbor.Marshal(e)
		b.Entries = append(b.Entries, storage.Entry{Index: e.Index, Term: e.Term, Data: data})
	}
	return b
}

func decodeInitial(r storage.Recovered) (in consensus.InitialState) {
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
