package headguard

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/observe"
)

const (
	// logInterval is the least time between two log lines about refusals.
	logInterval = 5 * time.Second
	// bodyRetryAfter is when a caller may send a body again for which there is no memory: about the time in which a
	// batch job is stored.
	bodyRetryAfter = 500 * time.Millisecond
	// extraHeadBytes is what net/http reads beyond MaxHeaderBytes.
	extraHeadBytes = 4096
)

// Reasons of a refusal.
const (
	reasonBudget      = "budget"      // no room for the head
	reasonBuffer      = "buffer"      // among the largest and slowest incomplete heads
	reasonSize        = "size"        // no end within the limit of the server
	reasonBody        = "body"        // no room for a body
	reasonConnections = "connections" // too many connections, all with a request
	reasonIdle        = "idle"        // closed in favour of a new connection
)

var reasons = []string{reasonBudget, reasonBuffer, reasonSize, reasonBody, reasonConnections, reasonIdle}

// Guard protects the HTTP servers of a process. It is safe for concurrent use.
type Guard struct {
	log     *slog.Logger
	refused *observe.Counter
	started time.Time

	mu       sync.Mutex
	ledger   *Ledger
	conns    map[uint64]*conn
	lastID   uint64
	refusals map[string]int // since loggedAt, by reason
	loggedAt time.Time
}

// New returns a guard with the given limits.
func New(l Limits, log *slog.Logger, m *observe.Metrics) *Guard {
	g := &Guard{log: log, started: time.Now(), ledger: NewLedger(l), conns: make(map[uint64]*conn), refusals: make(map[string]int)}
	g.refused = m.Counter("refused_clients_total", "Heads, bodies and connections of clients that were refused or closed to bound the memory and descriptors of the process, by reason.",
		observe.Label{Name: "reason", Values: reasons})
	gauge := func(name, help string, read func(*Ledger) float64) {
		m.GaugeFunc(name, help, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return read(g.ledger)
		})
	}
	gauge("client_heads_bytes", "Memory of the heads of requests as counted in their budget, in bytes.", func(l *Ledger) float64 { return float64(l.UsedBytes()) })
	gauge("client_bodies_bytes", "Memory of decoded bodies as counted in their budget, in bytes.", func(l *Ledger) float64 { return float64(l.BodyBytes()) })
	gauge("client_connections", "Connections from clients.", func(l *Ledger) float64 { return float64(l.Connections()) })
	return g
}

// connKey is the context key of the conn of a request.
type connKey struct{}

// Protect makes a server use the guard, and returns the listener on which it has to serve. The connections of a listener
// are counted under its name.
func (g *Guard) Protect(name string, s *http.Server, l net.Listener) net.Listener {
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.expectHead()
		}
	}
	s.Handler = guardedHandler{next: s.Handler, limitsTime: s.ReadTimeout == 0}
	maxHead := s.MaxHeaderBytes
	if maxHead <= 0 {
		maxHead = http.DefaultMaxHeaderBytes
	}
	return &listener{Listener: l, guard: g, name: name, maxHead: maxHead + extraHeadBytes, headTimeout: s.ReadHeaderTimeout}
}

// guardedHandler counts what a request holds.
type guardedHandler struct {
	next http.Handler
	// limitsTime is set if a body may not arrive more slowly than bodyDeadline allows. A server with a ReadTimeout
	// limits that itself.
	limitsTime bool
}

// ServeHTTP implements http.Handler.
func (h guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	if !c.begin(r) {
		w.Header().Set("Retry-After", retryAfter)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !h.limitsTime || r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	body := newTimedBody(r.Body, c.Conn)
	// The server recognizes the body of its own request by its type.
	r = r.WithContext(r.Context())
	r.Body = body
	h.next.ServeHTTP(w, r)
	if r.Close && !body.whole.Load() {
		c.lingers.Store(true)
	}
}

// ReserveBody takes memory for more bytes of the body of a request that is decoded in memory. It is returned when the
// request ends. The error is errs.Overloaded if there is too little. A request that did not arrive through a guard has
// no limit.
func ReserveBody(ctx context.Context, bytes int64) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger.ReserveBody(c.id, bytes) {
		return nil
	}
	g.recordRefusal(reasonBody)
	return &errs.Overloaded{Resource: "memory for bodies", After: bodyRetryAfter}
}

