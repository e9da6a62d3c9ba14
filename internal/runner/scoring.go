package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
	"fuchsiaflow/schedule"
)

// minScoringTimeout is the minimum timeout of a scoring call. A trainer still uses results that are
// somewhat late.
const minScoringTimeout = time.Second

// pendingScore is an item whose text is complete and committed, and which waits for its score.
type pendingScore struct {
	text   *partialText
	cancel context.CancelFunc // stops the call in progress; nil if there is none
}

// finishText completes an item whose text is whole. An item that is to be scored needs its text committed
// first, so that a new leader repeats the scoring call but not the generation.
func (r *Runner) finishText(now time.Time, j *openJob, it *openItem, p *partialText) {
	switch {
	case it.Scoring == nil:
		r.commitText(j, it.ID, p, p.committed, "")
	case p.completeCommitted:
		r.queueScoring(j, it, p)
	default:
		it.textCompleteAt = now
		r.storeCompleteText(j, it, p, p.committed)
	}
}

// storeCompleteText commits the text of an item that is to be scored, sending only the bytes after the
// committed prefix. The command is refused if that is no longer stored; the complete text is then sent instead.
// If another open job has stored a complete text of the item meanwhile, that text is scored.
func (r *Runner) storeCompleteText(j *openJob, it *openItem, p *partialText, prefix jobs.Prefix) {
	progress := storestate.ItemProgress{Job: j.ID, Owner: j.Owner, Item: it.ID, Offset: prefix.Len, BaseRevision: prefix.Revision,
		Partial: jobs.PartialText{Text: jobs.NewText(p.text[prefix.Len:]), LastEventID: p.lastEventID, EventCount: p.eventCount, Versions: p.versions, Release: p.release,
			Complete: true, Revision: r.nextRevision()}}
	command := &storestate.Command{Progress: &storestate.Progress{Items: []storestate.ItemProgress{progress}}}
	r.propose(command, func(_ time.Time, reply storestate.Reply) {
		stored := len(reply.Stored) == 1 && reply.Stored[0]
		switch {
		case stored:
			p.committed, p.completeCommitted = progress.StoredPrefix(), true
			r.queueScoring(j, it, p)
		case prefix.Len > 0:
			r.storeCompleteText(j, it, p, jobs.Prefix{})
		default:
			r.scoreStoredText(j, it, p)
		}
	})
}

// scoreStoredText queues the scoring call of an item whose text p was refused because another job has stored a
// complete text of the item. If that is gone meanwhile, since the other job has its result, p is stored again.
func (r *Runner) scoreStoredText(j *openJob, it *openItem, p *partialText) {
	if !r.isOpen(j, it.ID) {
		return
	}
	var stored *partialText
	var err error
	r.opts.StateMachine.View(func(s *storestate.State) { stored, err = committedPartial(s.Jobs(), j.ItemKey(it.ID)) })
	if err != nil || stored == nil || !stored.complete || !j.AllowsVersions(stored.versions) {
		r.opts.Log.Info("complete text refused, stored again", j.logArgs("item", it.ID, "events", p.eventCount, "error", err)...)
		r.storeCompleteText(j, it, p, jobs.Prefix{})
		return
	}
	r.opts.Log.Info("complete text of another job is scored", j.logArgs("item", it.ID, "events", stored.eventCount, "versions", stored.versions)...)
	r.queueScoring(j, it, stored)
}

// isOpen reports whether the item of a job still needs a result.
func (r *Runner) isOpen(j *openJob, item string) bool {
	return r.jobs[j.id] == j && j.items[item] != nil
}

// queueScoring queues the scoring call of an item.
func (r *Runner) queueScoring(j *openJob, it *openItem, p *partialText) {
	if !r.isOpen(j, it.ID) {
		return
	}
	key := j.taskKey(it.ID)
	maxErrors := r.maxAttempts(j)
	service := ""
	if table := r.opts.View.Table(); table != nil {
		if route, ok := scoringRoute(table, it); ok {
			service, maxErrors = scoringService(route, it), max(maxErrors, route.AttemptLimit())
		}
	}
	r.pendingScores[key] = &pendingScore{text: p}
	r.scoringQueue.Add(schedule.ScoringCall{Job: j.id, Item: it.ID, Service: service, Group: it.Group, Deadline: j.deadline, MaxServerErrors: maxErrors})
	r.opts.Log.Info("item text complete", j.logArgs("item", it.ID, "call", it.Scoring.ID, "events", p.eventCount, "versions", p.versions, "service", service)...)
}

func scoringRoute(table *routes.Table, it *openItem) (*routes.Route, bool) {
	return table.Match(it.Scoring.Host, it.Scoring.Path)
}

// scoringService returns the service that the forwarder selects for the call of an item.
func scoringService(route *routes.Route, it *openItem) string {
	return route.ChooseService(xxhash.Sum64String(it.Scoring.ID))
}

