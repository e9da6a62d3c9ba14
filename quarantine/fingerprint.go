package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 16

// Fingerprint identifies requests that are the same to a target: method, host, path, caller and body. IDs and
// deadlines differ from one to the next. It is in hexadecimal.
type Fingerprint string

// Request holds what the fingerprint of a request depends on.
type Request struct {
	Method, Host, URI string
	// Caller is the client account of the caller, or its key if the configuration has no accounts; empty if it needs neither.
	Caller string
	// Body holds the first bytes of the body, and Length the length of all of it, -1 if it is not known.
	Body   []byte
	Length int64
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.URI, r.Caller} {
		_ = binary.Write(h, binary.BigEndian, int64(len(field))) // a hash does not fail
		_, _ = io.WriteString(h, field)
	}
	_ = binary.Write(h, binary.BigEndian, r.Length)
	_, _ = h.Write(r.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
