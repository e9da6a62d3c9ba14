package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// halfAge and maxAge are the ages at which a shared statement has half of its weight and none.
	halfAge = 2 * time.Second
	maxAge  = 10 * time.Second
	// MaxStatements bounds the statements in one message.
	MaxStatements = 64
	// maxLatency and maxKnee bound what another host can state.
	maxLatency = 10 * time.Minute
	maxKnee    = 10_000
	// significantChange is the relative change that other hosts learn with the next message, and shareRefresh how often
	// smaller ones are passed on.
	significantChange = 0.1
	shareRefresh      = 2 * time.Second
	// minNewer is the least difference in age of a newer merged statement. It exceeds the time of a relay, so that two
	// hosts do not return a statement to each other.
	minNewer = 200 * time.Millisecond
	// maxMass bounds the weight of the earlier statements in a merged one, so that a change of a target is followed
	// however many hosts state it.
	maxMass = 4
)

// Statement is what a host has learned of a target from its own results.
type Statement struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Latency is the usual latency at one request.
	Latency time.Duration `cbor:"3,keyasint"`
	// Knee is the number of concurrent requests that are worthwhile.
	Knee float32 `cbor:"4,keyasint"`
	// SlownessPercent is how long work took at the last results, 100 as usual.
	SlownessPercent int `cbor:"5,keyasint,omitempty"`
	// Age is the time since the last result. It is relative because the clocks of hosts are not synchronized.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// IsValid reports whether the values are possible. Those of other hosts are checked as well.
func (s *Statement) IsValid() bool {
	knee := float64(s.Knee)
	return s.Target != "" && s.Latency > 0 && s.Latency <= maxLatency && knee >= 1 && knee <= maxKnee && s.SlownessPercent >= 0 && s.Age >= 0
}

// ageWeight returns the weight of evidence of an age: 1 at first, a half at halfAge and none from maxAge on.
func ageWeight(age time.Duration) float64 {
	switch {
	case age >= maxAge:
		return 0
	case age >= halfAge:
		return 0.5 * float64(maxAge-age) / float64(maxAge-halfAge)
	}
	return 1 - 0.5*float64(max(age, 0))/float64(halfAge)
}

// Statement returns what own results tell of the target; ok is false if there are none that another host would use.
func (e *Estimator) Statement(now time.Time, target string, incarnation int64) (s Statement, ok bool) {
	age := max(now.Sub(e.resultAt), 0)
	if e.count == 0 || age >= maxAge {
		return Statement{}, false
	}
	latency := time.Duration(e.base * float64(time.Second)).Round(time.Microsecond)
	s = Statement{Target: target, Incarnation: incarnation, Latency: latency, Knee: float32(e.curve.knee),
		SlownessPercent: int(math.Round(100 * e.Slowness(now))), Age: age.Round(time.Millisecond)}
	return s, s.IsValid()
}

// Learn records the statement of other hosts. A statement about older results than the last one changes nothing.
func (e *Estimator) Learn(now time.Time, s Statement) {
	at := now.Add(-s.Age)
	if !s.IsValid() || at.Before(e.sharedAt) {
		return
	}
	e.shared, e.sharedAt = s, at
	e.curve.compute(now, e.priorKnee(now))
}

// sharedWeight returns the weight of the statement of other hosts.
func (e *Estimator) sharedWeight(now time.Time) float64 {
	if e.sharedAt.IsZero() {
		return 0
	}
	return ageWeight(now.Sub(e.sharedAt))
}

// priorKnee returns the knee that is assumed where there are no own results.
func (e *Estimator) priorKnee(now time.Time) float64 {
	slots := e.curve.assumedSlots()
	if w := e.sharedWeight(now); w > 0 {
		return slots + w*(float64(e.shared.Knee)-slots)
	}
	return slots
}

// shareRecord is the merged statement of one target.
type shareRecord struct {
	Statement
	at        time.Time // when the newest result was observed
	mass      float64   // weight of the statements merged so far, at updatedAt
	updatedAt time.Time
	revision  uint64    // Table.revision at the last change to pass on
	passed    Statement // as passed on then
	passedAt  time.Time
}

