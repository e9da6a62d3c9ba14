package runner

import (
	"time"

	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

const (
	// progressInterval is how often the partial texts of running items are committed, so that
	// a new leader can resume them.
	progressInterval = 300 * time.Millisecond
	// minProgressEvents is the minimum number of new events for a commit. Most items have fewer
	// events in total; only long items are worth the cost of a commit.
	minProgressEvents = 8
)

// storeProgress commits the text that running items have generated since the last commit.
func (r *Runner) storeProgress(now time.Time) {
	if now.Sub(r.progressStoredAt) < progressInterval {
		return
	}
	r.progressStoredAt = now
	var items []storestate.ItemProgress
	var runs []*activeRun
	for key, rn := range r.runs {
		if rn.committing || r.jobs[key.Job] == nil {
			continue
		}
		if p, ok := rn.itemRun.uncommitted(); ok {
			p.Partial.Revision = r.nextRevision()
			rn.committing = true
			runs = append(runs, rn)
			items = append(items, p)
		}
	}
	if len(items) == 0 {
		return
	}
	r.propose(&storestate.Command{Progress: &storestate.Progress{Items: items}}, func(_ time.Time, reply storestate.Reply) {
		for i, rn := range runs {
			rn.committing = false
			if i < len(reply.Stored) && reply.Stored[i] {
				rn.itemRun.setCommitted(items[i].StoredPrefix())
			}
		}
	})
}

// uncommitted returns the part of the text that is not committed yet, or false if fewer than
// minProgressEvents events were added since the last proposal.
func (ir *itemRun) uncommitted() (storestate.ItemProgress, bool) {
	ir.output.mu.Lock()
	defer ir.output.mu.Unlock()
	p := ir.output
	if p.eventCount-p.proposedEvents < minProgressEvents {
		return storestate.ItemProgress{}, false
	}
	p.proposedEvents = p.eventCount // a rejected part is proposed again only with new events
	return storestate.ItemProgress{Job: ir.job.ID, Owner: ir.job.Owner, Item: ir.item.ID, Offset: p.committed.Len, BaseRevision: p.committed.Revision, Partial: jobs.PartialText{
		Text: jobs.NewText(p.text[p.committed.Len:]), LastEventID: p.lastEventID, EventCount: p.eventCount, Versions: p.versions,
		Release: p.release, Writer: p.writer.Target, WriterIncarnation: p.writer.Incarnation,
		WriterAnsweredAt: p.writer.AnsweredAt}}, true
}

// setCommitted records that a prefix of the text is committed.
func (ir *itemRun) setCommitted(prefix jobs.Prefix) {
	ir.output.mu.Lock()
	defer ir.output.mu.Unlock()
	ir.output.committed = prefix
}

// nextRevision returns a revision for a text to store. It is unique, because a term has one leader.
func (r *Runner) nextRevision() uint64 {
	const termShift = 32 // bits; a term stores far fewer than 1<<32 texts
	r.revisionsInTerm++
	return r.term<<termShift | r.revisionsInTerm
}

// committedPartial returns the committed partial text of an item, or nil if there is none.
func committedPartial(table *jobs.Table, item jobs.Key) (*partialText, error) {
	p, ok := table.PartialText(item)
	if !ok {
		return nil, nil
	}
	text, err := p.Text.Bytes()
	if err != nil {
		return nil, err
	}
	return &partialText{text: text, lastEventID: p.LastEventID, eventCount: p.EventCount, versions: p.Versions, release: p.Release, writer: identity.Claim{Target: p.Writer, Incarnation: p.WriterIncarnation, Release: p.Release, AnsweredAt: p.WriterAnsweredAt}, committed: jobs.Prefix{Revision: p.Revision, Len: len(text)}, proposedEvents: p.EventCount,
		complete: p.Complete, completeCommitted: p.Complete}, nil
}
