package forward

import (
	"github.com/pkg/errors"

	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/quarantine"
)

// hasEnded reports whether an attempt failed because the target closed or reset the connection without an answer.
func hasEnded(err error) bool {
	var failure *httpconn.RequestError
	return errors.As(err, &failure) && failure.Ended
}

// fingerprint returns the fingerprint of the request.
func (c *call) fingerprint() quarantine.Fingerprint {
	r := quarantine.Request{Method: c.req.Method, Host: c.req.Host, URI: c.req.RequestURI, Caller: c.req.Header.Get(c.forwarder.headers.CallerKey),
		Body: c.body.data, Length: c.body.length}
	return r.Fingerprint()
}
