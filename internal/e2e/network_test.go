package e2e

import (
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/internal/fakes"
	"fuchsiaflow/membership"
)

// network carries all traffic between the hosts, with one link per ordered pair of hosts. Each
// host uses its own set of addresses for its peers, so that a link identifies both ends. The
// links therefore rewrite the addresses in membership packets to those that the receiver uses.
type network struct {
	hosts []hostEntry
	links map[[2]string]*link
}

// link carries traffic from one host to another, TCP by a proxy and UDP by a relay.
type link struct {
	proxy   *fakes.Proxy
	udp     *net.UDPConn
	blocked atomic.Bool
}

const (
	firstLinkPort = 8000
	tagSize       = 16 // authentication tag at the end of a membership packet
)

// newNetwork opens the links between all hosts and starts their relays.
func newNetwork(t *testing.T, hosts []hostEntry) *network {
	t.Helper()
	n := &network{hosts: hosts, links: make(map[[2]string]*link)}
	for _, from := range hosts {
		for j, to := range hosts {
			if from.Host == to.Host {
				continue
			}
			ip, _, err := net.SplitHostPort(from.Peer)
			if err != nil {
				t.Fatal(err)
			}
			proxy, err := fakes.NewProxyAt(&net.TCPAddr{IP: net.ParseIP(ip), Port: firstLinkPort + j}, to.Peer)
			if err != nil {
				t.Fatal(err)
			}
			udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: firstLinkPort + j})
			if err != nil {
				t.Fatal(err)
			}
			n.links[[2]string{from.Host, to.Host}] = &link{proxy: proxy, udp: udp}
		}
	}
	for _, to := range hosts {
		for _, from := range hosts {
			if l := n.links[[2]string{from.Host, to.Host}]; l != nil {
				go n.relay(l, to)
			}
		}
	}
	return n
}

// addressesFrom returns the hosts with the peer addresses that host i uses for them.
func (n *network) addressesFrom(hosts []hostEntry, i int) []hostEntry {
	list := append([]hostEntry(nil), hosts...)
	for j := range list {
		list[j].Peer = n.address(hosts[i].Host, list[j])
	}
	return list
}

// address returns the address at which one host reaches another. On a nil network it is the
// peer address itself.
func (n *network) address(from string, to hostEntry) string {
	if n == nil || from == to.Host {
		return to.Peer
	}
	return n.links[[2]string{from, to.Host}].proxy.Addr()
}

// relay forwards membership packets to a host until the link's UDP socket is closed.
func (n *network) relay(l *link, to hostEntry) {
	addr, err := net.ResolveUDPAddr("udp", to.Peer)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		size, _, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if data := n.rewriteAddresses(buf[:size], to.Host); data != nil && !l.blocked.Load() {
			_, _ = l.udp.WriteToUDP(data, addr)
		}
	}
}

// rewriteAddresses replaces the addresses in a packet by those that the receiver uses, and
// renews the authentication tag. It returns nil for an invalid packet.
func (n *network) rewriteAddresses(data []byte, receiver string) []byte {
	var p membership.Packet
	if len(data) < tagSize || cbor.Unmarshal(data[:len(data)-tagSize], &p) != nil {
		return nil
	}
	translate := func(h *membership.Host) {
		for _, known := range n.hosts {
			if known.Host == h.ID {
				h.Addr = n.address(receiver, known)
			}
		}
	}
	translate(&p.From)
	translate(&p.Target)
	for i := range p.Updates {
		translate(&p.Updates[i].Host)
	}
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil
	}
	tag := hmac.New(sha256.New, []byte(clusterToken))
	tag.Write(body)
	return append(body, tag.Sum(nil)[:tagSize]...)
}

// forEachBoundaryLink calls fn for each link between a host of the failure domain and a host of
// another one, in both directions.
func (n *network) forEachBoundaryLink(domain string, fn func(*link)) {
	inDomain := make(map[string]bool)
	for _, h := range n.hosts {
		inDomain[h.Host] = h.FailureDomain == domain
	}
	for pair, l := range n.links {
		if inDomain[pair[0]] != inDomain[pair[1]] {
			fn(l)
		}
	}
}

// isolate drops all traffic between a failure domain and the others, on open and on new
// connections.
func (n *network) isolate(domain string) {
	n.forEachBoundaryLink(domain, func(l *link) {
		l.blocked.Store(true)
		l.proxy.SetPartitioned(true)
	})
}

// heal lets new connections and packets through again. Connections that were open while the
// domain was isolated never carry data again, so the hosts must detect and replace them.
func (n *network) heal(domain string) {
	n.forEachBoundaryLink(domain, func(l *link) {
		l.blocked.Store(false)
		l.proxy.SetPartitioned(false)
	})
}

// blackholeConnections makes all open connections lose data for good, without closing them. New
// connections work.
func (n *network) blackholeConnections() {
	for _, l := range n.links {
		l.proxy.Blackhole()
	}
}

func (n *network) close() {
	for _, l := range n.links {
		_ = l.udp.Close()
		l.proxy.Close()
	}
}
