package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/jobs"
	"fuchsiaflow/schedule"
)

var headers = dialect.Headers{RequestID: "Id", Deadline: "Deadline-Ms", Expect: "Expect-Instance", NotRun: "Not-Run", Versions: "Versions",
	VersionField: "versions", LastEventID: "Last-Event-Id"}

// engine streams events up to total, goes on after Last-Event-Id, and breaks off in the middle of
// the event after breakAt; 0 never breaks off. From changeAt on it has the next version.
type engine struct {
	total, breakAt, changeAt int
	version                  uint64
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Id", r.Header.Get("Id"))
	version := e.version
	if e.changeAt > 0 && last+1 >= e.changeAt {
		version++
	}
	w.Header().Set("Versions", fmt.Sprint(version))
	for n := last + 1; n <= e.total; n++ {
		if n == e.changeAt && version == e.version {
			_, _ = fmt.Fprintf(w, "versions: %d\n", e.version+1)
		}
		if e.breakAt > 0 && n == e.breakAt+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n)
	}
}

func newRun(t *testing.T, h http.Handler, j *jobs.Job, text *partial) *itemRun {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &itemRun{headers: headers, pool: httpconn.NewPool(1), job: &openJob{Job: j}, item: jobs.Item{ID: "item", Path: "/p"}, target: "e",
		address: s.Listener.Addr().String(), text: text, deadline: time.Second}
}

// Guards against a text with a missing, doubled or cut event after a run broke off, and against
// versions that did not make an event of the text or are missing.
func TestBrokenRunGoesOnExactly(t *testing.T) {
	job := &jobs.Job{ID: "j", Model: "m", MinVersion: 2}
	text := &partial{}
	e := newRun(t, &engine{total: 5, breakAt: 3, changeAt: 3, version: 2}, job, text).run(t.Context())
	if e.whole || e.outcome != schedule.Broken {
		t.Fatalf("a run that broke off: %+v", e)
	}
	e = newRun(t, &engine{total: 5, version: 3}, job, text).run(t.Context())
	if !e.whole || string(text.text) != "e1\ne2\ne3\ne4\ne5" || fmt.Sprint(text.versions) != "[2 3]" {
		t.Errorf("%+v, text %q, versions %v", e, text.text, text.versions)
	}
}

// Guards against a text that a version below the bound of the job has made.
func TestRunUnderAnOldVersionIsNotWhole(t *testing.T) {
	x := newRun(t, &engine{total: 3, version: 1}, &jobs.Job{ID: "j", Model: "m", MinVersion: 2}, &partial{})
	if e := x.run(t.Context()); e.whole || e.version != 1 {
		t.Errorf("%+v", e)
	}
}

// Guards against an engine that is full and counts as failed, and an item that fails and counts
// as refused.
func TestRefusalsAndFailures(t *testing.T) {
	for status, want := range map[int]schedule.Outcome{503: schedule.Refused, 500: schedule.Failed, 422: schedule.Failed, 421: schedule.Broken} {
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			if status == 503 {
				w.Header().Set("Not-Run", "1")
			}
			w.WriteHeader(status)
		})
		if e := newRun(t, h, &jobs.Job{ID: "j"}, &partial{}).run(t.Context()); e.outcome != want || e.whole {
			t.Errorf("status %d: %+v", status, e)
		}
	}
}

// Guards against an engine that falls silent and keeps an item for ever.
func TestSilentEngineEndsTheRun(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Versions", "1")
		_, _ = io.WriteString(w, "id: 1\ndata: e1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	begin := time.Now()
	e := newRun(t, h, &jobs.Job{ID: "j", Model: "m"}, &partial{}).run(ctx)
	if e.whole || time.Since(begin) > silenceTimeout+time.Second {
		t.Errorf("%+v after %s", e, time.Since(begin))
	}
}

// Guards against a text of two versions where one must make it all: an assignment without a version
// starts from the beginning, though there is a stored text.
func TestRunStartsAnewWhenItsVersionIsGone(t *testing.T) {
	stored := &partial{text: []byte("e1"), last: 1, events: 1, versions: []uint64{4}}
	r := &Runner{partials: map[string]*partial{"item": stored}}
	for _, c := range []struct {
		single bool
		only   uint64
		resume bool
	}{{true, 4, true}, {true, 0, false}, {false, 0, true}} {
		j := &openJob{Job: &jobs.Job{ID: "j", SingleVersion: c.single}}
		got := r.textFor(j, &schedule.Task{Job: "j", Item: "item", SingleVersion: c.single, PinnedVersion: c.only})
		if resumed := got == stored; resumed != c.resume || !resumed && got.events > 0 {
			t.Errorf("%+v: goes on from %d events", c, got.events)
		}
	}
}
