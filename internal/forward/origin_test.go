package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/origins"
	"fuchsiaflow/routes"
)

// storedOrigins is a StreamOrigins in memory.
type storedOrigins struct {
	mu    sync.Mutex
	known map[string]origins.Origin
	err   error
}

// get returns the stored origin of a stream.
func (s *storedOrigins) get(stream string) origins.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[stream]
}

func (s *storedOrigins) RecordOrigin(_ context.Context, o origins.Origin) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.known[o.Stream] = o
	}
	return s.err
}

func (s *storedOrigins) Origin(_ context.Context, stream string) (origins.Origin, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.known[stream]
	return o, known, s.err
}

// continueStream streams the event after the last one that the caller has.
func continueStream(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	next := "1"
	if r.Header.Get("Last-Event-Id") == "1" {
		next = "2"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	writeStream(w, r.Header.Get("Id"), "s", http.StatusOK, fmt.Sprintf("id: %s\ndata: x\n\n", next))
}

// askStream sends a request for a stream through a real server. The stream must not break off.
func askStream(t *testing.T, f *Forwarder, route *routes.Route, id, lastEvent, resumes string) (status int, body string, took time.Duration) {
	t.Helper()
	begin := time.Now()
	status, body, err := tryStream(t, f, route, id, lastEvent, resumes)
	if err != nil {
		t.Fatal(err)
	}
	return status, body, time.Since(begin)
}

// tryStream is askStream, and returns an error if the stream breaks off.
func tryStream(t *testing.T, f *Forwarder, route *routes.Route, id, lastEvent, resumes string) (status int, body string, err error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { f.Serve(w, req, route, 1, Caller{}) }))
	defer s.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	if lastEvent != "" {
		req.Header.Set("Last-Event-Id", lastEvent)
	}
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against a stream that goes on although the version that began it is in doubt or gone, against a refusal that
// the caller waits for, and against a target that gets a refused request.
func TestStreamInDoubtIsRefusedAtOnce(t *testing.T) {
	voters := &clusterview.Event{From: clusterview.StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 1, Voters: []string{"10.0.0.1~a"}}
	origin := func(service, release string) *storedOrigins {
		return &storedOrigins{known: map[string]origins.Origin{"first": {Stream: "first", Service: service, Release: release}}}
	}
	for name, c := range map[string]struct {
		origins  *storedOrigins
		releases []string // of the targets
		resumes  string
		isolated bool
		want     int
	}{
		"its version serves":             {origin("s", "v1"), []string{"v1", "v2"}, "first", false, http.StatusOK},
		"its version is gone":            {origin("s", "v1"), []string{"v2", "v2"}, "first", false, http.StatusServiceUnavailable},
		"another service began it":       {origin("other", "v1"), []string{"v1", "v1"}, "first", false, http.StatusServiceUnavailable},
		"its origin is not known":        {origin("s", "v1"), []string{"v1", "v1"}, "unknown", false, http.StatusServiceUnavailable},
		"the state group fails":          {&storedOrigins{err: &errs.Unavailable{Resource: "leader"}}, []string{"v1", "v1"}, "first", false, http.StatusServiceUnavailable},
		"this host is cut off":           {origin("s", "v1"), []string{"v1", "v1"}, "first", true, http.StatusServiceUnavailable},
		"not named, one version":         {origin("s", "v1"), []string{"v1", "v1"}, "", false, http.StatusOK},
		"not named, several versions":    {origin("s", "v1"), []string{"v1", "v2"}, "", false, http.StatusServiceUnavailable},
		"not named, this host cut off":   {origin("s", "v1"), []string{"v1", "v1"}, "", true, http.StatusServiceUnavailable},
		"versions are not ordered":       {origin("s", "v10"), []string{"v9", "v10"}, "first", false, http.StatusOK},
		"a version without name serves":  {origin("s", ""), []string{"", "v1"}, "first", false, http.StatusOK},
		"no version without name serves": {origin("s", ""), []string{"v2", "v1"}, "first", false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f, runs := newForwarder(t, continueStream, continueStream)
			f.UseStreamOrigins(c.origins)
			f.started = f.started.Add(-warmupPeriod) // all targets are known
			if !c.isolated {
				f.view.Merge(voters)
			}
			for i, target := range f.view.Serving("s") {
				target.Release, target.Sequence = c.releases[i], 2
				f.view.UpdateTarget(target)
			}
			r := newRoute(routes.Stream, 2)
			r.Resumable = true
			status, body, took := askStream(t, f, r, "next", "1", c.resumes)
			if status != c.want {
				t.Errorf("status %d, %q, want %d", status, body, c.want)
			}
			if status == http.StatusOK && body != "id: 2\ndata: x\n\n" {
				t.Errorf("the caller gets %q", body)
			}
			if status != http.StatusOK && (runs.Load() > 0 || took > 300*time.Millisecond) {
				t.Errorf("refused after %s and %d runs", took, runs.Load())
			}
		})
	}
}

