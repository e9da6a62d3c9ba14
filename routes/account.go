package routes

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
	"unicode"

	"fuchsiaflow/errs"
)

// KeyDigest identifies the key of a client account without revealing it: the first bytes of its SHA-256 digest.
type KeyDigest [16]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Account is a client account: a customer whose requests carry one of its keys.
type Account struct {
	Name string      `cbor:"1,keyasint"`
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority takes precedence over the priority of the route; 0 is the highest.
	Priority int `cbor:"3,keyasint,omitempty"`
}

// emptyKey is the digest of the empty key, which must belong to no account.
var emptyKey = DigestKey("")

// accountViolations returns an errs.Invalid for each invalid value. It names no key and no digest of one.
func accountViolations(accounts []Account) (list []*errs.Invalid) {
	names := make(map[string]bool, len(accounts))
	owners := make(map[KeyDigest]int) // index of the account by key
	for i := range accounts {
		a, path := &accounts[i], fmt.Sprintf("$.accounts[%d]", i)
		if v := accountNameViolation(path+".name", a.Name, names); v != nil {
			list = append(list, v)
		}
		names[a.Name] = true
		for k, digest := range a.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, k)
			owner, used := owners[digest]
			switch {
			case digest == emptyKey:
				list = append(list, &errs.Invalid{Path: keyPath, Want: "a key", Got: "an empty string"})
			case used && owner != i:
				list = append(list, &errs.Invalid{Path: keyPath, Want: "a key of one account", Got: fmt.Sprintf("one that $.accounts[%d] has too", owner)})
			default:
				owners[digest] = i
			}
		}
	}
	return list
}

// accountNameViolation checks a name that targets get in a header. names holds those of the accounts before it.
func accountNameViolation(path, name string, names map[string]bool) *errs.Invalid {
	switch {
	case name == "":
		return &errs.Invalid{Path: path, Want: "a name", Got: "an empty string"}
	case name != strings.TrimSpace(name), strings.ContainsFunc(name, unicode.IsControl):
		return invalidValue(path, "a name without control characters, and without spaces at its ends", name)
	case names[name]:
		return invalidValue(path, "a unique name", name)
	}
	return nil
}

// Scale bounds the number of targets of a service in each failure domain and states what they cost.
type Scale struct {
	// Min and Max bound the number of targets in a failure domain, spot targets included.
	Min int `cbor:"1,keyasint,omitempty"`
	Max int `cbor:"2,keyasint,omitempty"`
	// BootTime is the time from an order until a new target serves.
	BootTime time.Duration `cbor:"3,keyasint,omitempty"`
	// SpotPrice is the price of a spot target, which may be taken away at any time, relative to that of another target; 0
	// if there are none.
	SpotPrice float64 `cbor:"4,keyasint,omitempty"`
	// DomainPrices are the prices of a target by failure domain.
	DomainPrices map[string]float64 `cbor:"5,keyasint,omitempty"`
}
