package dialect

import (
	"net/http"
	"testing"
)

// Guards against a limit that is read from a value without meaning, or missed under one of its names.
func TestStatedRate(t *testing.T) {
	h := &Headers{RateLimit: []string{"X-House-Limit", "Limit"}}
	for _, c := range []struct {
		header  http.Header
		rate    float64
		stated  bool
		invalid bool
	}{
		{http.Header{}, 0, false, false},
		{http.Header{"Limit": {" 2.5 "}}, 2.5, true, false},
		{http.Header{"X-House-Limit": {"0"}}, 0, true, false},
		{http.Header{"Limit": {"7", "3"}, "X-House-Limit": {"5"}}, 3, true, false},
		{http.Header{"Limit": {""}}, 0, false, true},
		{http.Header{"Limit": {"NaN"}}, 0, false, true},
		{http.Header{"Limit": {"+Inf"}}, 0, false, true},
		{http.Header{"Limit": {"1e999"}}, 0, false, true},
		{http.Header{"Limit": {"-1"}}, 0, false, true},
		{http.Header{"Limit": {"many"}}, 0, false, true},
	} {
		rate, stated, invalid := h.StatedRate(c.header)
		if rate != c.rate || stated != c.stated || (invalid != "") != c.invalid {
			t.Errorf("%v: %g, %t, %q; want %g, %t, %t", c.header, rate, stated, invalid, c.rate, c.stated, c.invalid)
		}
	}
}
