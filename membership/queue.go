package membership

import "container/list"

// maxTransmits bounds the tiers of a queue; it exceeds the transmit limit of any fleet size.
const maxTransmits = 40

// queue holds the IDs of hosts with news, at most one item per host, ordered by the number of
// times that the news was sent. The content is read from the table when a packet is filled, so
// an item always carries the newest state.
type queue struct {
	tiers [maxTransmits]list.List
	items map[string]*queued
}

type queued struct {
	element *list.Element
	tier    int
}

func newQueue() *queue { return &queue{items: map[string]*queued{}} }

func (q *queue) len() int { return len(q.items) }

// add puts the host in front of all news that was sent already.
func (q *queue) add(id string) {
	q.remove(id)
	q.items[id] = &queued{q.tiers[0].PushBack(id), 0}
}

func (q *queue) remove(id string) {
	if it := q.items[id]; it != nil {
		q.tiers[it.tier].Remove(it.element)
		delete(q.items, id)
	}
}

// take calls use for the least sent items until it returns false. Each used item moves up a
// tier and leaves the queue after limit uses.
func (q *queue) take(limit int, use func(id string) bool) {
	limit = min(limit, maxTransmits)
	var used []string
	for tier := 0; tier < maxTransmits && len(used) < len(q.items); tier++ {
		for e := q.tiers[tier].Front(); e != nil; e = e.Next() {
			id, _ := e.Value.(string)
			if !use(id) {
				tier = maxTransmits
				break
			}
			used = append(used, id)
		}
	}
	for _, id := range used {
		next := q.items[id].tier + 1
		q.remove(id)
		if next < limit {
			q.items[id] = &queued{q.tiers[next].PushBack(id), next}
		}
	}
}
