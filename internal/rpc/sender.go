// Package rpc is the gRPC service that hosts offer each other: the generated code of
// peer.proto, a server that checks who calls, and a pool of client connections whose
// failures state whether a call may have run.
package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"strconv"

	"google.golang.org/grpc/metadata"

	"fuchsiaflow/errs"
)

// The metadata keys of a call between hosts.
const (
	keyToken         = "authorization"
	keyHost          = "fuchsiaflow-host"
	keyIncarnation   = "fuchsiaflow-incarnation"
	keyConfigVersion = "fuchsiaflow-config-version"

	bearer = "Bearer "
)

// Sender identifies the host that made a call. ConfigVersion is the configuration that
// was in force there when the call was made.
type Sender struct {
	Host          string
	Incarnation   uint64
	ConfigVersion uint64
}

type senderKey struct{}

// SenderFrom returns the host that made the call being served.
func SenderFrom(ctx context.Context) (Sender, bool) {
	s, ok := ctx.Value(senderKey{}).(Sender)
	return s, ok
}

// Panicked reports a handler that ended with a panic. The call may have had effects.
type Panicked struct{ Method, Value string }

func (e *Panicked) Error() string {
	return fmt.Sprintf("handler of %s panicked: %s", e.Method, e.Value)
}

// FailureCode implements errs.Failure.
func (e *Panicked) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *Panicked) FailureOutcome() errs.Outcome { return errs.Unknown }

func outgoing(ctx context.Context, s Sender, token string) context.Context {
	return metadata.AppendToOutgoingContext(ctx,
		keyToken, bearer+token,
		keyHost, s.Host,
		keyIncarnation, strconv.FormatUint(s.Incarnation, 10),
		keyConfigVersion, strconv.FormatUint(s.ConfigVersion, 10))
}

// incoming checks the token and reads the sender from the metadata of a call.
func incoming(ctx context.Context, token string) (Sender, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	// Digests have equal length, so the comparison does not reveal the token's length.
	have, want := sha256.Sum256([]byte(first(md, keyToken))), sha256.Sum256([]byte(bearer+token))
	if subtle.ConstantTimeCompare(have[:], want[:]) != 1 {
		return Sender{}, &errs.Unauthenticated{Realm: "peers"}
	}
	s := Sender{Host: first(md, keyHost)}
	if s.Host == "" {
		return Sender{}, &errs.Invalid{Path: "metadata " + keyHost, Want: "the sender's host", Got: "nothing"}
	}
	for key, field := range map[string]*uint64{keyIncarnation: &s.Incarnation, keyConfigVersion: &s.ConfigVersion} {
		v, err := strconv.ParseUint(first(md, key), 10, 64)
		if err != nil {
			return Sender{}, &errs.Invalid{Path: "metadata " + key, Want: "an unsigned number", Got: strconv.Quote(first(md, key))}
		}
		*field = v
	}
	return s, nil
}

func first(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}
