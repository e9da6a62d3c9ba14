// Package duty carries out tasks that one host at a time may do: calls to targets or to the platform that must never come from
// two hosts in turn.
package duty

import (
	"time"

	"fuchsiaflow/internal/dialect"
)

// Tenure is the right of this host to carry out duties.
type Tenure interface {
	// Token returns the token for calls that are made at once. ok is false if this host must not call now.
	Token(now time.Time) (t dialect.DutyToken, ok bool)
}
