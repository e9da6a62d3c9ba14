package headguard

import (
	"cmp"
	"slices"
	"time"
)

// state is what a connection does.
type state int

const (
	idle    state = iota // no byte of the next head has arrived
	closing              // a head was refused
	reading              // a part of a head has arrived
	waiting              // a head is complete and waits for room
	running              // a request runs
)

// connection is a connection in a Ledger.
type connection struct {
	id       uint64
	listener string
	state    state
	since    time.Time // begin of idle or closing, first byte of the head otherwise
	buffered int64     // bytes of a head that is read or waits
	cost     int64     // of the head that waits or runs
	body     int64     // memory of the body
}

// maxWaiting is the number of heads that may wait for room.
const maxWaiting = 64

// Ledger decides which connections and heads a process takes. Connections have IDs that the caller chooses. It is not
// safe for concurrent use.
type Ledger struct {
	limits      Limits
	connections map[uint64]*connection
	byListener  map[string]int
	buffered    int64 // by heads that are read or wait
	used        int64 // by heads of requests that run
	bodies      int64
	waiting     int // number of heads that wait
}

// NewLedger returns a ledger without connections.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, connections: make(map[uint64]*connection), byListener: make(map[string]int)}
}

// UsedBytes returns the memory of all heads.
func (l *Ledger) UsedBytes() int64 { return l.used + l.buffered }

// BodyBytes returns the memory of all bodies.
func (l *Ledger) BodyBytes() int64 { return l.bodies }

// Connections returns the number of connections.
func (l *Ledger) Connections() int { return len(l.connections) }

// Open adds a connection that a listener has accepted. If there are too many, victim is the connection to close in its
// favour, which is removed: the one that has been idle or has sent its head for the longest time. If all others run
// requests, taken is false.
func (l *Ledger) Open(now time.Time, id uint64, listener string) (victim uint64, taken bool) {
	full := len(l.connections) >= l.limits.Connections
	listenerFull := l.byListener[listener] >= int(listenerShare*float64(l.limits.Connections))
	if full || listenerFull {
		v := l.oldest(func(c *connection) bool { return !listenerFull || c.listener == listener })
		if v == nil {
			return 0, false
		}
		l.remove(v)
		victim = v.id
	}
	l.connections[id] = &connection{id: id, listener: listener, since: now}
	l.byListener[listener]++
	return victim, true
}

// oldest returns the connection without a request that has been idle or has sent its head for the longest time, nil if
// there is none.
func (l *Ledger) oldest(eligible func(*connection) bool) *connection {
	var v *connection
	for _, c := range l.connections {
		if c.state > reading || !eligible(c) {
			continue
		}
		if v == nil || c.since.Before(v.since) || c.since.Equal(v.since) && c.id < v.id {
			v = c
		}
	}
	return v
}

// Buffer tells that the buffer of a connection for an incomplete head has grown to a number of bytes. If the buffers
// exceed their part of the budget, it returns the connections to refuse and close, the largest and slowest heads first,
// which may include this one.
func (l *Ledger) Buffer(now time.Time, id uint64, bytes int64) (refused []uint64) {
	c, ok := l.connections[id]
	switch {
	case !ok || c.state == closing:
		return []uint64{id}
	case c.state == idle:
		c.state, c.since = reading, now
	case c.state != reading:
		return nil // the head is complete
	}
	l.buffered += bytes - c.buffered
	c.buffered = bytes
	for l.buffered > int64(readingShare*float64(l.limits.HeadBytes)) {
		v := l.worst(now, reading)
		if v == nil {
			break
		}
		refused = append(refused, v.id)
		l.refuse(now, v)
	}
	return refused
}

// refuse refuses the head of a connection, which is counted until Close.
func (l *Ledger) refuse(now time.Time, c *connection) {
	l.leaveQueue(c)
	l.giveBack(c)
	c.state, c.since = closing, now
}

// worst returns the connection in a state whose head holds the most for the longest time, nil if there is none.
func (l *Ledger) worst(now time.Time, in state) *connection {
	var v *connection
	for _, c := range l.connections {
		if c.state == in && c.buffered+c.cost > 0 && (v == nil || compareHeads(now, c, v) > 0) {
			v = c
		}
	}
	return v
}

// compareHeads orders heads by size times age: the first one to refuse is the largest.
func compareHeads(now time.Time, a, b *connection) int {
	weight := func(c *connection) float64 {
		return float64(c.buffered+c.cost) * max(now.Sub(c.since), time.Millisecond).Seconds()
	}
	return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.id, b.id))
}

// fits reports whether there is room for a head.
func (l *Ledger) fits(cost int64) bool {
	room := (1 - readingShare) * float64(l.limits.HeadBytes)
	if cost > smallCost {
		room *= largeShare
	}
	return float64(l.used+cost) <= room
}

