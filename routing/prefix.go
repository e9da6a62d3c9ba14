package routing

import (
	"math"
	"time"
)

const (
	// prefixHolders bounds the targets remembered per key. A prompt that is held in more
	// places is so common that the choice among them no longer depends on the cache.
	prefixHolders = 8
	// lateEvents is how far behind the newest event of a target an event may arrive and still
	// be used; an older one could revive an entry that has been evicted since.
	lateEvents = 64
	// gapPenalty reduces the belief in entries that are older than a lost event.
	gapPenalty = 0.5
	// forgetAfter is the age, in half-lives, at which an entry no longer counts.
	forgetAfter = 5
)

type holder struct {
	ep  *Endpoint
	at  time.Time
	seq uint64
}

type prefixEntry struct {
	key        uint64
	holders    []holder
	prev, next *prefixEntry // least recently used list
}

// prefixView is the picture of the targets' prefix caches: which target is believed to hold
// which prompt prefix. Its memory is bounded by evicting the least recently used key.
type prefixView struct {
	limit    int
	halfLife time.Duration
	entries  map[uint64]*prefixEntry
	root     prefixEntry // root.next is the most recently used entry
	decision uint64
}

func newPrefixView(limit int, halfLife time.Duration) *prefixView {
	v := &prefixView{limit: limit, halfLife: halfLife, entries: make(map[uint64]*prefixEntry)}
	v.root.prev, v.root.next = &v.root, &v.root
	return v
}

func (e *prefixEntry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

func (v *prefixView) front(e *prefixEntry) {
	e.prev, e.next = &v.root, v.root.next
	e.prev.next, e.next.prev = e, e
}

func (v *prefixView) drop(e *prefixEntry) {
	e.unlink()
	delete(v.entries, e.key)
}

// learn records that a target holds the keys.
func (v *prefixView) learn(now time.Time, ep *Endpoint, seq uint64, keys []uint64) {
	for _, k := range keys {
		e := v.entries[k]
		if e == nil {
			e = &prefixEntry{key: k}
			v.entries[k] = e
		} else {
			e.unlink()
		}
		v.front(e)
		e.put(holder{ep, now, seq})
		if len(v.entries) > v.limit {
			v.drop(v.root.prev)
		}
	}
}

// put adds or renews a holder; the oldest or departed one makes room.
func (e *prefixEntry) put(h holder) {
	victim := 0
	for i := range e.holders {
		if e.holders[i].ep == h.ep {
			h.seq = max(h.seq, e.holders[i].seq)
			e.holders[i] = h
			return
		}
		if e.holders[i].ep.gone || e.holders[i].at.Before(e.holders[victim].at) {
			victim = i
		}
	}
	if len(e.holders) < prefixHolders {
		e.holders = append(e.holders, h)
		return
	}
	e.holders[victim] = h
}

// forget records that a target no longer holds the keys. A newer event about a key wins.
func (v *prefixView) forget(ep *Endpoint, seq uint64, keys []uint64) {
	for _, k := range keys {
		e := v.entries[k]
		if e == nil {
			continue
		}
		for i, h := range e.holders {
			if h.ep == ep && h.seq <= seq {
				e.holders[i] = e.holders[len(e.holders)-1]
				e.holders = e.holders[:len(e.holders)-1]
				break
			}
		}
		if len(e.holders) == 0 {
			v.drop(e)
		}
	}
}

// event applies a cache event, which may be late or follow lost ones.
func (v *prefixView) event(now time.Time, ep *Endpoint, ev CacheEvent) {
	if ev.Seq+lateEvents < ep.cacheSeq {
		return
	}
	if ep.cacheSeq != 0 && ev.Seq > ep.cacheSeq+1 {
		ep.gapAt = now
	}
	switch ev.Kind {
	case CacheStored:
		v.learn(now, ep, ev.Seq, ev.Keys)
	case CacheEvicted:
		v.forget(ep, ev.Seq, ev.Keys)
	case CacheCleared:
		if ev.Seq > ep.cacheSeq {
			ep.clearedAt = now
		}
	}
	ep.cacheSeq = max(ep.cacheSeq, ev.Seq)
}

// match starts a decision: it rates every holder of a prefix of keys and returns the holders
// of the longest known one.
func (v *prefixView) match(now time.Time, keys []uint64) []holder {
	v.decision++
	var longest []holder
	for i, k := range keys {
		e := v.entries[k]
		if e == nil {
			continue
		}
		share := float64(i+1) / float64(len(keys))
		for _, h := range e.holders {
			if s := share * v.strength(now, h); s > 0 {
				h.ep.match, h.ep.matchDecision = s, v.decision
			}
		}
		longest = e.holders
	}
	return longest
}

// strength is the belief that the holder still has the entry, from 0 to 1.
func (v *prefixView) strength(now time.Time, h holder) float64 {
	age := float64(now.Sub(h.at)) / float64(v.halfLife)
	if h.ep.gone || age > forgetAfter || !h.at.After(h.ep.clearedAt) {
		return 0
	}
	s := math.Exp2(-max(0, age))
	if h.at.Before(h.ep.gapAt) {
		s *= gapPenalty
	}
	return s
}