// recordRefusal counts a refusal, and logs those since the last line if that is long ago. The caller holds g.mu.
func (g *Guard) recordRefusal(reason string) {
	g.refused.Inc(reason)
	g.refusals[reason]++
	now := time.Now()
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	args := []any{"connections", g.ledger.Connections(), "heads_bytes", g.ledger.UsedBytes(), "bodies_bytes", g.ledger.BodyBytes()}
	for _, name := range reasons {
		if count := g.refusals[name]; count > 0 {
			args = append(args, "refused_"+name, count)
		}
	}
	g.log.Warn("clients refused", args...)
	g.loggedAt, g.refusals = now, make(map[string]int)
}

// open registers a connection, or returns false if there are too many. It closes another one in its favour.
func (g *Guard) open(c *conn, listener string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	c.id = g.lastID
	victim, taken := g.ledger.Open(time.Now(), c.id, listener)
	if !taken {
		g.recordRefusal(reasonConnections)
		return false
	}
	g.conns[c.id] = c
	if v, ok := g.conns[victim]; ok {
		g.recordRefusal(reasonIdle)
		delete(g.conns, victim)
		_ = v.Conn.Close()
	}
	return true
}

// close removes a connection.
func (g *Guard) close(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, id)
	g.wake(g.ledger.Close(id))
}

// release ends the request of a connection.
func (g *Guard) release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.ledger.Release(time.Now(), id))
}

// wake ends the wait of heads that are admitted. The caller holds g.mu.
func (g *Guard) wake(ids []uint64) {
	for _, id := range ids {
		g.conns[id].verdict <- true
	}
}

// buffer accounts for the buffer of an incomplete head. It returns false if the head is refused.
func (g *Guard) buffer(c *conn, bytes int) bool {
	g.mu.Lock()
	refused := g.ledger.Buffer(time.Now(), c.id, int64(bytes))
	victims := make([]*conn, 0, len(refused))
	for _, id := range refused {
		g.recordRefusal(reasonBuffer)
		if v, ok := g.conns[id]; ok && v != c {
			victims = append(victims, v)
		}
	}
	g.mu.Unlock()
	for _, v := range victims {
		v.writeRefusal(statusUnavailable)
		_ = v.Conn.Close() // the server closes the rest when its read fails
	}
	return !slices.Contains(refused, c.id)
}

// admit asks for room for a head, and waits shortly if there is none. It returns false if the head is refused.
func (g *Guard) admit(c *conn, bytes, lines int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	cost := Cost(bytes, lines)
	if g.ledger.Admit(c.id, cost) {
		return true
	}
	waits, dropped := g.ledger.Enqueue(time.Now(), c.id, cost)
	if d, ok := g.conns[dropped]; ok {
		d.verdict <- false
		g.recordRefusal(reasonBudget)
	}
	if !waits {
		g.recordRefusal(reasonBudget)
		return false
	}
	c.verdict = make(chan bool, 1)
	return g.await(c)
}

// await waits until there is room for the head of a connection. It returns false if the head is refused. The caller
// holds g.mu, which is unlocked meanwhile.
func (g *Guard) await(c *conn) bool {
	g.mu.Unlock()
	admitted, known := c.awaitVerdict()
	g.mu.Lock()
	if known {
		return admitted
	}
	if g.ledger.Withdraw(time.Now(), c.id) {
		g.recordRefusal(reasonBudget)
		return false
	}
	select {
	case admitted := <-c.verdict: // it has arrived meanwhile
		return admitted
	default:
		return false // the connection was closed
	}
}

// awaitVerdict waits up to maxWait for the end of the wait of a head. known is false if it has not come.
func (c *conn) awaitVerdict() (admitted, known bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case admitted := <-c.verdict:
		return admitted, true
	case <-timer.C:
		return false, false
	}
}
