package domainstate

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
	"fuchsiaflow/retry"
)

// Envelope carries a command or a query to one section.
type Envelope struct {
	Kind string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// WireFailure is the encoded form of a failure.
type WireFailure struct {
	Code         errs.Code         `cbor:"1,keyasint"`
	Outcome      errs.Outcome      `cbor:"2,keyasint"`
	Message      string            `cbor:"3,keyasint"`
	RetryAfterMs int64             `cbor:"4,keyasint,omitempty"`
	Details      map[string]string `cbor:"5,keyasint,omitempty"`
}

// Reply is the result of Apply and Query. A ledger reply can have a body and a failure.
type Reply struct {
	Failure *WireFailure `cbor:"1,keyasint,omitempty"`
	Body    []byte       `cbor:"2,keyasint,omitempty"`
}

// Detailed is implemented by failures with values that a client needs.
type Detailed interface {
	FailureDetails() map[string]string
}

func (c Config) versionName() string { return strconv.FormatUint(c.Version, 10) }

func reply(body []byte, err error) []byte {
	r := Reply{Body: body}
	if err != nil {
		r.Failure = &WireFailure{Code: errs.CodeOf(err), Outcome: errs.OutcomeOf(err), Message: err.Error(),
			RetryAfterMs: errs.RetryAfterOf(err).Milliseconds()}
		var d Detailed
		if errors.As(err, &d) {
			r.Failure.Details = d.FailureDetails()
		}
	}
	b, encErr := encMode.Marshal(r)
	if encErr != nil {
		// A Reply has only strings, integers and bytes, which always encode.
		panic(encErr)
	}
	return b
}

// Err restores the failure of a reply, or returns nil.
func (r Reply) Err() error {
	if r.Failure == nil {
		return nil
	}
	f := r.Failure
	return &errs.Remote{Code: f.Code, Outcome: f.Outcome, Message: f.Message,
		After: time.Duration(f.RetryAfterMs) * time.Millisecond, Details: f.Details}
}

// DecodeReply reads what Apply and Query return.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Reply{}, corrupt("reply", err)
	}
	return r, nil
}

// decode reads a reply and its body into out. The failure of the reply takes precedence.
func decode(b []byte, out any) error {
	r, err := DecodeReply(b)
	if err != nil {
		return err
	}
	if err := r.Err(); err != nil {
		return err
	}
	if err := decMode.Unmarshal(r.Body, out); err != nil {
		return corrupt("reply body", err)
	}
	return nil
}

// Encode returns a command or query for the section kind.
func Encode(kind string, body []byte) ([]byte, error) {
	return marshal("envelope", Envelope{Kind: kind, Body: body})
}

func encodeBody(kind string, v any) ([]byte, error) {
	body, err := marshal(kind+" body", v)
	if err != nil {
		return nil, err
	}
	return Encode(kind, body)
}

// EncodeLedger returns the log form of a ledger command.
func EncodeLedger(c ledger.Command) ([]byte, error) {
	body, err := c.Encode()
	if err != nil {
		return nil, err
	}
	return Encode(KindLedger, body)
}

// EncodeConfig returns the log form of a configuration copy.
func EncodeConfig(c Config) ([]byte, error) { return encodeBody(KindConfig, c) }

// EncodeDesiredVersion returns the log form of a desired version.
func EncodeDesiredVersion(d DesiredVersion) ([]byte, error) { return encodeBody(KindDesired, d) }

// DecodeLedgerResult reads the reply to a ledger command. The failure is in Result.Failure.
func DecodeLedgerResult(b []byte) (ledger.Result, error) {
	r, err := DecodeReply(b)
	if err != nil {
		return ledger.Result{}, err
	}
	var out ledger.Result
	if len(r.Body) > 0 {
		if out, err = ledger.DecodeResult(r.Body); err != nil {
			return ledger.Result{}, err
		}
	}
	out.Failure = r.Err()
	return out, nil
}

// DecodeConfigResult reads the reply to a Config command.
func DecodeConfigResult(b []byte) (ConfigResult, error) {
	var r ConfigResult
	err := decode(b, &r)
	return r, err
}

// DecodeDesiredVersionResult reads the reply to a Desire command.
func DecodeDesiredVersionResult(b []byte) (DesiredVersionResult, error) {
	var r DesiredVersionResult
	err := decode(b, &r)
	return r, err
}

// Stamp sets the time of commands that carry one. Only the leader of the group calls it,
// because a proposer with a wrong clock could expire the claims of others.
func Stamp(cmd []byte, nowMs int64) []byte {
	var e Envelope
	if err := decMode.Unmarshal(cmd, &e); err != nil {
		return cmd
	}
	var stamped []byte
	var err error
	switch e.Kind {
	case KindClaims:
		var c retry.ClaimCommand
		if decMode.Unmarshal(e.Body, &c) != nil {
			return cmd
		}
		c.At = nowMs
		stamped, err = EncodeClaim(c)
	case KindQuota:
		var c QuotaCommand
		if decMode.Unmarshal(e.Body, &c) != nil {
			return cmd
		}
		c.AtMs = nowMs
		stamped, err = EncodeQuota(c)
	default:
		return cmd
	}
	if err != nil {
		return cmd
	}
	return stamped
}