// Table merges the statements of all hosts. The leader of the state group adds those of hosts; other hosts replace theirs
// by the merged ones.
type Table struct {
	records  map[string]*shareRecord
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*shareRecord)} }

// Add merges the statement of a host with those of the others: each counts by its age.
func (t *Table) Add(now time.Time, s Statement) {
	rec := t.accept(now, &s)
	if rec == nil {
		return
	}
	weight := ageWeight(s.Age)
	if at := now.Add(-s.Age); at.After(rec.at) {
		rec.at = at
	}
	rec.mass *= math.Exp2(-now.Sub(rec.updatedAt).Seconds() / halfAge.Seconds())
	rec.merge(&s, weight/(rec.mass+weight))
	rec.mass, rec.updatedAt = min(rec.mass+weight, maxMass), now
	t.passOn(now, rec)
}

// Replace records a merged statement of another table, unless a newer one is known.
func (t *Table) Replace(now time.Time, s Statement) {
	rec := t.accept(now, &s)
	if at := now.Add(-s.Age); rec != nil && (rec.Target == "" || at.Sub(rec.at) >= minNewer) {
		rec.Statement, rec.at = s, at
		rec.mass, rec.updatedAt = ageWeight(s.Age), now
		t.passOn(now, rec)
	}
}

// accept returns the record of the incarnation that a statement is about, a new one if necessary, or nil if the statement
// is invalid, too old or about an earlier incarnation.
func (t *Table) accept(now time.Time, s *Statement) *shareRecord {
	rec := t.records[s.Target]
	if !s.IsValid() || s.Age >= maxAge || rec != nil && s.Incarnation < rec.Incarnation {
		return nil
	}
	if rec == nil || s.Incarnation > rec.Incarnation {
		rec = &shareRecord{updatedAt: now}
		t.records[s.Target] = rec
	}
	return rec
}

// merge moves the record towards a statement by a weight from 0 to 1.
func (r *shareRecord) merge(s *Statement, weight float64) {
	if r.Target == "" {
		r.Statement = *s
		return
	}
	r.Latency = time.Duration(float64(r.Latency) * math.Pow(float64(s.Latency)/float64(r.Latency), weight))
	r.Knee += float32(weight) * (s.Knee - r.Knee)
	r.SlownessPercent += int(math.Round(weight * float64(s.SlownessPercent-r.SlownessPercent)))
}

// passOn gives a record that other hosts must learn a new revision.
func (t *Table) passOn(now time.Time, rec *shareRecord) {
	changed := differs(float64(rec.Latency), float64(rec.passed.Latency)) || differs(float64(rec.Knee), float64(rec.passed.Knee))
	if !changed && now.Sub(rec.passedAt) < shareRefresh {
		return
	}
	t.revision++
	rec.revision, rec.passed, rec.passedAt = t.revision, rec.Statement, now
}

// differs reports whether two values differ significantly.
func differs(a, b float64) bool { return math.Abs(a-b) > significantChange*max(a, b) }

// ChangedSince returns the statements that were passed on after a revision, MaxStatements at most, the oldest first, and the
// revision to ask for next.
func (t *Table) ChangedSince(now time.Time, revision uint64) ([]Statement, uint64) {
	if revision >= t.revision {
		return nil, t.revision
	}
	var changed []*shareRecord
	for _, rec := range t.records {
		if rec.revision > revision && now.Sub(rec.at) < maxAge {
			changed = append(changed, rec)
		}
	}
	slices.SortFunc(changed, func(a, b *shareRecord) int { return cmp.Compare(a.revision, b.revision) })
	next := t.revision
	if len(changed) > MaxStatements {
		changed = changed[:MaxStatements]
		next = changed[MaxStatements-1].revision
	}
	list := make([]Statement, 0, len(changed))
	for _, rec := range changed {
		list = append(list, rec.statement(now))
	}
	return list, next
}

// statement returns the merged statement with its present age.
func (r *shareRecord) statement(now time.Time) Statement {
	s := r.Statement
	s.Age = max(now.Sub(r.at), 0).Round(time.Millisecond)
	return s
}

// Expire drops the statements that no host would use.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.records, func(_ string, rec *shareRecord) bool { return now.Sub(rec.at) >= maxAge })
}

// Count returns the number of targets with a statement.
func (t *Table) Count() int { return len(t.records) }
