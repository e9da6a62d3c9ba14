package runner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/jobs"
	"fuchsiaflow/schedule"
)

// repeatingEngine answers its first request with an error, and sends that answer once more before its answer to the next
// request on that connection. All other answers are whole streams of one event.
type repeatingEngine struct {
	first string // header lines of the first answer, with its status; %s is the ID of the request
	mu    sync.Mutex
	late  string // second copy of the first answer
}

func (e *repeatingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const event = "id: 1\ndata: e1\n\n"
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late != "" {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Versions", "1")
		_, _ = w.Write([]byte(event))
		return
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	e.late = fmt.Sprintf(e.first, r.Header.Get("Id")) + "\r\nContent-Length: 0\r\n\r\n"
	_, _ = conn.Write([]byte(e.late))
	go func() {
		defer func() { _ = conn.Close() }()
		next, err := http.ReadRequest(buffered.Reader)
		if err == nil {
			_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nId: %s\r\nVersions: 1\r\nContent-Length: %d\r\n\r\n%s", e.late, next.Header.Get("Id"), len(event), event)
		}
	}()
}

// Guards against a late second copy of an engine's answer that counts as the answer to the next run of the item (which is then
// terminated too early, or goes on at two engines), and against a rejection without an ID that counts for another item.
func TestLateCopyDoesNotEndTheNextRun(t *testing.T) {
	for name, c := range map[string]struct {
		first   string
		outcome schedule.Outcome
		next    string // item of the next run
	}{
		"failure":              {"HTTP/1.1 500 x\r\nId: %s", schedule.Failed, "item"},
		"rejection":            {"HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: %s", schedule.Refused, "item"},
		"rejection without ID": {"HTTP/1.1 503 x\r\nNot-Run: 1\r\nOf: %s", schedule.Refused, "another"},
	} {
		s := httptest.NewServer(&repeatingEngine{first: c.first})
		t.Cleanup(s.Close)
		pool := httpconn.NewPool(2)
		run := func(id string) runResult {
			ir := newItemRun(t, s.Config.Handler, &jobs.Job{ID: "j", Model: "m"}, &partialText{})
			ir.item.ID, ir.address, ir.pool = id, s.Listener.Addr().String(), pool
			return ir.run(t.Context())
		}
		if res := run("item"); res.outcome != c.outcome {
			t.Fatalf("%s: first run %+v", name, res)
		}
		if res := run(c.next); !res.complete {
			t.Errorf("%s: next run %+v, want complete", name, res)
		}
	}
}
