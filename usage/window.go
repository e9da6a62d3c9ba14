// Package usage counts how many requests of each client account began to run in each window of time, and decides what is
// reported to the platform and when. Counter is the part of a host that counts, Ledger the part of the replicated state
// that adds up the counts of all hosts, and Pacer the decision when to call the platform.
//
// It handles the load of all requests with an account: a request costs a host one entry of a map, and the state group
// nothing. A host sends one command every few seconds, whatever its load.
//
// The package is deterministic: time and randomness are arguments, and there is no I/O.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// sealWait is the time from the end of a window until its counts are final. It covers two intervals at which hosts
	// send their counts, and an election of the state group.
	sealWait = 6 * time.Second
	// sendReserve is the time between the seal of a window and the time at which its report is due. It covers an
	// election and the wait of a new leader.
	sendReserve = 4 * time.Second
)

// AccountCount is the number of requests of a client account.
type AccountCount struct {
	Account string `cbor:"1,keyasint"`
	Count   uint64 `cbor:"2,keyasint"`
}

// WindowCounts holds the counts of a window, sorted by account. Accounts without requests are absent.
type WindowCounts struct {
	// Window is the number of the window: the time since 1970 divided by the length of a window.
	Window uint64         `cbor:"1,keyasint"`
	Counts []AccountCount `cbor:"2,keyasint,omitempty"`
	// Revision rises with each change of the counts of a host; it is 0 in a report.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// Total returns the number of requests of all accounts.
func (w *WindowCounts) Total() uint64 {
	total := uint64(0)
	for _, c := range w.Counts {
		total += c.Count
	}
	return total
}

// sortedCounts returns the counts of a map, sorted by account.
func sortedCounts(m map[string]uint64) []AccountCount {
	list := make([]AccountCount, 0, len(m))
	for _, account := range slices.Sorted(maps.Keys(m)) {
		list = append(list, AccountCount{Account: account, Count: m[account]})
	}
	return list
}

// WindowAt returns the window of the given length in which t lies. Times before 1970 are in window 0.
func WindowAt(t time.Time, length time.Duration) uint64 {
	return uint64(max(t.UnixNano(), 0) / int64(length))
}

// WindowEnd returns the end of a window.
func WindowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Sealable returns the newest window whose counts are final at the given time. Reports are due dueAfter after the end of
// their window; 0 means that this is not known. ok is false if there is no such window.
func Sealable(now time.Time, length, dueAfter time.Duration) (window uint64, ok bool) {
	wait := sealWait
	if dueAfter > 0 {
		wait = min(wait, max(dueAfter-sendReserve, 0))
	}
	current := WindowAt(now.Add(-wait), length)
	if current == 0 {
		return 0, false
	}
	return current - 1, true
}

// compareWindows orders counts by their window.
func compareWindows(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) }
