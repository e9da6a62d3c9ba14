package forward

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Proxy-Authenticate", "Proxy-Authorization", "Expect"}

// hopByHopNames returns the names of headers in h that are not forwarded, including those that the Connection header names.
func hopByHopNames(h http.Header) map[string]bool {
	names := make(map[string]bool, len(hopByHopHeaders))
	for _, name := range hopByHopHeaders {
		names[name] = true
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); h[name] != nil {
				names[name] = true
			}
		}
	}
	return names
}

// EndToEndHeaders returns the headers that are forwarded: without the hop-by-hop headers, including those that the
// Connection header names. What is left does not change where the message ends. The values are shared.
func EndToEndHeaders(h http.Header) http.Header {
	without := hopByHopNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if !without[name] {
			out[name] = slices.Clip(values)
		}
	}
	return out
}

// copyResponseHeader copies the end-to-end headers of a response. The values are shared.
func copyResponseHeader(dst, src http.Header) {
	without := hopByHopNames(src)
	for name, values := range src {
		if !without[name] {
			dst[name] = slices.Clip(values)
		}
	}
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil // prevents net/http from detecting one
	}
}
