package forward

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiaflow/routes"
)

// endlessStream streams events until the connection is closed.
func endlessStream(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", "s")
	for n := 1; r.Context().Err() == nil; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
}

// Guards against a target that gets no more requests because callers have left their streams.
func TestCallersThatLeaveStreamsDoNotBlameTheTarget(t *testing.T) {
	f, _ := newForwarder(t, endlessStream)
	f.started = f.started.Add(-warmupPeriod)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.Serve(w, req, newRoute(routes.Stream, 2), 1, Caller{})
	}))
	defer s.Close()
	for i := range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Id", fmt.Sprint(i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		first, err := bufio.NewReader(resp.Body).ReadString('\n')
		if resp.StatusCode != http.StatusOK || err != nil {
			t.Fatalf("after %d callers have left: status %d, %q, %v", i, resp.StatusCode, first, err)
		}
		cancel()
		_ = resp.Body.Close()
		time.Sleep(20 * time.Millisecond) // the forwarder sees that the caller has left
	}
}
