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
	// maxPacketBytes is the maximum size of a received UDP payload.
	maxPacketBytes = 64 << 10
	// packetTagBytes is the size of the authentication tag of a packet, a truncated HMAC.
	packetTagBytes = 16
	// gossipInterval is the interval of membership ticks and so the resolution of probe timeouts.
	gossipInterval = 50 * time.Millisecond
	// summaryTTL is the age above which the summary of a host is ignored. Gossip takes about 11 s
	// to deliver a summary to all hosts of a failure domain of 100; routing prefers newer ones.
	summaryTTL = 2 * time.Minute
)

// hostSummary is the state that a host publishes to all others. Its encoding must fit into
// membership.MaxMetaBytes.
type hostSummary struct {
	Pools map[string]routing.PoolSummary `cbor:"1,keyasint"`
}

// hostGoneEvent reports that a host process is gone: it failed, left or was replaced.
// lastIncarnation is the newest incarnation that is gone. For a host that failed or left it is the
// time of the report, because a host may raise its claim incarnation while it runs.
type hostGoneEvent struct {
	host            string
	lastIncarnation uint64
}

// membershipService runs the gossip membership protocol with its failure detection over UDP.
type membershipService struct {
	self   membership.Host
	token  []byte
	events *kernel.Ring[hostGoneEvent]
	log    *slog.Logger
	// onRestart, if not nil, is called with each known host that has a new incarnation. It must not
	// block.
	onRestart func(host string)

	conn *net.UDPConn

	mu        sync.Mutex
	node      *membership.Node
	known     map[string]membership.Member
	summaries map[string]receivedSummary
	// lossTimes maps each leaving host to the time at which its work is considered lost.
	lossTimes    map[string]time.Time
	drainTimeout time.Duration

	bytesSent, bytesReceived uint64
}

type receivedSummary struct {
	version    uint64
	receivedAt time.Time
	summary    hostSummary
}

func newMembershipService(cfg membership.Config, token string, drain time.Duration, log *slog.Logger, now time.Time) *membershipService {
	return &membershipService{
		self:         cfg.Self,
		token:        []byte(token),
		events:       kernel.NewRing[hostGoneEvent]("membership/events", 1024, kernel.DropOldest),
		log:          log,
		node:         membership.New(cfg, now),
		known:        make(map[string]membership.Member),
		summaries:    make(map[string]receivedSummary),
		lossTimes:    make(map[string]time.Time),
		drainTimeout: drain,
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
	k.Every("membership/tick", gossipInterval, m.tick)
	return nil
}

// Stop implements kernel.Service.
func (m *membershipService) Stop(context.Context) error {
	m.Leave()
	if err := m.conn.Close(); err != nil {
		return &errs.Unavailable{Resource: "UDP socket", Reason: err.Error(), Outcome: errs.Ran}
	}
	return nil
}

// Leave announces to the other hosts that this host must get no new work.
func (m *membershipService) Leave() {
	m.mu.Lock()
	packets := m.node.Leave(time.Now())
	m.mu.Unlock()
	m.send(packets)
}

func (m *membershipService) tick(context.Context) {
	m.mu.Lock()
	packets := m.node.Tick(time.Now())
	m.observeMembers()
	m.mu.Unlock()
	m.send(packets)
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
		m.handlePacket(buf[:n])
	}
}

func (m *membershipService) handlePacket(data []byte) {
	body, ok := m.verify(data)
	if !ok {
		m.log.Debug("membership packet has a wrong authentication tag")
		return
	}
	var p membership.Packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		m.log.Debug("cannot decode membership packet", "error", err)
		return
	}
	m.mu.Lock()
	m.bytesReceived += uint64(len(data))
	packets := m.node.Receive(time.Now(), p.From.ID, p)
	m.observeMembers()
	m.mu.Unlock()
	m.send(packets)
}

