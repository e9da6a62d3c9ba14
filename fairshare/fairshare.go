// Package fairshare orders client accounts that compete for scarce capacity, for example the engines of a service after half
// of them were evicted. Among accounts of equal priority the one that was given the least work goes first, which gives
// max-min fair shares: an account that asks for little is served at once, one that asks for more than its share delays
// only its own work, and what one account leaves unused goes to the others.
//
// It uses virtual counters of work, as start-time fair queueing does: an idle account accumulates no credit, because its
// counter is raised to the least counter of the active accounts when it becomes active.
//
// The package is deterministic and does no I/O. A Ledger is not safe for concurrent use.
package fairshare

import (
	"cmp"
	"slices"
)

// Priority goes before shares; 0 is the highest. That of the account takes precedence over that of the route.
type Priority struct{ Account, Route int }

// compare returns a negative number if p goes before q.
func (p Priority) compare(q Priority) int {
	return cmp.Or(cmp.Compare(p.Account, q.Account), cmp.Compare(p.Route, q.Route))
}

// Account is an account that competes for capacity.
type Account struct {
	Name     string
	Priority Priority
}

// Ledger records how much work each active account was given. The unit of work is the caller's, for example tokens.
type Ledger struct {
	work map[Account]float64 // virtual counter of each active account
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{work: make(map[Account]float64)} }

// SetActive replaces the set of active accounts: those with work that waits or runs. The order of the list does not matter.
func (l *Ledger) SetActive(active []Account) {
	present := make(map[Account]bool, len(active))
	for _, a := range active {
		present[a] = true
	}
	for a := range l.work {
		if !present[a] {
			delete(l.work, a)
		}
	}
	floors := l.floors()
	for a := range present {
		if _, known := l.work[a]; !known {
			l.work[a] = floors[a.Priority]
		}
	}
}

// floors returns the least counter of the active accounts of each priority.
func (l *Ledger) floors() map[Priority]float64 {
	floors := make(map[Priority]float64)
	for a, w := range l.work {
		if floor, known := floors[a.Priority]; !known || w < floor {
			floors[a.Priority] = w
		}
	}
	return floors
}

// Charge records work that an active account was given; a negative amount takes work back that was not done.
func (l *Ledger) Charge(a Account, amount float64) {
	if _, active := l.work[a]; active {
		l.work[a] += amount
	}
}

// Lead returns how much more work the account was given than the one that was given the least among those in the list that
// have the same priority.
func (l *Ledger) Lead(a Account, waiting []Account) float64 {
	least := l.work[a]
	for _, other := range waiting {
		if other.Priority == a.Priority {
			least = min(least, l.work[other])
		}
	}
	return l.work[a] - least
}

// Order sorts accounts by priority, and by the work that they were given within a priority.
func (l *Ledger) Order(accounts []Account) {
	slices.SortFunc(accounts, func(a, b Account) int {
		return cmp.Or(a.Priority.compare(b.Priority), cmp.Compare(l.work[a], l.work[b]), cmp.Compare(a.Name, b.Name))
	})
}
