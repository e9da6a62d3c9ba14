package fleet

import "slices"

const (
	// maxNotices is the number of notices that a set keeps.
	maxNotices = 1024
	// noticeQuorum is the number of hosts that must have seen the same notice before others act on it. A single
	// host may misread the answers of a sound target.
	noticeQuorum = 2
)

// Notice is the statement of a target in its answers that it leaves, with the hosts that have seen it.
type Notice struct {
	Departure Departure `cbor:"1,keyasint"`
	Hosts     []string  `cbor:"2,keyasint"`
}

// Notices collects the notices that hosts have seen until enough have seen the same one. It keeps the newest
// maxNotices. It is deterministic and not safe for concurrent use.
type Notices struct {
	byAge []Notice // oldest first
}

// NewNotices returns a set with the given notices, the oldest first.
func NewNotices(list []Notice) *Notices { return &Notices{byAge: list} }

// Add adds a notice that a host has seen. It reports whether enough hosts have seen it now; the set then drops it.
func (n *Notices) Add(d Departure, host string) (confirmed bool) {
	i := slices.IndexFunc(n.byAge, func(notice Notice) bool { return notice.Departure == d })
	if i < 0 {
		if len(n.byAge) == maxNotices {
			n.byAge = slices.Delete(n.byAge, 0, 1)
		}
		n.byAge = append(n.byAge, Notice{Departure: d})
		i = len(n.byAge) - 1
	}
	notice := &n.byAge[i]
	if !slices.Contains(notice.Hosts, host) {
		notice.Hosts = append(notice.Hosts, host)
	}
	if len(notice.Hosts) < noticeQuorum {
		return false
	}
	n.byAge = slices.Delete(n.byAge, i, i+1)
	return true
}

// All returns the notices that are not confirmed, the oldest first. The caller must not change the slice.
func (n *Notices) All() []Notice { return n.byAge }
