package usage

import "slices"

// MaxHostWindows is the number of windows for which a host keeps counts that the state group has not acknowledged. Counts
// of older windows come too late: these windows are sealed.
const MaxHostWindows = 24

// tally holds the counts of one window.
type tally struct {
	counts   map[string]uint64 // by account
	revision uint64            // number of changes
	sent     uint64            // revision that the state group has acknowledged
}

// Counter counts the requests of client accounts on one host. It is not safe for concurrent use.
type Counter struct{ windows map[uint64]*tally }

// NewCounter returns a counter without counts.
func NewCounter() *Counter { return &Counter{windows: make(map[uint64]*tally)} }

// Add counts a request of an account that began to run in a window.
func (c *Counter) Add(window uint64, account string) {
	t := c.windows[window]
	if t == nil {
		t = &tally{counts: make(map[string]uint64)}
		c.windows[window] = t
		c.evict()
	}
	t.counts[account]++
	t.revision++
}

// Remove takes back a request that Add has counted. A window that is no longer kept is left as it is.
func (c *Counter) Remove(window uint64, account string) {
	t := c.windows[window]
	if t == nil || t.counts[account] == 0 {
		return
	}
	if t.counts[account]--; t.counts[account] == 0 {
		delete(t.counts, account)
	}
	t.revision++
}

// evict removes the oldest window if more than MaxHostWindows are kept.
func (c *Counter) evict() {
	if len(c.windows) <= MaxHostWindows {
		return
	}
	oldest := ^uint64(0)
	for window := range c.windows {
		oldest = min(oldest, window)
	}
	delete(c.windows, oldest)
}

// Forget removes the counts of windows more than MaxHostWindows before the current one.
func (c *Counter) Forget(current uint64) {
	for window := range c.windows {
		if window+MaxHostWindows < current {
			delete(c.windows, window)
		}
	}
}

// Unsent returns the counts of the windows that have changed since they were acknowledged, the oldest first. The counts
// are cumulative: they replace those that were sent before.
func (c *Counter) Unsent() []WindowCounts {
	var list []WindowCounts
	for window, t := range c.windows {
		if t.revision > t.sent {
			list = append(list, WindowCounts{Window: window, Counts: sortedCounts(t.counts), Revision: t.revision})
		}
	}
	slices.SortFunc(list, compareWindows)
	return list
}

// Acknowledge records that the state group has counts that Unsent returned. Later changes are sent again.
func (c *Counter) Acknowledge(list []WindowCounts) {
	for _, w := range list {
		if t := c.windows[w.Window]; t != nil {
			t.sent = max(t.sent, w.Revision)
		}
	}
}
