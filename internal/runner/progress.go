package runner

import (
	"time"

	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

const (
	// storeInterval is how often the texts of running items are committed, so that the next
	// leader need not generate them again.
	storeInterval = 300 * time.Millisecond
	// minStoredEvents is the number of new events from which the text of a run is committed.
	// Most items end with fewer; it is the long ones that are worth it.
	minStoredEvents = 8
)

// storeProgress commits what running items have generated since the last time.
func (r *Runner) storeProgress(now time.Time) {
	if now.Sub(r.stored) < storeInterval {
		return
	}
	r.stored = now
	var items []storestate.ItemProgress
	var runs []*run
	for key, rn := range r.runs {
		if rn.storing || r.jobs[key.Job] == nil {
			continue
		}
		if p, ok := rn.x.unstored(); ok {
			rn.storing = true
			runs = append(runs, rn)
			items = append(items, p)
		}
	}
	if len(items) == 0 {
		return
	}
	r.propose(&storestate.Command{Progress: &storestate.Progress{Items: items}}, func(_ time.Time, reply storestate.Reply) {
		for i, rn := range runs {
			rn.storing = false
			if i < len(reply.Taken) && reply.Taken[i] {
				rn.x.setStored(items[i].From + items[i].Text.Text.Len())
			}
		}
	})
}

// unstored returns the part of the text that is not committed, if it is worth it.
func (x *itemRun) unstored() (storestate.ItemProgress, bool) {
	x.text.mu.Lock()
	defer x.text.mu.Unlock()
	t := x.text
	if t.events-t.storedEvents < minStoredEvents {
		return storestate.ItemProgress{}, false
	}
	t.storedEvents = t.events // not tried again if it is refused
	return storestate.ItemProgress{Job: x.job.ID, Item: x.item.ID, From: t.stored, Text: jobs.Partial{
		Text: jobs.NewText(t.text[t.stored:]), Last: t.last, Events: t.events, Versions: t.versions}}, true
}

func (x *itemRun) setStored(n int) {
	x.text.mu.Lock()
	defer x.text.mu.Unlock()
	x.text.stored = n
}

// storedPartial returns the committed text of an item, or nil if there is none.
func storedPartial(b *jobs.Book, item string) (*partial, error) {
	p, ok := b.Partial(item)
	if !ok {
		return nil, nil
	}
	text, err := p.Text.Bytes()
	if err != nil {
		return nil, err
	}
	return &partial{text: text, last: p.Last, events: p.Events, versions: p.Versions, stored: len(text), storedEvents: p.Events}, nil
}
