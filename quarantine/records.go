package quarantine

import (
	"maps"
	"slices"
	"time"
)

// record is an entry as a host knows it.
type record struct {
	Entry
	changedAt time.Time // when the host learned of the last change
	revision  uint64    // Records.revision at that change
}

// Records is the copy of a Table on a host, which learns of changes with the events of its watches. It is not safe
// for concurrent use.
type Records struct {
	byFingerprint map[Fingerprint]*record
	revision      uint64 // number of changes
	suspects      int    // entries with crashes since the last answer
}

// NewRecords returns an empty copy.
func NewRecords() *Records { return &Records{byFingerprint: make(map[Fingerprint]*record)} }

// Add adds an entry. It returns false if the same or a later state of it is known.
func (s *Records) Add(now time.Time, e Entry) bool {
	rec := s.byFingerprint[e.Fingerprint]
	if rec != nil && rec.Revision >= e.Revision || e.Fingerprint == "" {
		return false
	}
	if rec == nil && len(s.byFingerprint) >= maxEntries {
		rec = slices.MinFunc(slices.Collect(maps.Values(s.byFingerprint)), func(a, b *record) int { return compareImportance(a.Entry, b.Entry) })
	}
	s.remove(rec)
	s.revision++
	s.byFingerprint[e.Fingerprint] = &record{Entry: e, changedAt: now, revision: s.revision}
	if e.Crashes > 0 {
		s.suspects++
	}
	return true
}

// remove removes a record; nil is ignored.
func (s *Records) remove(rec *record) {
	if rec == nil {
		return
	}
	delete(s.byFingerprint, rec.Fingerprint)
	if rec.Crashes > 0 {
		s.suspects--
	}
}

// Get returns what is known of a request, and the time since the last change. ok is false if nothing is known.
func (s *Records) Get(now time.Time, f Fingerprint) (e Entry, since time.Duration, ok bool) {
	rec := s.byFingerprint[f]
	if rec == nil {
		return Entry{}, 0, false
	}
	return rec.Entry, now.Sub(rec.changedAt), true
}

// Len returns the number of requests of which anything is known.
func (s *Records) Len() int { return len(s.byFingerprint) }

// HasSuspects reports whether targets have crashed under any request since its last answer.
func (s *Records) HasSuspects() bool { return s.suspects > 0 }

// CountQuarantined returns the number of requests in quarantine.
func (s *Records) CountQuarantined() int {
	n := 0
	for _, rec := range s.byFingerprint {
		if rec.Crashes >= SuspectCrashes {
			n++
		}
	}
	return n
}

// ChangedSince returns the entries that have changed after a revision of this copy, and the revision to ask for next.
func (s *Records) ChangedSince(revision uint64) ([]Entry, uint64) {
	if revision >= s.revision {
		return nil, s.revision
	}
	var list []Entry
	for _, rec := range s.byFingerprint {
		if rec.revision > revision {
			list = append(list, rec.Entry)
		}
	}
	sortByRevision(list)
	return list, s.revision
}
