package membership

import (
	"slices"
	"time"
)

const (
	// joinBytes limits the size of each Sync packet sent in reply to a Join.
	joinBytes = 16 << 10
	// syncBytes limits the size of the records in any other Sync packet.
	syncBytes = 4 << 10
	// compareThreshold is the number of consecutive acknowledgements with a different digest
	// after which tables are compared. Updates usually spread within fewer.
	compareThreshold = 4
	// busyCompareThreshold applies while the local host has queued updates. After a partition
	// heals, there are more updates than packets of limited size can carry in the usual time.
	busyCompareThreshold = 8
)

// contactSeed sends a Join to a random seed that is not live. After the initial join, this heals
// partitions that lasted longer than ForgetAfter.
func (n *Node) contactSeed(now time.Time) []Outgoing {
	n.forgetGone(now)
	n.nextSeed = now.Add(n.cfg.ProbeInterval)
	if n.joined {
		n.nextSeed = now.Add(seedIntervals * n.cfg.ProbeInterval)
	}
	var missing []string
	for _, addr := range n.cfg.Seeds {
		if addr != n.cfg.Self.Addr && n.table.liveAddrs[addr] == 0 {
			missing = append(missing, addr)
		}
	}
	if len(missing) == 0 && !n.joined {
		missing = n.remoteSeeds()
	}
	if len(missing) == 0 {
		return nil
	}
	o := n.newOutgoing(Host{Addr: missing[n.cfg.Rand.IntN(len(missing))]}, Packet{Kind: Join})
	return []Outgoing{o}
}

func (n *Node) remoteSeeds() []string {
	return slices.DeleteFunc(slices.Clone(n.cfg.Seeds), func(a string) bool { return a == n.cfg.Self.Addr })
}

func (n *Node) forgetGone(now time.Time) {
	var expired []*record
	for _, r := range n.table.gone {
		if now.Sub(r.goneSince) >= n.cfg.ForgetAfter {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		n.table.remove(r)
		n.stateQueue.remove(r.Host.ID)
		n.metaQueue.remove(r.Host.ID)
		n.domainMetaQueue.remove(r.Host.ID)
	}
}

// handleJoin replies with the full table. The record of a previous process of the joining host is
// read before the packet is merged, so that the host can raise its incarnation above it.
func (n *Node) handleJoin(now time.Time, p Packet) []Outgoing {
	var previous []Update
	if r := n.table.records[p.From.ID]; r != nil {
		previous = append(previous, r.Update)
	}
	n.mergePacket(now, p)
	var out []Outgoing
	next := Packet{Kind: Sync, Updates: previous}
	size := 0
	flush := func() {
		next.From, next.Refutation, next.Digest = n.self.Host, n.self.Refutation, n.table.digest
		out = append(out, Outgoing{Host: p.From.ID, Addr: p.From.Addr, Packet: next})
		next, size = Packet{Kind: Sync}, 0
	}
	for _, r := range n.recordsInBuckets(func(int) bool { return true }) {
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
			flush()
		}
	}
	flush()
	return out
}

// checkDigest starts a comparison of tables when enough consecutive acknowledgements carried a
// digest that differs from the local one. The threshold is higher while the local host has queued
// updates, which may explain the difference.
func (n *Node) checkDigest(now time.Time, p Packet) []Outgoing {
	if p.Digest == n.table.digest {
		n.digestMismatches = 0
		if n.digestMatches++; n.digestMatches == compareThreshold {
			n.dropKnownUpdates()
		}
		return nil
	}
	n.digestMismatches++
	n.digestMatches = 0
	threshold := compareThreshold
	if n.stateQueue.len() > 0 {
		threshold = busyCompareThreshold
	}
	if n.digestMismatches < threshold || now.Before(n.nextCompare) {
		return nil
	}
	n.nextCompare = now.Add(2 * n.cfg.ProbeInterval)
	return []Outgoing{n.newOutgoing(p.From, Packet{Kind: Compare, BucketDigests: n.table.bucketDigests[:]})}
}

// dropKnownUpdates removes queued updates that hosts with the same digest already have. Suspicions
// stay queued, because the digest does not cover them. A host that lacks an update has a different
// digest and will compare tables.
func (n *Node) dropKnownUpdates() {
	for id := range n.stateQueue.items {
		if r := n.lookup(id); r == nil || r.State != Suspect {
			n.stateQueue.remove(id)
		}
	}
}

func (n *Node) handleCompare(p Packet) []Outgoing {
	o, ok := n.syncTo(p)
	if !ok {
		return nil
	}
	o.Packet.BucketDigests = slices.Clone(n.table.bucketDigests[:])
	return []Outgoing{o}
}

func (n *Node) handleSync(p Packet) []Outgoing {
	if len(p.BucketDigests) == 0 {
		return nil
	}
	o, ok := n.syncTo(p)
	if !ok {
		return nil
	}
	return []Outgoing{o}
}

// syncTo returns a Sync packet with the records of the buckets whose digests differ from those in p,
// up to syncBytes. It starts at a random record, so that repeated calls cover all of them.
func (n *Node) syncTo(p Packet) (Outgoing, bool) {
	if len(p.BucketDigests) != bucketCount {
		return Outgoing{}, false
	}
	records := n.recordsInBuckets(func(b int) bool { return p.BucketDigests[b] != n.table.bucketDigests[b] })
	out := Packet{Kind: Sync, From: n.self.Host, Refutation: n.self.Refutation, Digest: n.table.digest}
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

func (n *Node) recordsInBuckets(accept func(int) bool) []*record {
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
