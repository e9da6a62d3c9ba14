package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/routes"
)

// Guards against a copy of the caller's header for each attempt, which takes more memory than the header that was read,
// and against headers that reach a target though they apply to the caller's connection only.
func TestHeaderIsNotCopied(t *testing.T) {
	var got http.Header
	f, _ := newForwarder(t, func(w http.ResponseWriter, r *http.Request, run func()) {
		got = r.Header.Clone()
		answer(w, r, run)
	})
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	for name, values := range map[string][]string{"Id": {"q1"}, "Deadline-Ms": {"700"}, "Connection": {"A, b", " c ,close"}, "A": {"1"}, "B": {"2"}, "C": {"3"},
		"D": {"4", "5"}, "E": {"x\r\nF: y"}, "Expect-Instance": {"other"}, "Te": {"trailers"}, "User-Agent": {"u"}} {
		r.Header[name] = values
	}
	f.Serve(httptest.NewRecorder(), r, newRoute(routes.Unsafe, 1), 1, Caller{})
	delete(got, "Deadline-Ms")
	want := http.Header{"Id": {"q1"}, "D": {"4", "5"}, "E": {"x  F: y"}, "Expect-Instance": {"a"}, "User-Agent": {"u"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for i := range 3000 {
		r.Header[fmt.Sprintf("X-%d", i)] = []string{"v"}
	}
	c := f.newCall(httptest.NewRecorder(), r, newRoute(routes.Unsafe, 1), 1)
	c.body = &bufferedBody{complete: true}
	if allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			c.newRequest(choice{})
		}
	}).AllocedBytesPerOp(); allocated > 2<<10 {
		t.Errorf("an attempt allocates %d bytes for the header of a request of %d lines", allocated, len(r.Header))
	}
}