// observeMembers detects hosts that are gone or restarted and stores new summaries. The caller must
// hold m.mu.
func (m *membershipService) observeMembers() {
	now := time.Now()
	for _, member := range m.node.Members() {
		id := member.Host.ID
		old, seen := m.known[id]
		m.known[id] = member
		if h := m.summaries[id]; member.MetaVersion != h.version || member.Host.Incarnation != old.Host.Incarnation {
			m.summaries[id] = receivedSummary{version: member.MetaVersion, receivedAt: now, summary: decodeSummary(member.Meta)}
		}
		if !seen || id == m.self.ID {
			continue
		}
		switch {
		case member.Host.Incarnation > old.Host.Incarnation:
			delete(m.lossTimes, id)
			if m.onRestart != nil {
				m.onRestart(id)
			}
			m.pushEvent(hostGoneEvent{host: id, lastIncarnation: member.Host.Incarnation - 1})
		case old.State.Live() && member.State == membership.Left:
			m.lossTimes[id] = now.Add(m.drainTimeout)
		case old.State.Live() && !member.State.Live():
			m.pushEvent(hostGoneEvent{host: id, lastIncarnation: uint64(now.UnixMilli())})
		}
	}
	m.reportLeftHosts(now)
}

// reportLeftHosts reports the hosts that left at least drainTimeout ago. A leaving host first
// finishes its requests, and their claims must stay valid until then. The caller must hold m.mu.
func (m *membershipService) reportLeftHosts(now time.Time) {
	for id, lossTime := range m.lossTimes {
		if !now.Before(lossTime) {
			delete(m.lossTimes, id)
			m.pushEvent(hostGoneEvent{host: id, lastIncarnation: uint64(now.UnixMilli())})
		}
	}
}

func (m *membershipService) pushEvent(e hostGoneEvent) {
	_ = m.events.Push(context.Background(), e) // never fails with DropOldest
}

// decodeSummary returns an empty summary if meta is empty or cannot be decoded.
func decodeSummary(meta []byte) hostSummary {
	var s hostSummary
	if len(meta) > 0 {
		_ = cbor.Unmarshal(meta, &s)
	}
	return s
}

func (m *membershipService) send(packets []membership.Outgoing) {
	for _, o := range packets {
		addr, err := net.ResolveUDPAddr("udp", o.Addr)
		if err != nil {
			continue
		}
		body, err := cbor.Marshal(o.Packet)
		if err != nil {
			continue
		}
		data := m.sign(body)
		if _, err := m.conn.WriteToUDP(data, addr); err == nil {
			m.mu.Lock()
			m.bytesSent += uint64(len(data))
			m.mu.Unlock()
		}
	}
}

// sign appends an authentication tag, so that only hosts with the cluster token can participate in
// the membership.
func (m *membershipService) sign(body []byte) []byte {
	return append(body, m.computeTag(body)...)
}

// verify checks the authentication tag of a packet and returns the body.
func (m *membershipService) verify(data []byte) ([]byte, bool) {
	if len(data) < packetTagBytes {
		return nil, false
	}
	body, tag := data[:len(data)-packetTagBytes], data[len(data)-packetTagBytes:]
	return body, hmac.Equal(tag, m.computeTag(body))
}

func (m *membershipService) computeTag(body []byte) []byte {
	h := hmac.New(sha256.New, m.token)
	h.Write(body)
	return h.Sum(nil)[:packetTagBytes]
}

// Live returns the live hosts of a failure domain, or of all failure domains if domain is empty.
func (m *membershipService) Live(domain string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Live(domain)
}

// Owner returns the host that owns a target of this host's failure domain, or "" if there is no
// live host.
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

// SetSummary publishes the summary of this host. Pools that don't fit are omitted; requests for
// them can still reach this host through its failure domain.
func (m *membershipService) SetSummary(s hostSummary) {
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
				m.log.Warn("cannot publish the summary of this host", "error", err)
			}
			return
		}
		delete(s.Pools, pools[len(pools)-1])
		pools = pools[:len(pools)-1]
	}
}

// Summaries returns the summaries of the live hosts that are not older than summaryTTL, sorted by
// host.
func (m *membershipService) Summaries(now time.Time) []routing.HostSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]routing.HostSummary, 0, len(m.known))
	for id, member := range m.known {
		h, ok := m.summaries[id]
		if !ok || !member.State.Live() || now.Sub(h.receivedAt) > summaryTTL {
			continue
		}
		list = append(list, routing.HostSummary{Host: id, Domain: member.Host.Domain, ReceivedAt: h.receivedAt, Pools: h.summary.Pools})
	}
	slices.SortFunc(list, func(a, b routing.HostSummary) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return list
}

// Traffic returns the bytes of membership packets sent and received since the start.
func (m *membershipService) Traffic() (sent, received uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytesSent, m.bytesReceived
}
