package domainstate

import (
	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/retry"
)

// KindClaims is the kind of the section implemented by Claims.
const KindClaims = "claims"

// Claims is the section with the claim table of unsafe requests; see package retry.
type Claims struct{ table *retry.ClaimTable }

// NewClaims returns a section without claims.
func NewClaims() *Claims { return &Claims{table: retry.NewClaimTable()} }

// Name implements Section.
func (c *Claims) Name() string { return KindClaims }

// Apply implements Section.
func (c *Claims) Apply(_ uint64, cmd []byte) ([]byte, error) {
	var command retry.ClaimCommand
	if err := cbor.Unmarshal(cmd, &command); err != nil {
		return nil, &errs.Corrupt{What: "claim command", Detail: err.Error()}
	}
	return marshal("claim result", c.table.Apply(command))
}

// Snapshot implements Section.
func (c *Claims) Snapshot() ([]byte, error) { return c.table.Snapshot() }

// Restore implements Section.
func (c *Claims) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		c.table = retry.NewClaimTable()
		return nil
	}
	return c.table.Restore(snapshot)
}

// EncodeClaim encodes a claim command for State.Apply.
func EncodeClaim(c retry.ClaimCommand) ([]byte, error) { return encodeBody(KindClaims, c) }

// DecodeClaim decodes the reply to a claim command.
func DecodeClaim(b []byte) (retry.ClaimResult, error) {
	var r retry.ClaimResult
	err := decode(b, &r)
	return r, err
}
