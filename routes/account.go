package routes

import (
	"crypto/sha256"
	"time"
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
