// Package accounts decides whether a request may run: it maps the key of a request to the client account that the key
// belongs to, or to the reason why the request is refused. It is designed for up to 100,000 keys, each of which is checked
// with each request: a lookup takes constant time.
//
// The package is deterministic: time is an argument, and there is no I/O.
package accounts

import (
	"time"

	"fuchsiaflow/internal/settings"
	"fuchsiaflow/routes"
)

// Verdict is the result of the check of a request. It appears in log lines and metrics.
type Verdict string

// The verdicts.
const (
	// Allowed requests may run, for an account if they needed a key.
	Allowed Verdict = "allowed"
	// KeyMissing and KeyUnknown are final until the caller sends another key, or the configuration changes.
	KeyMissing Verdict = "key_missing"
	KeyUnknown Verdict = "key_unknown"
	// NotConfirmed means that the host cannot know whether its configuration is the newest.
	NotConfirmed Verdict = "not_confirmed"
	// CutOff means that the host may have missed the removal of the key, and must not accept it.
	CutOff Verdict = "cut_off"
)

// Refusals are the verdicts of requests that must not run.
var Refusals = []Verdict{KeyMissing, KeyUnknown, NotConfirmed, CutOff}

// Account is the client account of a request; its zero value if the request needed no key.
type Account struct {
	Name     string
	Priority int // 0 is the highest
}

// Table looks up the accounts of one configuration. It is immutable.
type Table struct {
	byKey  map[routes.KeyDigest]*routes.Account
	byName map[string]*routes.Account
	lowest int // lowest priority of an account
}

// NewTable returns the table of a valid configuration. It shares its memory with the list.
func NewTable(list []routes.Account) *Table {
	t := &Table{byKey: make(map[routes.KeyDigest]*routes.Account), byName: make(map[string]*routes.Account, len(list))}
	for i := range list {
		a := &list[i]
		t.byName[a.Name] = a
		t.lowest = max(t.lowest, a.Priority)
		for _, digest := range a.Keys {
			t.byKey[digest] = a
		}
	}
	return t
}

// NeedsKeys reports whether requests need a key, except on public routes. They do if the configuration has accounts, even if
// none of them has a key.
func (t *Table) NeedsKeys() bool { return len(t.byName) > 0 }

// Priority returns the priority of an account. One that is not configured any more, and whose jobs go on, has the lowest
// priority of those that are.
func (t *Table) Priority(account string) int {
	if a := t.byName[account]; a != nil {
		return a.Priority
	}
	return t.lowest
}

// Host is what the host that decides knows of the state group.
type Host struct {
	// Confirmed is set if the host has heard of a leader since its start. Otherwise its configuration may come from a store
	// host that has left the group long ago.
	Confirmed bool
	// MajorityAge is the time since the last contact to a majority of the voters. It matters only if Revocation is strict.
	MajorityAge time.Duration
	Revocation  settings.Revocation
}

// defaultRevokeWithin replaces a limit that is not set.
const defaultRevokeWithin = 5 * time.Second

// isCutOff reports whether the host has been without contact for so long that it must not accept keys.
func (h *Host) isCutOff() bool {
	limit := h.Revocation.Within
	if limit <= 0 {
		limit = defaultRevokeWithin
	}
	return h.Revocation.Strict && h.MajorityAge > limit
}

// Decide checks a request from the values of its key header, one for each line. route is nil for a call that has none and
// is not public. The account is set only if the verdict is Allowed.
//
// A host that does not know the newest configuration cannot tell a new key from an unknown one. It accepts the keys that it
// knows unless Revocation is strict: one of them may have been removed.
func (t *Table) Decide(route *routes.Route, keys []string, h Host) (Account, Verdict) {
	switch {
	case !t.NeedsKeys(), route != nil && route.Public:
		return Account{}, Allowed
	case !h.Confirmed && h.Revocation.Strict:
		return Account{}, NotConfirmed
	case h.isCutOff():
		return Account{}, CutOff
	}
	account, verdict := t.lookUp(keys)
	if verdict != Allowed && !h.Confirmed {
		return Account{}, NotConfirmed
	}
	return account, verdict
}

// lookUp returns the account to which all keys belong. Lines without a value count as none.
func (t *Table) lookUp(keys []string) (Account, Verdict) {
	var found *routes.Account
	for _, key := range keys {
		if key == "" {
			continue
		}
		a := t.byKey[routes.DigestKey(key)]
		if a == nil || found != nil && a != found {
			return Account{}, KeyUnknown
		}
		found = a
	}
	if found == nil {
		return Account{}, KeyMissing
	}
	return Account{Name: found.Name, Priority: found.Priority}, Allowed
}