// Verdict is the answer to a head that asks for room.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	// Waits means that Release or Close names the connection when there is room, or Withdraw ends the wait.
	Waits
	Refused
)

// Admit begins the request of a connection whose head is complete. It returns false if there is no room for the head.
func (l *Ledger) Admit(id uint64, cost int64) bool {
	c, ok := l.connections[id]
	if !ok || c.state == closing || !l.fits(cost) {
		return false
	}
	if c.state == running { // the server has read the begin of the head early
		return l.Extend(id, cost)
	}
	c.cost = cost
	l.run(c)
	return true
}

// Enqueue lets a head wait that Admit did not take, until Release or Close names its connection or Withdraw ends the wait.
// It returns false if the head is refused. If too many heads wait, dropped is the connection of the largest and slowest
// of them, which is refused, 0 if that is this one.
func (l *Ledger) Enqueue(now time.Time, id uint64, cost int64) (waits bool, dropped uint64) {
	c, ok := l.connections[id]
	if !ok || c.state != idle && c.state != reading {
		return false, 0
	}
	if c.state == idle {
		c.since = now
	}
	c.cost, c.state = cost, waiting
	l.waiting++
	if l.waiting <= maxWaiting {
		return true, 0
	}
	w := l.worst(now, waiting)
	l.refuse(now, w)
	if w == c {
		return false, 0
	}
	return true, w.id
}

// run begins the request of a connection.
func (l *Ledger) run(c *connection) {
	l.leaveQueue(c)
	l.buffered -= c.buffered
	l.used += c.cost
	c.buffered, c.state = 0, running
}

// leaveQueue counts the end of the wait of a head.
func (l *Ledger) leaveQueue(c *connection) {
	if c.state == waiting {
		l.waiting--
	}
}

// queue returns the connections whose heads wait, those with the smallest heads first.
func (l *Ledger) queue() []*connection {
	if l.waiting == 0 {
		return nil
	}
	var list []*connection
	for _, c := range l.connections {
		if c.state == waiting {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *connection) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id)) })
	return list
}

// Withdraw ends the wait of a head, which is refused. It returns false if the head does not wait.
func (l *Ledger) Withdraw(now time.Time, id uint64) bool {
	c, ok := l.connections[id]
	if !ok || c.state != waiting {
		return false
	}
	l.refuse(now, c)
	return true
}

// Extend adds to the cost of the head of a request that runs, or begins without Admit. It returns false if that does not
// fit.
func (l *Ledger) Extend(id uint64, cost int64) bool {
	c, ok := l.connections[id]
	if !ok || c.state != idle && c.state != running || !l.fits(cost) {
		return false
	}
	c.state = running
	c.cost += cost
	l.used += cost
	return true
}

// ReserveBody takes the memory for more bytes of the body of a request. It returns false if that does not fit.
func (l *Ledger) ReserveBody(id uint64, bytes int64) bool {
	c, ok := l.connections[id]
	cost := bodyCost * bytes
	if !ok {
		return false
	}
	room := float64(l.limits.BodyBytes)
	if c.body+cost > smallBodyCost {
		room *= largeBodyShare
	}
	if float64(l.bodies+cost) > room {
		return false
	}
	c.body += cost
	l.bodies += cost
	return true
}

// Release ends the request of a connection, which is idle from now on. It returns the connections whose heads have
// waited and are admitted.
func (l *Ledger) Release(now time.Time, id uint64) (admitted []uint64) {
	c, ok := l.connections[id]
	if !ok || c.state != running {
		return nil
	}
	l.giveBack(c)
	c.state, c.since = idle, now
	return l.admitWaiting()
}

// Close removes a connection. It returns the connections whose heads have waited and are admitted.
func (l *Ledger) Close(id uint64) (admitted []uint64) {
	c, ok := l.connections[id]
	if !ok {
		return nil
	}
	l.remove(c)
	return l.admitWaiting()
}

// admitWaiting admits heads that wait and fit now, the smallest first.
func (l *Ledger) admitWaiting() (admitted []uint64) {
	for _, c := range l.queue() {
		if !l.fits(c.cost) {
			break
		}
		l.run(c)
		admitted = append(admitted, c.id)
	}
	return admitted
}

// remove removes a connection and returns what it holds.
func (l *Ledger) remove(c *connection) {
	l.leaveQueue(c)
	l.giveBack(c)
	delete(l.connections, c.id)
	if l.byListener[c.listener]--; l.byListener[c.listener] == 0 {
		delete(l.byListener, c.listener)
	}
}

// giveBack returns what the head and the body of a connection hold.
func (l *Ledger) giveBack(c *connection) {
	if c.state == running {
		l.used -= c.cost
	}
	l.buffered -= c.buffered
	l.bodies -= c.body
	c.buffered, c.cost, c.body = 0, 0, 0
}
