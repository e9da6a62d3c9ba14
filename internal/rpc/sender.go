// Package rpc implements the gRPC service between hosts: the code generated from peer.proto, a server
// that authenticates the sender, and a pool of client connections whose errors report whether a
// call may have run.
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

	bearerPrefix = "Bearer "
)

// Sender identifies the host that sent a call. ConfigVersion is the version of the configuration that
// was in force on that host at the time.
type Sender struct {
	Host          string
	Incarnation   uint64
	ConfigVersion uint64
}

type senderKey struct{}

// SenderFromContext returns the sender of the call that is being served.
func SenderFromContext(ctx context.Context) (Sender, bool) {
	s, ok := ctx.Value(senderKey{}).(Sender)
	return s, ok
}

// PanicError reports a handler that panicked. The call may have had effects.
type PanicError struct{ Method, Value string }

func (e *PanicError) Error() string {
	return fmt.Sprintf("handler of %s panicked: %s", e.Method, e.Value)
}

// FailureCode implements errs.Failure.
func (e *PanicError) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *PanicError) FailureOutcome() errs.Outcome { return errs.Unknown }

// withSenderMetadata adds the token and the sender to the metadata of an outgoing call.
func withSenderMetadata(ctx context.Context, s Sender, token string) context.Context {
	return metadata.AppendToOutgoingContext(ctx,
		keyToken, bearerPrefix+token,
		keyHost, s.Host,
		keyIncarnation, strconv.FormatUint(s.Incarnation, 10),
		keyConfigVersion, strconv.FormatUint(s.ConfigVersion, 10))
}

// authenticateSender checks the token of an incoming call and returns the sender.
func authenticateSender(ctx context.Context, token string) (Sender, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	// Digests of equal length keep the comparison from revealing the length of the token.
	got, want := sha256.Sum256([]byte(firstValue(md, keyToken))), sha256.Sum256([]byte(bearerPrefix+token))
	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return Sender{}, &errs.Unauthenticated{Realm: "peers"}
	}
	s := Sender{Host: firstValue(md, keyHost)}
	if s.Host == "" {
		return Sender{}, &errs.Invalid{Path: "metadata " + keyHost, Want: "the sender's host", Got: "nothing"}
	}
	for key, field := range map[string]*uint64{keyIncarnation: &s.Incarnation, keyConfigVersion: &s.ConfigVersion} {
		v, err := strconv.ParseUint(firstValue(md, key), 10, 64)
		if err != nil {
			return Sender{}, &errs.Invalid{Path: "metadata " + key, Want: "an unsigned number", Got: strconv.Quote(firstValue(md, key))}
		}
		*field = v
	}
	return s, nil
}

// firstValue returns the first value of a metadata key, or an empty string.
func firstValue(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}