// rerouteScoring updates the services of the waiting calls after the routes have changed.
func (r *Runner) rerouteScoring(table *routes.Table) {
	r.scoringQueue.Reroute(func(key schedule.Key) string {
		j := r.jobs[key.Job]
		if j == nil || j.items[key.Item] == nil {
			return ""
		}
		route, ok := scoringRoute(table, j.items[key.Item])
		if !ok {
			return ""
		}
		return scoringService(route, j.items[key.Item])
	})
}

// updateScoringSlots reports the slots of the serving targets to the queue of scoring calls.
func (r *Runner) updateScoringSlots() {
	slots := make(map[string]int)
	for _, t := range r.opts.View.Serving("") {
		slots[t.Service] += t.Slots
	}
	r.scoringQueue.SetSlots(slots)
}

// startScoring starts the scoring calls that are due.
func (r *Runner) startScoring(now time.Time) {
	if len(r.pendingScores) == 0 {
		return
	}
	openItems := func(job, group string) int { return r.jobs[job].openInGroup[group] }
	for _, c := range r.scoringQueue.Start(now, openItems) {
		r.startScoringCall(now, c)
	}
}

// startScoringCall sends a scoring call in its own goroutine.
func (r *Runner) startScoringCall(now time.Time, c schedule.ScoringCall) {
	key := c.Key()
	j, s := r.jobs[key.Job], r.pendingScores[key]
	it := j.items[key.Item]
	table := r.opts.View.Table()
	route, ok := scoringRoute(table, it)
	if !ok {
		r.scoringQueue.Retry(now, key, schedule.ScoringEnd{})
		return
	}
	req := &forward.Request{ID: it.Scoring.ID, Host: it.Scoring.Host, Path: it.Scoring.Path, Body: it.Scoring.Body,
		Timeout: min(max(j.deadline.Sub(now), minScoringTimeout), route.Timeout)}
	ctx, cancel := context.WithCancel(r.ctx)
	s.cancel = cancel
	term, version := r.term, table.Config.Version
	r.kernel.Go("runner/score", func(context.Context) error {
		defer cancel()
		begin := bootclock.Now()
		reply, err := r.opts.Forwarder.Do(ctx, req, route, version)
		took := bootclock.Now().Sub(begin)
		r.enqueue(term, func(now time.Time) { r.handleScoringEnd(now, key, s, reply, took, err) })
		return nil
	})
}

// handleScoringEnd commits the score of an item, or queues its call again. An item whose calls were
// answered with too many server errors is terminated.
func (r *Runner) handleScoringEnd(now time.Time, key schedule.Key, s *pendingScore, reply forward.Reply, took time.Duration, err error) {
	if r.pendingScores[key] != s {
		return // the job has ended or the item was terminated
	}
	s.cancel = nil
	j := r.jobs[key.Job]
	it := j.items[key.Item]
	score := ""
	if err == nil && reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices {
		score = reply.ServerStamp
	}
	r.logScoringCall(now, j, it, reply, score != "", took, err)
	if score != "" {
		r.scoringQueue.Remove(key)
		delete(r.pendingScores, key)
		r.commitText(j, it.ID, s.text, s.text.committed, score)
		return
	}
	if r.scoringQueue.Retry(now, key, schedule.ScoringEnd{ServerErrors: reply.ServerErrors, RetryAfter: reply.RetryAfter}) {
		r.terminate(key, "too many failed scoring calls")
	}
}

// logScoringCall logs and counts the end of a scoring call.
func (r *Runner) logScoringCall(now time.Time, j *openJob, it *openItem, reply forward.Reply, scored bool, took time.Duration, err error) {
	outcome := scoringOutcome(reply, scored, err)
	r.metrics.scoringCalls.Inc(outcome)
	r.metrics.scoringDuration.Observe(took.Seconds())
	waiting, running := r.scoringQueue.Counts()
	args := j.logArgs("item", it.ID, "call", it.Scoring.ID, "outcome", outcome, "status", reply.Status, "attempts", reply.Attempts,
		"server_errors", reply.ServerErrors, "took_ms", took.Milliseconds(), "waiting", waiting, "running", running)
	if !it.textCompleteAt.IsZero() {
		args = append(args, "since_text_ms", now.Sub(it.textCompleteAt).Milliseconds())
	}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	r.opts.Log.Info("scoring call ended", args...)
}

func scoringOutcome(reply forward.Reply, scored bool, err error) string {
	switch {
	case scored:
		return "scored"
	case err != nil:
		return "aborted"
	case reply.ServerErrors > 0:
		return "failed"
	case reply.Status == http.StatusServiceUnavailable:
		return "refused"
	}
	return "unanswered"
}

// stopScoring stops the scoring call of an item that needs no score any more. The committed text stays, so
// that a later job with the same item can use it.
func (r *Runner) stopScoring(key schedule.Key) {
	s := r.pendingScores[key]
	if s == nil {
		return
	}
	delete(r.pendingScores, key)
	r.scoringQueue.Remove(key)
	if s.cancel != nil {
		s.cancel()
	}
}
