package membership

import (
	"slices"
	"time"
)

const (
	// joinBytes bounds one packet of the answer to a Join.
	joinBytes = 16 << 10
	// syncBytes bounds the table part in one Sync packet.
	syncBytes = 4 << 10
	// comparePatience is the number of acknowledgements with another view after which tables
	// are compared. Ordinary news spreads within fewer.
	comparePatience = 4
	// busyPatience applies while a host has news of its own. After a healed partition there is
	// more news than the byte bound carries in time.
	busyPatience = 8
)

// contactSeed joins through a seed, or reaches out to a seed that is not among the live hosts,
// which heals a partition that lasted longer than ForgetAfter.
func (n *Node) contactSeed(now time.Time) []Outgoing {
	n.forgetGone(now)
	n.nextSeed = now.Add(n.cfg.ProbeInterval)
	if n.joined {
		n.nextSeed = now.Add(seedPeriods * n.cfg.ProbeInterval)
	}
	var missing []string
	for _, addr := range n.cfg.Seeds {
		if addr != n.cfg.Self.Addr && n.table.addrs[addr] == 0 {
			missing = append(missing, addr)
		}
	}
	if len(missing) == 0 && !n.joined {
		missing = n.foreignSeeds()
	}
	if len(missing) == 0 {
		return nil
	}
	o := n.to(Host{Addr: missing[n.cfg.Rand.IntN(len(missing))]}, Packet{Kind: Join})
	return []Outgoing{o}
}

func (n *Node) foreignSeeds() []string {
	return slices.DeleteFunc(slices.Clone(n.cfg.Seeds), func(a string) bool { return a == n.cfg.Self.Addr })
}

func (n *Node) forgetGone(now time.Time) {
	var old []*record
	for _, r := range n.table.gone {
		if now.Sub(r.goneSince) >= n.cfg.ForgetAfter {
			old = append(old, r)
		}
	}
	for _, r := range old {
		n.table.remove(r)
		n.states.remove(r.Host.ID)
		n.metas.remove(r.Host.ID)
		n.domainMetas.remove(r.Host.ID)
	}
}

// answerJoin sends the whole table. What is known about a former process of the joining host
// is collected before the packet is merged, so that the host can raise its incarnation.
func (n *Node) answerJoin(now time.Time, p Packet) []Outgoing {
	var former []Update
	if r := n.table.records[p.From.ID]; r != nil {
		former = append(former, r.Update)
	}
	n.absorb(now, p)
	var out []Outgoing
	next := Packet{Kind: Sync, Updates: former}
	size := 0
	emit := func() {
		next.From, next.Refutation, next.View = n.self.Host, n.self.Refutation, n.table.view
		out = append(out, Outgoing{Host: p.From.ID, Addr: p.From.Addr, Packet: next})
		next, size = Packet{Kind: Sync}, 0
	}
	for _, r := range n.inBuckets(func(int) bool { return true }) {
		if r.Host.ID == p.From.ID {
			continue
		}
		next.Updates = append(next.Updates, r.Update)
		size += updateSize(r.Update)
		if r.metaVersion > 0 {
			next.Metas = append(next.Metas, r.metaUpdate())
			size += metaSize(r.Host.ID, r.meta)
		}
		if size+MaxMetaBytes > joinBytes {
			emit()
		}
	}
	emit()
	return out
}

// compare starts a comparison of tables if the senders of acknowledgements have had other views
// for a while, for longer if this host has news that would explain it.
func (n *Node) compare(now time.Time, p Packet) []Outgoing {
	if p.View == n.table.view {
		n.mismatches = 0
		if n.matches++; n.matches == comparePatience {
			n.dropKnownNews()
		}
		return nil
	}
	n.mismatches++
	n.matches = 0
	patience := comparePatience
	if n.states.len() > 0 {
		patience = busyPatience
	}
	if n.mismatches < patience || now.Before(n.nextCompare) {
		return nil
	}
	n.nextCompare = now.Add(2 * n.cfg.ProbeInterval)
	return []Outgoing{n.to(p.From, Packet{Kind: Compare, Buckets: n.table.buckets[:]})}
}

// dropKnownNews takes the news out of the queue that hosts with the same view must have.
// Suspicions stay, because the view does not cover them. A host that still lacks the news has
// another view and compares tables.
func (n *Node) dropKnownNews() {
	for id := range n.states.items {
		if r := n.record(id); r == nil || r.State != Suspect {
			n.states.remove(id)
		}
	}
}

func (n *Node) answerCompare(p Packet) []Outgoing {
	o, ok := n.syncTo(p)
	if !ok {
		return nil
	}
	o.Packet.Buckets = slices.Clone(n.table.buckets[:])
	return []Outgoing{o}
}

func (n *Node) handleSync(p Packet) []Outgoing {
	if len(p.Buckets) == 0 {
		return nil
	}
	o, ok := n.syncTo(p)
	if !ok {
		return nil
	}
	return []Outgoing{o}
}

// syncTo sends the records of the buckets that differ from those in p, up to the byte bound.
func (n *Node) syncTo(p Packet) (Outgoing, bool) {
	if len(p.Buckets) != bucketCount {
		return Outgoing{}, false
	}
	records := n.inBuckets(func(b int) bool { return p.Buckets[b] != n.table.buckets[b] })
	out := Packet{Kind: Sync, From: n.self.Host, Refutation: n.self.Refutation, View: n.table.view}
	if len(records) == 0 {
		return Outgoing{}, false
	}
	start, size := n.cfg.Rand.IntN(len(records)), 0
	for i := range records {
		u := records[(start+i)%len(records)].Update
		if size += updateSize(u); size > syncBytes {
			break
		}
		out.Updates = append(out.Updates, u)
	}
	return Outgoing{Host: p.From.ID, Addr: p.From.Addr, Packet: out}, true
}

func (n *Node) inBuckets(accept func(int) bool) []*record {
	var out []*record
	for _, list := range [][]*record{{&n.self}, n.table.live, n.table.gone} {
		for _, r := range list {
			if accept(bucketOf(r.Host.ID)) {
				out = append(out, r)
			}
		}
	}
	return out
}