// Guards against a stream whose origin is stored only after its caller has an event, or as another version than that
// of the target that made it.
func TestOriginIsStoredBeforeTheFirstEvent(t *testing.T) {
	f, _ := newForwarder(t, continueStream)
	stored := &storedOrigins{known: make(map[string]origins.Origin)}
	f.UseStreamOrigins(stored)
	f.view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 1, Voters: []string{"10.0.0.1~a"}})
	target := fleet.Target{ID: "a", Service: "s", Address: f.view.Serving("s")[0].Address, Domain: "d", State: fleet.Ready, Slots: 6, Sequence: 2, Release: "v7"}
	f.view.UpdateTarget(target)
	r := newRoute(routes.Stream, 2)
	r.Resumable = true
	if status, body, _ := askStream(t, f, r, "first", "", ""); status != http.StatusOK || body != "id: 1\ndata: x\n\n" {
		t.Fatalf("status %d, %q", status, body)
	}
	got := stored.get("first")
	if age := time.Since(time.UnixMilli(got.AnsweredAt)); age < 0 || age > time.Minute {
		t.Errorf("answered %s ago", age)
	}
	got.AnsweredAt = 0
	if want := (origins.Origin{Stream: "first", Service: "s", Release: "v7", Target: "a"}); got != want {
		t.Errorf("stored %+v, want %+v", got, want)
	}
}

// startsAnew is an engine client of targets that state the given incarnations, in turn.
type startsAnew struct{ incarnations []int64 }

func (s *startsAnew) FetchReport(context.Context, string, string) (dialect.EngineReport, error) {
	incarnation := s.incarnations[0]
	if len(s.incarnations) > 1 {
		s.incarnations = s.incarnations[1:]
	}
	return dialect.EngineReport{Incarnation: incarnation}, nil
}

func (s *startsAnew) SendOrder(context.Context, string, dialect.Order) (dialect.OrderResult, error) {
	return dialect.OrderUnknown, nil
}

// Guards against streams that go on although the target that made the last part, or the one that is to make the next, has
// started anew under its ID, perhaps with another version.
func TestStreamDoesNotGoOnAfterTargetHasStartedAnew(t *testing.T) {
	const known, later = 1000, 2000
	breaksOff := func(w http.ResponseWriter, r *http.Request, run func()) {
		if r.Header.Get("Last-Event-Id") != "" {
			continueStream(w, r, run)
			return
		}
		interruptedStream(w, r, run)
	}
	for name, c := range map[string]struct {
		stated  []int64 // by the targets, in turn
		resumes bool    // the caller takes the stream up
		status  int
		body    string
		doubt   bool // the origin is in doubt afterwards
	}{
		"nobody":                       {[]int64{known}, false, http.StatusOK, firstEvent + "id: 2\ndata: x\n\n", false},
		"the one that broke off":       {[]int64{later}, false, http.StatusOK, firstEvent, true},
		"all that could go on":         {[]int64{known, later}, false, http.StatusOK, firstEvent, false},
		"taken up, nobody":             {[]int64{known}, true, http.StatusOK, "id: 2\ndata: x\n\n", false},
		"taken up, the one that began": {[]int64{later}, true, http.StatusServiceUnavailable, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _ := newForwarder(t, breaksOff, breaksOff)
			stored := &storedOrigins{known: map[string]origins.Origin{"first": {Stream: "first", Service: "s", Release: "v1", Target: "a", Incarnation: known}}}
			f.UseStreamOrigins(stored)
			f.UseIdentities(identity.NewChecker(f.view, &startsAnew{c.stated}, f.log, observe.NewMetrics()))
			f.started = f.started.Add(-warmupPeriod) // all targets are known
			f.view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 1, Voters: []string{"10.0.0.1~a"}})
			for _, target := range f.view.Serving("s") {
				target.Release, target.Sequence, target.Incarnation = "v1", 2, known
				f.view.UpdateTarget(target)
			}
			r := newRoute(routes.Stream, 2)
			r.Resumable = true
			id, lastEvent, resumes := "q1", "", ""
			if c.resumes {
				id, lastEvent, resumes = "next", "1", "first"
			}
			status, body, err := tryStream(t, f, r, id, lastEvent, resumes)
			if status != c.status || status == http.StatusOK && body != c.body || (err == nil) != (c.body != firstEvent) {
				t.Errorf("status %d, %q, error %v; want %d, %q", status, body, err, c.status, c.body)
			}
			time.Sleep(10 * time.Millisecond) // the origin is stored in the background
			if o := stored.get(id); c.doubt != (o.Service == "" && o.Stream == id) {
				t.Errorf("origin %+v, want one in doubt: %v", o, c.doubt)
			}
		})
	}
}

// Guards against a stream that goes on at another version since another account has begun a stream with the same ID.
func TestOriginsOfAccountsAreApart(t *testing.T) {
	f, _ := newForwarder(t, continueStream)
	f.UseStreamOrigins(&storedOrigins{known: make(map[string]origins.Origin)})
	f.view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 1, Voters: []string{"10.0.0.1~a"}})
	route := newRoute(routes.Stream, 2)
	route.Resumable = true
	serve := func(account, id, lastEvent, resumes string) int {
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Header = http.Header{"Id": {id}, "Deadline-Ms": {"2000"}, "Last-Event-Id": {lastEvent}, "Resumes": {resumes}}
		w := httptest.NewRecorder()
		f.Serve(w, r, route, 1, Caller{Account: account})
		return w.Code
	}
	for sequence, account := range []string{"a", "b"} {
		target := f.view.Serving("s")[0]
		target.Sequence, target.Release = uint64(sequence)+2, "version for "+account
		f.view.UpdateTarget(target)
		if status := serve(account, "first", "", ""); status != http.StatusOK {
			t.Fatalf("account %s: status %d", account, status)
		}
	}
	for account, want := range map[string]int{"a": http.StatusServiceUnavailable, "b": http.StatusOK, "": http.StatusServiceUnavailable} {
		if status := serve(account, "next", "1", "first"); status != want {
			t.Errorf("account %q takes its stream up: status %d, want %d", account, status, want)
		}
	}
}
