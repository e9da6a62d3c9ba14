package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaflow/routes"
)

// Guards against more large bodies of this host at a target than it has slots and as many waiting places, by concurrent requests, hedges and
// retries, against small bodies that are bounded too, and against requests that are refused although others end in time.
func TestLargeBodiesAtOneTarget(t *testing.T) {
	const callers, bound = 60, 12 // the targets have 6 slots
	for name, c := range map[string]struct {
		kind   routes.Kind
		bytes  int
		status int // of the targets
	}{
		"hedges":         {routes.Idempotent, 200 << 10, http.StatusOK},
		"retries":        {routes.Idempotent, 200 << 10, http.StatusInternalServerError},
		"streamed body":  {routes.Unsafe, 600 << 10, http.StatusOK},
		"small body":     {routes.Idempotent, 1 << 10, http.StatusOK},
		"stream, answer": {routes.Stream, 200 << 10, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var most [2]atomic.Int64
			behaviors := make([]targetBehavior, len(most))
			for i := range behaviors {
				var open atomic.Int64
				behaviors[i] = func(w http.ResponseWriter, r *http.Request, run func()) {
					n := open.Add(1)
					for old := most[i].Load(); n > old && !most[i].CompareAndSwap(old, n); old = most[i].Load() {
					}
					select {
					case <-r.Context().Done(): // another attempt was faster
					case <-time.After(100 * time.Millisecond):
					}
					open.Add(-1)
					run()
					w.Header().Set("Id", r.Header.Get("Id"))
					w.Header().Set("Stamp", "s")
					w.WriteHeader(c.status)
				}
			}
			f, _ := newForwarder(t, behaviors...)
			route := newRoute(c.kind, 3)
			route.Timeout = 10 * time.Second
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.Serve(w, r, route, 1, Caller{}) }))
			defer s.Close()
			var wait sync.WaitGroup
			for range callers {
				wait.Go(func() {
					req, _ := http.NewRequest(http.MethodPost, s.URL+"/x", strings.NewReader(strings.Repeat("x", c.bytes)))
					req.Header.Set("Id", "q1")
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						t.Error(err)
						return
					}
					reason, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					// Targets that fail are in backoff, for which requests are refused.
					if resp.StatusCode != c.status && (c.status == http.StatusOK || resp.StatusCode != http.StatusServiceUnavailable) {
						t.Errorf("status %d, want %d: %s", resp.StatusCode, c.status, reason)
					}
				})
			}
			wait.Wait()
			for i := range most {
				if n := most[i].Load(); (n > bound) != (c.bytes <= freeBufferBytes) {
					t.Errorf("target %d has had %d bodies at a time, bound %d", i, n, bound)
				}
			}
		})
	}
}
