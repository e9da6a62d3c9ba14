package fleet

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// MinRate and MaxRate bound the rates that a set keeps, in requests a second. A target that takes nothing at all
	// gets a request now and then, since only an answer can tell that its limit has ended.
	MinRate = 0.25
	MaxRate = 1e6
	// significantChange is the relative change of a rate that other hosts must learn at once.
	significantChange = 0.1
	// rateRefresh is how often smaller changes are passed on.
	rateRefresh = time.Second
	// endedRetention is how long the end of a limit is remembered, so that a late statement does not bring it back.
	endedRetention = 60 * time.Second
)

// RateLimit is the statement of a target in an answer about the requests that it takes from all hosts together.
type RateLimit struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Rate is in requests a second; 0 if the target states no limit any more.
	Rate float64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the answer arrived. It is relative because the clocks of hosts are not synchronized.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// IsValid reports whether the rate is one that a target can state. Values from other hosts are checked as well.
func (l *RateLimit) IsValid() bool {
	return l.Target != "" && l.Rate >= 0 && !math.IsInf(l.Rate, 0) && l.Age >= 0
}

// rateRecord is the newest statement of a target.
type rateRecord struct {
	RateLimit
	statedAt     time.Time
	revisedAt    time.Time // when revision was last set
	revision     uint64    // RateLimits.revision at the last change to pass on
	revisionRate float64   // Rate at that revision
}

// RateLimits is the set of the limits that targets state, with the newest statement of each target. A limit holds
// for one incarnation. It is deterministic and not safe for concurrent use.
type RateLimits struct {
	records  map[string]*rateRecord
	revision uint64
}

// NewRateLimits returns an empty set.
func NewRateLimits() *RateLimits { return &RateLimits{records: make(map[string]*rateRecord)} }

// Add adds a statement. It reports whether the limit has begun, ended or changed so that other hosts must learn of it; a
// statement that is older than the known one, invalid, or the end of an unknown limit, changes nothing.
func (s *RateLimits) Add(now time.Time, l RateLimit) (passOn bool) {
	rec := s.records[l.Target]
	statedAt := now.Add(-l.Age)
	if !l.IsValid() || rec == nil && l.Rate == 0 || rec != nil && !rec.precedes(&l, statedAt) {
		return false
	}
	if l.Rate > 0 {
		l.Rate = min(max(l.Rate, MinRate), MaxRate)
	}
	if rec == nil || rec.Incarnation != l.Incarnation {
		rec = &rateRecord{}
		s.records[l.Target] = rec
	}
	rec.RateLimit, rec.statedAt = l, statedAt
	if !rec.mustPassOn(now) {
		return false
	}
	s.revision++
	rec.revision, rec.revisionRate, rec.revisedAt = s.revision, l.Rate, now
	return true
}

// precedes reports whether a statement that was made at a time is later than the one of the record.
func (r *rateRecord) precedes(l *RateLimit, statedAt time.Time) bool {
	if l.Incarnation != r.Incarnation {
		return l.Incarnation > r.Incarnation
	}
	return statedAt.After(r.statedAt)
}

// mustPassOn reports whether other hosts must learn the rate of the record now.
func (r *rateRecord) mustPassOn(now time.Time) bool {
	if r.Rate == 0 || r.revisionRate == 0 {
		return r.Rate != r.revisionRate
	}
	difference := math.Abs(r.Rate-r.revisionRate) / r.revisionRate
	return difference > significantChange || difference > 0 && now.Sub(r.revisedAt) >= rateRefresh
}

// Get returns the limit of an incarnation of a target. ok is false if it states none.
func (s *RateLimits) Get(target string, incarnation int64) (l RateLimit, ok bool) {
	rec := s.records[target]
	if rec == nil || rec.Incarnation != incarnation || rec.Rate == 0 {
		return RateLimit{}, false
	}
	return rec.RateLimit, true
}

// Statement returns the newest statement of a target, also that it states no limit any more. ok is false if there is
// none.
func (s *RateLimits) Statement(now time.Time, target string) (l RateLimit, ok bool) {
	rec := s.records[target]
	if rec == nil {
		return RateLimit{}, false
	}
	return rec.statement(now), true
}

// statement returns the statement of the record with its present age.
func (r *rateRecord) statement(now time.Time) RateLimit {
	l := r.RateLimit
	l.Age = max(now.Sub(r.statedAt), 0)
	return l
}

// Count returns the number of targets that state a limit.
func (s *RateLimits) Count() int {
	n := 0
	for _, rec := range s.records {
		if rec.Rate > 0 {
			n++
		}
	}
	return n
}

// ChangedSince returns the statements that were passed on after a revision, ordered by target, and the revision to
// ask for next.
func (s *RateLimits) ChangedSince(now time.Time, revision uint64) ([]RateLimit, uint64) {
	if revision >= s.revision {
		return nil, s.revision
	}
	var list []RateLimit
	for _, rec := range s.records {
		if rec.revision > revision {
			list = append(list, rec.statement(now))
		}
	}
	slices.SortFunc(list, func(a, b RateLimit) int { return strings.Compare(a.Target, b.Target) })
	return list, s.revision
}

// Expire drops the limits of targets that are not known, and the ends of limits after endedRetention.
func (s *RateLimits) Expire(now time.Time, isKnown func(target string) bool) {
	maps.DeleteFunc(s.records, func(target string, rec *rateRecord) bool {
		return !isKnown(target) || rec.Rate == 0 && now.Sub(rec.statedAt) > endedRetention
	})
}
