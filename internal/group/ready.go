package group

import (
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// handleReady persists, sends and applies what the node asks for, in this order.
func (g *Group) handleReady() error {
	rd := g.node.Ready()
	if err := g.persist(rd); err != nil {
		return err
	}
	g.send(g.outgoing(rd.Messages))
	if err := g.applyAll(rd); err != nil {
		return err
	}
	for _, read := range rd.Reads {
		requests := g.reads[read.ID]
		delete(g.reads, read.ID)
		if read.Aborted {
			finishAll(requests, &errs.NotLeader{Group: g.opt.Group, Leader: g.node.Status().Leader})
		} else {
			g.ready = append(g.ready, readyRead{read.Index, requests})
		}
	}
	g.node.Advance(rd)
	return g.maybeSnapshot()
}

func (g *Group) persist(rd consensus.Ready) error {
	if rd.Snapshot == nil {
		return g.log.Append(encodeBatch(consensus.InitialState{Entries: rd.Entries, HardState: hardState(rd)}))
	}
	if err := g.log.Append(encodeBatch(consensus.InitialState{HardState: hardState(rd)})); err != nil {
		return err
	}
	if g.log.SnapshotIndex() < rd.Snapshot.Index { // else stored before a refused append
		if err := g.log.Snapshot(encodeSnapshot(*rd.Snapshot), rd.Snapshot.Data); err != nil {
			return err
		}
	}
	return g.log.Append(encodeBatch(consensus.InitialState{Entries: rd.Entries}))
}

func hardState(rd consensus.Ready) consensus.HardState {
	if rd.HardState == nil {
		return consensus.HardState{}
	}
	return *rd.HardState
}

func (g *Group) applyAll(rd consensus.Ready) error {
	if rd.Snapshot == nil && len(rd.Committed) == 0 {
		return nil
	}
	g.apply.Lock()
	defer g.apply.Unlock()
	if s := rd.Snapshot; s != nil {
		if err := readSnapshot(g.opt.StateMachine, bytes.NewReader(s.Data)); err != nil {
			return errors.WithMessage(err, "restore snapshot of group "+g.opt.Group)
		}
		g.applied, g.nextSnapshot = s.Index, s.Index+snapshotInterval(g.opt.SnapshotEvery, g.opt.ID)
	}
	for _, e := range rd.Committed {
		if e.Index != g.applied+1 {
			return &errs.Corrupt{What: "committed log", Offset: int64(e.Index),
				Detail: fmt.Sprintf("entry %d follows applied entry %d", e.Index, g.applied)}
		}
		var result []byte
		if e.Type == consensus.EntryCommand {
			result = g.opt.StateMachine.Apply(e.Index, e.Data)
		}
		g.applied = e.Index
		g.answer(e, result)
	}
	return nil
}

func (g *Group) answer(e consensus.Entry, result []byte) {
	r, ok := g.proposals[e.Index]
	if !ok {
		return
	}
	delete(g.proposals, e.Index)
	if r.term == e.Term {
		r.finish(result, nil)
		return
	}
	r.finish(nil, &errs.Unavailable{Resource: "group " + g.opt.Group, Reason: "another leader's entry took the place of the command"})
}

// maybeSnapshot stores a snapshot when enough entries have been applied since the last. A disk that refuses
// it is tried again later; the log only stays longer meanwhile.
func (g *Group) maybeSnapshot() error {
	if g.applied < g.nextSnapshot {
		return nil
	}
	g.nextSnapshot = g.applied + snapshotInterval(g.opt.SnapshotEvery, g.opt.ID)
	s, ok := g.node.SnapshotAt(g.applied)
	if !ok {
		return nil
	}
	err := g.log.WriteSnapshot(encodeSnapshot(s), func(w io.Writer) error {
		g.apply.Lock()
		defer g.apply.Unlock() // before the sync, which may take long
		return writeSnapshot(g.opt.StateMachine, w)
	})
	if err != nil {
		var full *storage.Refused
		if errors.As(err, &full) {
			g.opt.Logger.Warn("snapshot refused by the disk", "error", err)
			return nil
		}
		return err
	}
	g.node.Compact(s)
	return nil
}
