package routing

import (
	"math"
	"time"
)

const (
	// maxHoldersPerKey is the number of targets that are recorded per key. A prompt that is cached
	// on more targets is so common that the choice of a target no longer depends on the cache.
	maxHoldersPerKey = 8
	// maxEventLag is the maximum number of events by which a delayed event may trail the newest event
	// of the target. Older events are ignored, because they could restore an entry that has been
	// evicted since.
	maxEventLag = 64
	// lostEventPenalty is the factor on the confidence in entries that are older than a lost event.
	lostEventPenalty = 0.5
	// maxAgeHalfLives is the age, in half-lives, above which an entry is ignored.
	maxAgeHalfLives = 5
)

// prefixHolder is a target that is assumed to have a prefix in its cache.
type prefixHolder struct {
	ep  *Endpoint
	at  time.Time // last time at which the target was known to store the prefix
	seq uint64    // sequence number of the newest cache event; zero if known only from a dispatched request
}

// prefixEntry holds the targets that are assumed to cache the prefix with the given key.
type prefixEntry struct {
	key        uint64
	holders    []prefixHolder
	prev, next *prefixEntry // in the LRU list
}

// prefixIndex estimates which target holds which prompt prefix in its cache, from the requests that were
// dispatched and from cache events. It evicts the least recently used key to bound its memory.
type prefixIndex struct {
	maxKeys  int
	halfLife time.Duration
	entries  map[uint64]*prefixEntry
	root     prefixEntry // sentinel of the LRU list; root.next is the most recently used entry
	lookup   uint64      // number of calls of scoreHolders
}

func newPrefixIndex(maxKeys int, halfLife time.Duration) *prefixIndex {
	x := &prefixIndex{maxKeys: maxKeys, halfLife: halfLife, entries: make(map[uint64]*prefixEntry)}
	x.root.prev, x.root.next = &x.root, &x.root
	return x
}

func (e *prefixEntry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

func (x *prefixIndex) pushFront(e *prefixEntry) {
	e.prev, e.next = &x.root, x.root.next
	e.prev.next, e.next.prev = e, e
}

func (x *prefixIndex) remove(e *prefixEntry) {
	e.unlink()
	delete(x.entries, e.key)
}

// addHolder records that a target holds the prefixes with the given keys.
func (x *prefixIndex) addHolder(now time.Time, ep *Endpoint, seq uint64, keys []uint64) {
	for _, k := range keys {
		e := x.entries[k]
		if e == nil {
			e = &prefixEntry{key: k}
			x.entries[k] = e
		} else {
			e.unlink()
		}
		x.pushFront(e)
		e.setHolder(prefixHolder{ep, now, seq})
		if len(x.entries) > x.maxKeys {
			x.remove(x.root.prev)
		}
	}
}

// setHolder adds or updates a holder. If the entry is full, it replaces a holder that was removed or
// the oldest one.
func (e *prefixEntry) setHolder(h prefixHolder) {
	victim := 0
	for i := range e.holders {
		if e.holders[i].ep == h.ep {
			h.seq = max(h.seq, e.holders[i].seq)
			e.holders[i] = h
			return
		}
		if e.holders[i].ep.removed || e.holders[i].at.Before(e.holders[victim].at) {
			victim = i
		}
	}
	if len(e.holders) < maxHoldersPerKey {
		e.holders = append(e.holders, h)
		return
	}
	e.holders[victim] = h
}

// removeHolder records that a target no longer holds the prefixes with the given keys. Holders
// that were recorded by a newer event are kept.
func (x *prefixIndex) removeHolder(ep *Endpoint, seq uint64, keys []uint64) {
	for _, k := range keys {
		e := x.entries[k]
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
			x.remove(e)
		}
	}
}

// applyEvent applies a cache event. Events may arrive late or get lost.
func (x *prefixIndex) applyEvent(now time.Time, ep *Endpoint, ev CacheEvent) {
	if ev.Seq+maxEventLag < ep.cacheSeq {
		return
	}
	if ep.cacheSeq != 0 && ev.Seq > ep.cacheSeq+1 {
		ep.eventsLostAt = now
	}
	switch ev.Kind {
	case CacheStored:
		x.addHolder(now, ep, ev.Seq, ev.Keys)
	case CacheEvicted:
		x.removeHolder(ep, ev.Seq, ev.Keys)
	case CacheCleared:
		if ev.Seq > ep.cacheSeq {
			ep.cacheClearedAt = now
		}
	}
	ep.cacheSeq = max(ep.cacheSeq, ev.Seq)
}

// scoreHolders starts a new lookup: it sets the prefix match of every endpoint that holds one of the
// keys, and returns the holders of the longest known prefix.
func (x *prefixIndex) scoreHolders(now time.Time, keys []uint64) []prefixHolder {
	x.lookup++
	var longest []prefixHolder
	for i, k := range keys {
		e := x.entries[k]
		if e == nil {
			continue
		}
		fraction := float64(i+1) / float64(len(keys))
		for _, h := range e.holders {
			if s := fraction * x.confidence(now, h); s > 0 {
				h.ep.prefixMatch, h.ep.matchLookup = s, x.lookup
			}
		}
		longest = e.holders
	}
	return longest
}

// confidence returns the estimated probability that the target still holds the prefix, from 0 to 1.
func (x *prefixIndex) confidence(now time.Time, h prefixHolder) float64 {
	age := float64(now.Sub(h.at)) / float64(x.halfLife)
	if h.ep.removed || age > maxAgeHalfLives || !h.at.After(h.ep.cacheClearedAt) {
		return 0
	}
	s := math.Exp2(-max(0, age))
	if h.at.Before(h.ep.eventsLostAt) {
		s *= lostEventPenalty
	}
	return s
}
