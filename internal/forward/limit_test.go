package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/routes"
)

// limitedForwarder returns a forwarder of one target that states a limit in its answers, and the target.
func limitedForwarder(t *testing.T, limit string, then targetBehavior, others ...targetBehavior) (*Forwarder, *leavingTarget) {
	t.Helper()
	target := &leavingTarget{header: map[string]string{"Limit": limit}, then: then}
	f, _ := newForwarder(t, append([]targetBehavior{target.serve}, others...)...)
	return f, target
}

// Guards against more requests of any kind than a target takes, and against refusals that are late, that do not say
// when to return, or that say when it is too late.
func TestLimitHoldsForEveryKindOfRequest(t *testing.T) {
	for name, c := range map[string]struct {
		kind routes.Kind
		then targetBehavior
	}{"idempotent": {routes.Idempotent, answer}, "unsafe": {routes.Unsafe, answer}, "stream": {routes.Stream, wholeStream}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, target := limitedForwarder(t, "1.5", c.then)
			refused := 0
			for range 12 {
				begin := time.Now()
				status, _, retryAfter := send(t, f, newRoute(c.kind, 2))
				if status == http.StatusOK {
					continue
				}
				refused++
				seconds, err := strconv.ParseFloat(retryAfter, 64)
				if status != http.StatusServiceUnavailable || err != nil || seconds <= 0 || seconds > 2 || time.Since(begin) > 300*time.Millisecond {
					t.Errorf("status %d after %s, Retry-After %q", status, time.Since(begin), retryAfter)
				}
			}
			// The first request states the limit, and three more are within two seconds of it.
			if n := target.requests.Load(); n > 4 || refused != 12-int(n) {
				t.Errorf("%d requests at the target and %d refused of 12", n, refused)
			}
		})
	}
}

// Guards against requests that are refused while a target without a limit has room, and against scoring calls and
// hedges beyond a limit.
func TestOtherTargetsServeBesideALimit(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request, run func()) {
		time.Sleep(100 * time.Millisecond)
		answer(w, r, run)
	}
	f, target := limitedForwarder(t, "0", answer, slow)
	f.view.RecordRateLimit(fleet.RateLimit{Target: "a", Rate: fleet.MinRate}, "test")
	for range 6 {
		if status, _, _ := send(t, f, newRoute(routes.Idempotent, 2)); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		doCall(t, f, newRoute(routes.Idempotent, 2))
	}
	if n := target.requests.Load(); n > 1 {
		t.Errorf("%d requests at a target that takes one in four seconds", n)
	}
}

// Guards against a limit that outlasts its statement because other targets get all requests.
func TestEndOfALimitIsSeen(t *testing.T) {
	f, target := limitedForwarder(t, "2", answer, answer)
	f.view.RecordRateLimit(fleet.RateLimit{Target: "a", Rate: 2}, "test")
	target.header = nil
	const most = 64
	sent := 0
	for ; sent < most && target.requests.Load() == 0; sent++ {
		req := &Request{ID: strconv.Itoa(sent), Host: "h", Path: "/x", Timeout: time.Second}
		if _, err := f.Do(t.Context(), req, newRoute(routes.Idempotent, 2), 1); err != nil {
			t.Fatal(err)
		}
	}
	if sent == most {
		t.Errorf("none of %d requests went to the target", most)
	}
	if _, limited := f.view.RateLimit("a", 0); limited {
		t.Error("the limit holds after an answer without it")
	}
}

// Guards against a request that was chosen before the limit of its target was known, or long after it was admitted, and
// is sent beyond the limit.
func TestLimitLearnedWhileConnecting(t *testing.T) {
	f, target := limitedForwarder(t, "2", answer)
	known, _ := f.view.Target("a")
	cand := newChoice(balance.Candidate{Target: known}, fleet.RateLimit{})
	request := func() error {
		_, err := f.pool.Do(t.Context(), known.Address, &httpconn.Request{Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{},
			BeforeSend: func() error { return f.checkAccepts(cand) }})
		return err
	}
	f.view.RecordRateLimit(fleet.RateLimit{Target: "a", Rate: 2}, "test")
	unadmitted := request()
	cand.admittedAt = cand.at.Add(-2 * maxAdmissionAge)
	if tooLate := request(); !wasWithheld(unadmitted) || !wasWithheld(tooLate) || target.requests.Load() > 0 {
		t.Errorf("errors %v and %v after %d requests, want none", unadmitted, tooLate, target.requests.Load())
	}
}
