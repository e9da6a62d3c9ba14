package membership

import "container/list"

// maxTransmits is the number of tiers of a queue. It exceeds the transmit limit at any practical
// number of hosts.
const maxTransmits = 40

// queue holds the IDs of hosts with updates to send, ordered by the number of transmissions, with
// at most one item per host. The content is read from the table when a packet is filled, so that
// it is always current.
type queue struct {
	tiers [maxTransmits]list.List
	items map[string]*queueItem
}

type queueItem struct {
	element *list.Element
	tier    int
}

func newQueue() *queue { return &queue{items: map[string]*queueItem{}} }

func (q *queue) len() int { return len(q.items) }

// add queues a host with a transmission count of zero, ahead of all hosts that were sent already.
func (q *queue) add(id string) {
	q.remove(id)
	q.items[id] = &queueItem{q.tiers[0].PushBack(id), 0}
}

func (q *queue) remove(id string) {
	if item := q.items[id]; item != nil {
		q.tiers[item.tier].Remove(item.element)
		delete(q.items, id)
	}
}

// take calls use for items in order of increasing transmission count until use returns false.
// Each used item moves to the next tier and is removed after limit transmissions.
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
			q.items[id] = &queueItem{q.tiers[next].PushBack(id), next}
		}
	}
}
