package domainstate

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
	"fuchsiaflow/retry"
)

// Envelope holds an encoded command or query for the section of its kind.
type Envelope struct {
	Kind string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// WireFailure is the encoded form of an errs.Failure.
type WireFailure struct {
	Code         errs.Code         `cbor:"1,keyasint"`
	Outcome      errs.Outcome      `cbor:"2,keyasint"`
	Message      string            `cbor:"3,keyasint"`
	RetryAfterMs int64             `cbor:"4,keyasint,omitempty"`
	Details      map[string]string `cbor:"5,keyasint,omitempty"`
}

// Reply is the result of Apply and Query. The reply to a ledger command can have both a body and a
// failure.
type Reply struct {
	Failure *WireFailure `cbor:"1,keyasint,omitempty"`
	Body    []byte       `cbor:"2,keyasint,omitempty"`
}

// DetailedFailure is implemented by failures with further values that a client needs.
type DetailedFailure interface {
	FailureDetails() map[string]string
}

func (c Config) versionString() string { return strconv.FormatUint(c.Version, 10) }

// encodeReply encodes a result and, unless err is nil, the failure.
func encodeReply(body []byte, err error) []byte {
	r := Reply{Body: body}
	if err != nil {
		r.Failure = &WireFailure{Code: errs.CodeOf(err), Outcome: errs.OutcomeOf(err), Message: err.Error(),
			RetryAfterMs: errs.RetryAfterOf(err).Milliseconds()}
		var detailed DetailedFailure
		if errors.As(err, &detailed) {
			r.Failure.Details = detailed.FailureDetails()
		}
	}
	b, encErr := encMode.Marshal(r)
	if encErr != nil {
		// A Reply consists of strings, integers and bytes, whose encoding cannot fail.
		panic(encErr)
	}
	return b
}

// Err returns the failure of a reply as an errs.Remote, or nil.
func (r Reply) Err() error {
	if r.Failure == nil {
		return nil
	}
	f := r.Failure
	return &errs.Remote{Code: f.Code, Outcome: f.Outcome, Message: f.Message,
		After: time.Duration(f.RetryAfterMs) * time.Millisecond, Details: f.Details}
}

// DecodeReply decodes the result of Apply and Query.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Reply{}, corrupt("reply", err)
	}
	return r, nil
}

// decode decodes a reply and stores its body in out. If the reply has a failure, decode returns it
// and ignores the body.
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

// Encode encodes an Envelope with a command or query for the section kind.
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

// EncodeLedger encodes a ledger command for State.Apply.
func EncodeLedger(c ledger.Command) ([]byte, error) {
	body, err := c.Encode()
	if err != nil {
		return nil, err
	}
	return Encode(KindLedger, body)
}

// EncodeConfig encodes a configuration for State.Apply.
func EncodeConfig(c Config) ([]byte, error) { return encodeBody(KindConfig, c) }

// EncodeDesiredVersion encodes a desired version for State.Apply.
func EncodeDesiredVersion(d DesiredVersion) ([]byte, error) { return encodeBody(KindDesired, d) }

// DecodeLedgerResult decodes the reply to a ledger command. A failure of the command is returned in
// Result.Failure.
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

// DecodeConfigResult decodes the reply to a Config command.
func DecodeConfigResult(b []byte) (ConfigResult, error) {
	var r ConfigResult
	err := decode(b, &r)
	return r, err
}

// DecodeDesiredVersionResult decodes the reply to a command that raises a desired version.
func DecodeDesiredVersionResult(b []byte) (DesiredVersionResult, error) {
	var r DesiredVersionResult
	err := decode(b, &r)
	return r, err
}

// Stamp sets the time of claim and quota commands and returns other commands unchanged. Only the
// leader of the group calls it: a proposer with a wrong clock could otherwise expire the claims of
// others.
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
