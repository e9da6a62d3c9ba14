package host

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/membership"
	"fuchsiaflow/routing"
)

const (
	// maxPacketBytes is the largest UDP payload that is read.
	maxPacketBytes = 64 << 10
	// packetTagBytes is the length of the authentication tag of a packet.
	packetTagBytes = 16
	// gossipTick is the resolution of probe time-outs.
	gossipTick = 50 * time.Millisecond
	// summaryLife is the age after which a host's summary is left out. Gossip takes about 11 s
	// to bring a summary to all hosts of a failure domain of 100; routing prefers newer ones.
	summaryLife = 2 * time.Minute
)

// summary is what a host tells all others about itself. It must fit membership.MaxMetaBytes.
type summary struct {
	Pools map[string]routing.PoolSummary `cbor:"1,keyasint"`
}

// hostEvent reports that a host process is gone: it failed, left or was replaced. Upto is
// the newest incarnation that is gone. A host raises its claim incarnation while it runs, so
// Upto of a failed host is the time of the report.
type hostEvent struct {
	host string
	upto uint64
}

// membershipService runs failure detection over UDP.
type membershipService struct {
	self   membership.Host
	token  []byte
	events *kernel.Ring[hostEvent]
	log    *slog.Logger
	// started is called with each host that runs as a new process, or nil. It must not block.
	started func(host string)

	conn *net.UDPConn

	mu    sync.Mutex
	node  *membership.Node
	known map[string]membership.Member
	heard map[string]heardSummary
	// left has the time at which the work of a host that leaves counts as lost.
	left  map[string]time.Time
	drain time.Duration

	bytesSent, bytesReceived uint64
}

type heardSummary struct {
	version uint64
	at      time.Time
	summary summary
}

func newMembershipService(cfg membership.Config, token string, drain time.Duration, log *slog.Logger, now time.Time) *membershipService {
	return &membershipService{
		self:   cfg.Self,
		token:  []byte(token),
		events: kernel.NewRing[hostEvent]("membership/events", 1024, kernel.DropOldest),
		log:    log,
		node:   membership.New(cfg, now),
		known:  make(map[string]membership.Member),
		heard:  make(map[string]heardSummary),
		left:   make(map[string]time.Time),
		drain:  drain,
	}
}

// Start implements kernel.Service.
func (m *membershipService) Start(_ context.Context, k *kernel.Kernel) error {
	addr, err := net.ResolveUDPAddr("udp", m.self.Addr)
	if err != nil {
		return &errs.Invalid{Path: "$.peer", Want: "IP:port", Got: m.self.Addr}
	}
	m.conn, err = net.ListenUDP("udp", addr)
	if err != nil {
		return &errs.Unavailable{Resource: "UDP address " + m.self.Addr, Reason: err.Error()}
	}
	k.Go("membership/receive", m.receive)
	k.Every("membership/tick", gossipTick, m.tick)
	return nil
}

// Stop implements kernel.Service.
func (m *membershipService) Stop(context.Context) error {
	m.Leave()
	if err := m.conn.Close(); err != nil {
		return &errs.Unavailable{Resource: "UDP socket", Reason: err.Error(), Result: errs.Ran}
	}
	return nil
}

// Leave tells the other hosts that this one gets no new work.
func (m *membershipService) Leave() {
	m.mu.Lock()
	out := m.node.Leave(time.Now())
	m.mu.Unlock()
	m.send(out)
}

func (m *membershipService) tick(context.Context) {
	m.mu.Lock()
	out := m.node.Tick(time.Now())
	m.observe()
	m.mu.Unlock()
	m.send(out)
}

func (m *membershipService) receive(ctx context.Context) error {
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := m.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			m.log.Debug("UDP read failed", "error", err)
			continue
		}
		m.handle(buf[:n])
	}
}

func (m *membershipService) handle(data []byte) {
	body, ok := m.open(data)
	if !ok {
		m.log.Debug("membership packet with a wrong authentication tag")
		return
	}
	var p membership.Packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		m.log.Debug("membership packet cannot be decoded", "error", err)
		return
	}
	m.mu.Lock()
	m.bytesReceived += uint64(len(data))
	out := m.node.Receive(time.Now(), p.From.ID, p)
	m.observe()
	m.mu.Unlock()
	m.send(out)
}

