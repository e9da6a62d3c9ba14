package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// scoringSlotShare is the fraction of a service's slots that scoring calls may occupy together. Scoring
	// services also answer requests of people, which are short and must find a free slot.
	scoringSlotShare = 0.5
	// initialScoringBackoff is how long a call waits after it got no usable answer; it doubles with each
	// consecutive failure, up to maxScoringBackoff. An answer with a server error is retried at once,
	// because it comes from a working target.
	initialScoringBackoff = 50 * time.Millisecond
	maxScoringBackoff     = time.Second
)

// ScoringCall is the request that scores the complete text of an item.
type ScoringCall struct {
	Job, Item string
	Service   string
	Group     string
	// Deadline is when the results of the job are due.
	Deadline time.Time
	// MaxServerErrors is the number of answers with a server error after which the call is given up.
	MaxServerErrors int
}

// Key returns the key of the item that the call scores.
func (c *ScoringCall) Key() Key { return Key{c.Job, c.Item} }

// ScoringEnd is the end of an attempt of a scoring call that returned no score.
type ScoringEnd struct {
	// ServerErrors is the number of answers with a server error.
	ServerErrors int
	// RetryAfter is how long the call must wait; 0 if the attempt sets no time.
	RetryAfter time.Duration
}

// scoringState is a call with its attempts so far.
type scoringState struct {
	ScoringCall
	serverErrors int
	failures     int // consecutive attempts without any answer of a target
	notBefore    time.Time
	running      bool
	runningAt    string // service whose slot the call in progress takes
}

// ScoringQueue decides which scoring calls start when. It is built for a scoring service that people use
// at the same time: the calls of all trainers together get a share of its slots. Like a Scheduler, it is
// deterministic and not safe for concurrent use.
type ScoringQueue struct {
	calls   []*scoringState // in the order of Add
	running map[string]int  // calls in progress by service
	slots   map[string]int  // slots of the serving targets by service
}

// NewScoringQueue returns a queue without calls.
func NewScoringQueue() *ScoringQueue {
	return &ScoringQueue{running: make(map[string]int), slots: make(map[string]int)}
}

// SetSlots sets the total slots of the serving targets of each service.
func (q *ScoringQueue) SetSlots(slots map[string]int) { q.slots = slots }

// limit returns the number of calls that may be in progress at a service. It is at least 1, since a
// service whose targets are not known yet may answer all the same.
func (q *ScoringQueue) limit(service string) int {
	return max(int(scoringSlotShare*float64(q.slots[service])), 1)
}

// Add adds a call. It does nothing if the item already has one.
func (q *ScoringQueue) Add(c ScoringCall) {
	if q.find(c.Key()) == nil {
		q.calls = append(q.calls, &scoringState{ScoringCall: c})
	}
}

func (q *ScoringQueue) find(key Key) *scoringState {
	i := slices.IndexFunc(q.calls, func(c *scoringState) bool { return c.Key() == key })
	if i < 0 {
		return nil
	}
	return q.calls[i]
}

// Remove removes the call of an item, which may be in progress.
func (q *ScoringQueue) Remove(key Key) {
	c := q.find(key)
	if c == nil {
		return
	}
	if c.running {
		q.running[c.runningAt]--
	}
	q.calls = slices.DeleteFunc(q.calls, func(o *scoringState) bool { return o == c })
}

// Reroute updates the service of the calls after the routes have changed; for a call in progress it applies to
// the next attempt. A call for which service returns an empty string waits until a later configuration has a
// route for it.
func (q *ScoringQueue) Reroute(service func(Key) string) {
	for _, c := range q.calls {
		c.Service = service(c.Key())
	}
}

// Start returns the calls to start now. Jobs that are due first come first, and jobs that are overdue
// last; within a job, calls of the groups with the fewest open items do, because a trainer uses only
// complete groups. openItems returns the number of items of a group without a result.
func (q *ScoringQueue) Start(now time.Time, openItems func(job, group string) int) []ScoringCall {
	type candidate struct {
		*scoringState
		open int
	}
	var due []candidate
	for _, c := range q.calls {
		if !c.running && c.Service != "" && !now.Before(c.notBefore) && q.running[c.Service] < q.limit(c.Service) {
			due = append(due, candidate{c, openItems(c.Job, c.Group)})
		}
	}
	overdue := func(c candidate) int {
		if now.After(c.Deadline) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(due, func(a, b candidate) int {
		return cmp.Or(overdue(a)-overdue(b), a.Deadline.Compare(b.Deadline), a.open-b.open)
	})
	var out []ScoringCall
	for _, c := range due {
		if q.running[c.Service] >= q.limit(c.Service) {
			continue
		}
		c.running, c.runningAt = true, c.Service
		q.running[c.Service]++
		out = append(out, c.ScoringCall)
	}
	return out
}

// Retry records that an attempt ended without a score; the call waits again. It reports whether the call
// is exhausted; the caller then removes it.
func (q *ScoringQueue) Retry(now time.Time, key Key, end ScoringEnd) (exhausted bool) {
	c := q.find(key)
	if c == nil || !c.running {
		return false
	}
	c.running = false
	q.running[c.runningAt]--
	c.serverErrors += end.ServerErrors
	if end.ServerErrors > 0 {
		c.failures, c.notBefore = 0, now
		return c.serverErrors >= c.MaxServerErrors
	}
	backoff := min(initialScoringBackoff<<min(c.failures, 5), maxScoringBackoff)
	c.failures++
	c.notBefore = now.Add(max(backoff, end.RetryAfter))
	return false
}

// Counts returns the numbers of waiting calls and of calls in progress.
func (q *ScoringQueue) Counts() (waiting, running int) {
	for _, c := range q.calls {
		if c.running {
			running++
		} else {
			waiting++
		}
	}
	return waiting, running
}
