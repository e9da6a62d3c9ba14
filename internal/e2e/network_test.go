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

// network carries all traffic between the hosts, one link for each ordered pair. A host
// reaches each other host at an address of its own, so a link knows both of its ends. To keep
// it so, the links replace the addresses in membership packets by those that the receiver
// is to use.
type network struct {
	hosts []hostEntry
	links map[[2]string]*link
}

// link carries traffic from one host to another: TCP by a proxy, UDP by a relay.
type link struct {
	proxy *fakes.Proxy
	udp   *net.UDPConn
	cut   atomic.Bool
}

const (
	firstLinkPort = 8000
	tagBytes      = 16 // of the authentication tag of a membership packet
)

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

// view returns the hosts with the addresses that host i uses for them.
func (n *network) view(hosts []hostEntry, i int) []hostEntry {
	list := append([]hostEntry(nil), hosts...)
	for j := range list {
		list[j].Peer = n.address(hosts[i].Host, list[j])
	}
	return list
}

// address returns the address at which one host reaches another.
func (n *network) address(from string, to hostEntry) string {
	if n == nil || from == to.Host {
		return to.Peer
	}
	return n.links[[2]string{from, to.Host}].proxy.Addr()
}

// relay forwards membership packets to a host until the link is closed.
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
		if data := n.rewrite(buf[:size], to.Host); data != nil && !l.cut.Load() {
			_, _ = l.udp.WriteToUDP(data, addr)
		}
	}
}

// rewrite replaces the addresses in a packet by those that the receiver uses.
func (n *network) rewrite(data []byte, receiver string) []byte {
	var p membership.Packet
	if len(data) < tagBytes || cbor.Unmarshal(data[:len(data)-tagBytes], &p) != nil {
		return nil
	}
	local := func(h *membership.Host) {
		for _, known := range n.hosts {
			if known.Host == h.ID {
				h.Addr = n.address(receiver, known)
			}
		}
	}
	local(&p.From)
	local(&p.Target)
	for i := range p.Updates {
		local(&p.Updates[i].Host)
	}
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil
	}
	tag := hmac.New(sha256.New, []byte(clusterToken))
	tag.Write(body)
	return append(body, tag.Sum(nil)[:tagBytes]...)
}

// between calls fn for the links between the hosts of a failure domain and all others.
func (n *network) between(domain string, fn func(*link)) {
	in := make(map[string]bool)
	for _, h := range n.hosts {
		in[h.Host] = h.FailureDomain == domain
	}
	for pair, l := range n.links {
		if in[pair[0]] != in[pair[1]] {
			fn(l)
		}
	}
}

// isolate loses all traffic between a failure domain and the others, on open and on new
// connections.
func (n *network) isolate(domain string) {
	n.between(domain, func(l *link) {
		l.cut.Store(true)
		l.proxy.SetPartitioned(true)
	})
}

// heal lets new connections and packets through. Connections that were open stay silent for
// ever, so the hosts must notice and replace them.
func (n *network) heal(domain string) {
	n.between(domain, func(l *link) {
		l.cut.Store(false)
		l.proxy.SetPartitioned(false)
	})
}

// silence makes all open connections silent; new ones work.
func (n *network) silence() {
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