// observe notices hosts that are gone and new summaries. The caller holds the lock.
func (m *membershipService) observe() {
	now := time.Now()
	for _, member := range m.node.Members() {
		id := member.Host.ID
		old, seen := m.known[id]
		m.known[id] = member
		if h := m.heard[id]; member.MetaVersion != h.version || member.Host.Incarnation != old.Host.Incarnation {
			m.heard[id] = heardSummary{version: member.MetaVersion, at: now, summary: decodeSummary(member.Meta)}
		}
		if !seen || id == m.self.ID {
			continue
		}
		switch {
		case member.Host.Incarnation > old.Host.Incarnation:
			delete(m.left, id)
			if m.started != nil {
				m.started(id)
			}
			m.report(hostEvent{host: id, upto: member.Host.Incarnation - 1})
		case old.State.Live() && member.State == membership.Left:
			m.left[id] = now.Add(m.drain)
		case old.State.Live() && !member.State.Live():
			m.report(hostEvent{host: id, upto: uint64(now.UnixMilli())})
		}
	}
	m.reportLeft(now)
}

// reportLeft reports the hosts that left and must have ended by now. A host that leaves first
// finishes its requests, whose claims must stay valid until then.
func (m *membershipService) reportLeft(now time.Time) {
	for id, end := range m.left {
		if !now.Before(end) {
			delete(m.left, id)
			m.report(hostEvent{host: id, upto: uint64(now.UnixMilli())})
		}
	}
}

func (m *membershipService) report(e hostEvent) {
	_ = m.events.Push(context.Background(), e) // a DropOldest ring never fails
}

func decodeSummary(meta []byte) summary {
	var s summary
	if len(meta) > 0 {
		_ = cbor.Unmarshal(meta, &s)
	}
	return s
}

func (m *membershipService) send(out []membership.Outgoing) {
	for _, o := range out {
		addr, err := net.ResolveUDPAddr("udp", o.Addr)
		if err != nil {
			continue
		}
		body, err := cbor.Marshal(o.Packet)
		if err != nil {
			continue
		}
		data := m.seal(body)
		if _, err := m.conn.WriteToUDP(data, addr); err == nil {
			m.mu.Lock()
			m.bytesSent += uint64(len(data))
			m.mu.Unlock()
		}
	}
}

// seal appends an authentication tag, so that only holders of the cluster token can take
// part in membership.
func (m *membershipService) seal(body []byte) []byte {
	return append(body, m.tag(body)...)
}

func (m *membershipService) open(data []byte) ([]byte, bool) {
	if len(data) < packetTagBytes {
		return nil, false
	}
	body, tag := data[:len(data)-packetTagBytes], data[len(data)-packetTagBytes:]
	return body, hmac.Equal(tag, m.tag(body))
}

func (m *membershipService) tag(body []byte) []byte {
	h := hmac.New(sha256.New, m.token)
	h.Write(body)
	return h.Sum(nil)[:packetTagBytes]
}

// Live returns the live hosts of a failure domain, or of all for an empty domain.
func (m *membershipService) Live(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Live(domain)
}

// Owner returns the host that owns a target of this host's failure domain.
func (m *membershipService) Owner(target string) string {
	return membership.Owner(target, m.Live(m.self.Domain))
}

// Address returns the peer address of a host.
func (m *membershipService) Address(host string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.known[host]
	return member.Host.Addr, ok
}

// Members returns the known hosts.
func (m *membershipService) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members()
}

// SetSummary publishes what this host tells the others. Pools that do not fit are left out;
// requests for them still find this host through its failure domain.
func (m *membershipService) SetSummary(s summary) {
	pools := slices.Sorted(maps.Keys(s.Pools))
	for {
		meta, err := cbor.Marshal(s)
		if err != nil {
			return
		}
		if len(meta) <= membership.MaxMetaBytes {
			m.mu.Lock()
			err = m.node.SetMeta(meta)
			m.mu.Unlock()
			if err != nil {
				m.log.Warn("host summary is not published", "error", err)
			}
			return
		}
		delete(s.Pools, pools[len(pools)-1])
		pools = pools[:len(pools)-1]
	}
}

// Summaries returns the summaries of the live hosts.
func (m *membershipService) Summaries(now time.Time) []routing.HostSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]routing.HostSummary, 0, len(m.known))
	for id, member := range m.known {
		h, ok := m.heard[id]
		if !ok || !member.State.Live() || now.Sub(h.at) > summaryLife {
			continue
		}
		list = append(list, routing.HostSummary{Host: id, Domain: member.Host.Domain, ReceivedAt: h.at, Pools: h.summary.Pools})
	}
	slices.SortFunc(list, func(a, b routing.HostSummary) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return list
}

// Traffic returns the bytes sent and received.
func (m *membershipService) Traffic() (sent, received uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytesSent, m.bytesReceived
}
