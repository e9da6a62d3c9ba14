package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"fuchsiaflow/routes"
)

// repeatFirst answers the first request with status 500, and sends that answer once more before its answer to the next request
// on that connection.
func repeatFirst(then targetBehavior) targetBehavior {
	var first sync.Once
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		repeats := false
		first.Do(func() { repeats = true })
		if !repeats {
			then(w, r, run)
			return
		}
		run()
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		failure := fmt.Sprintf("HTTP/1.1 500 x\r\nId: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		_, _ = conn.Write([]byte(failure))
		go func() {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(buffered.Reader); err == nil {
				_, _ = conn.Write([]byte(failure))
			}
		}()
	}
}

// Guards against a late second copy of an answer that a caller gets who sends a request again under its ID.
func TestLateCopyDoesNotAnswerTheSameIDAgain(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.Unsafe, routes.Stream} {
		f, runs := newForwarder(t, repeatFirst(answer))
		for k, want := range []int{http.StatusInternalServerError, http.StatusOK} {
			if status, _, _ := send(t, f, newRoute(kind, 1)); status != want {
				t.Errorf("%s, call %d: status %d, want %d", kind, k, status, want)
			}
		}
		if runs.Load() != 2 {
			t.Errorf("%s: %d runs, want 2", kind, runs.Load())
		}
	}
}
