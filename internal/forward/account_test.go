package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/routes"
)

const (
	secretKey  = "secret-key-of-a-caller"
	keyLines   = "aPi-KeY: " + secretKey + "\r\nAPI-KEY: " + secretKey + "\r\nx-account: forged\r\nX-Account: forged-too\r\n"
	connection = "Connection: Api-Key, x-account\r\n"
	keyRequest = "POST /x HTTP/1.1\r\nHost: h\r\nId: q\r\nX-Other: kept\r\n" + keyLines + connection + "Trailer: Api-Key, X-Account\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"4\r\nbody\r\n0\r\nApi-Key: " + secretKey + "\r\nX-Account: forged\r\n\r\n"
)

// seenRequests records requests at targets.
type seenRequests struct {
	mu       sync.Mutex
	dumps    []string // header and trailer
	accounts []string
}

// record wraps a behavior.
func (s *seenRequests) record(b targetBehavior) targetBehavior {
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		s.mu.Lock()
		s.dumps = append(s.dumps, fmt.Sprint(r.Header, r.Trailer))
		s.accounts = append(s.accounts, strings.Join(r.Header.Values("X-Account"), ","))
		s.mu.Unlock()
		b(w, r, run)
	}
}

// answerEvents breaks off after the first of two events unless the stream is resumed.
func answerEvents(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("Last-Event-Id") == "1" {
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		return
	}
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against the key of a caller, or an account that it names, at a target, in a log line or in an answer, by whatever
// spelling, number of lines, list in Connection or trailer they arrive, and against an attempt, hedge or resumed stream without
// the account. A configuration without accounts forwards what it did before.
func TestTargetsGetTheAccountAndNoKey(t *testing.T) {
	names := headers
	names.CallerKey, names.Account = "Api-Key", "X-Account"
	slow := func(w http.ResponseWriter, r *http.Request, run func()) {
		time.Sleep(120 * time.Millisecond) // beyond the delay of a hedge
		answer(w, r, run)
	}
	resumable := newRoute(routes.Stream, 3)
	resumable.Resumable = true
	const inConnection = "named in Connection"
	for name, c := range map[string]struct {
		caller      Caller
		route       *routes.Route
		behaviors   []targetBehavior
		account     string
		minAttempts int
	}{
		"retries":          {Caller{Account: "acme", HidesKey: true}, newRoute(routes.Idempotent, 3), []targetBehavior{full, abortConnection, answer}, "acme", 1},
		"hedges":           {Caller{Account: "acme", HidesKey: true}, newRoute(routes.Idempotent, 2), []targetBehavior{slow, slow}, "acme", 2},
		"resumed stream":   {Caller{Account: "acme", HidesKey: true}, resumable, []targetBehavior{answerEvents, answerEvents}, "acme", 2},
		"public":           {Caller{HidesKey: true}, newRoute(routes.Unsafe, 1), []targetBehavior{answer}, "", 1},
		"failed":           {Caller{Account: "acme", HidesKey: true}, newRoute(routes.Idempotent, 2), []targetBehavior{mismatchedID, abortConnection}, "acme", 2},
		inConnection:       {Caller{Account: "acme", HidesKey: true}, newRoute(routes.Unsafe, 1), []targetBehavior{answer}, "acme", 1},
		"without accounts": {Caller{}, newRoute(routes.Unsafe, 1), []targetBehavior{answer}, "forged,forged-too", 1},
	} {
		seen := new(seenRequests)
		for i := range c.behaviors {
			c.behaviors[i] = seen.record(c.behaviors[i])
		}
		f, _ := newForwarder(t, c.behaviors...)
		log := new(lockedBuffer)
		f.headers, f.log = names, slog.New(slog.NewJSONHandler(log, nil))
		request := keyRequest
		if name != inConnection {
			request = strings.Replace(request, connection, "", 1)
		}
		answer := exchangeRaw(t, f, c.route, c.caller, request)
		seen.mu.Lock()
		if len(seen.accounts) < c.minAttempts || slices.ContainsFunc(seen.accounts, func(a string) bool { return a != c.account }) {
			t.Errorf("%s: accounts of the attempts %q, want %q at least %d times", name, seen.accounts, c.account, c.minAttempts)
		}
		dumps := strings.Join(seen.dumps, "\n")
		seen.mu.Unlock()
		if strings.Contains(dumps, secretKey) == c.caller.HidesKey || strings.Count(dumps, "kept") < c.minAttempts {
			t.Errorf("%s: targets got %s", name, dumps)
		}
		if strings.Contains(answer+log.String(), secretKey) || (c.account == "acme") != strings.Contains(log.String(), `"account":"acme"`) {
			t.Errorf("%s: answer %s, log %s", name, answer, log.String())
		}
	}
}

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// exchangeRaw sends the bytes of a request and returns those of the answer, after the request has ended.
func exchangeRaw(t *testing.T, f *Forwarder, route *routes.Route, caller Caller, request string) string {
	t.Helper()
	done := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		w.Header().Set("Connection", "close")
		f.Serve(w, r, route, 1, caller)
	}))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	<-done
	return string(answer)
}

// Guards against requests of two accounts that share a quarantine, against one of an account that leaves it with another of its
// keys, and against scoring calls that carry an account.
func TestFingerprintAndScoringCalls(t *testing.T) {
	seen := new(seenRequests)
	f, _ := newForwarder(t, seen.record(answer))
	f.headers.CallerKey, f.headers.Account = "Api-Key", "X-Account"
	fingerprint := func(caller Caller, key string) string {
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		r.Header.Set("Api-Key", key)
		c := f.newCall(httptest.NewRecorder(), r, newRoute(routes.Idempotent, 1), 1)
		c.caller, c.body = caller, &bufferedBody{complete: true}
		return string(c.fingerprint())
	}
	a, b := Caller{Account: "a", HidesKey: true}, Caller{Account: "b", HidesKey: true}
	if fingerprint(a, "k1") != fingerprint(a, "k2") || fingerprint(a, "k1") == fingerprint(b, "k1") {
		t.Error("the fingerprint does not follow the account")
	}
	if fingerprint(Caller{}, "k1") == fingerprint(Caller{}, "k2") {
		t.Error("without accounts the fingerprint does not follow the key")
	}
	req := &Request{ID: "q", Host: "h", Path: "/x", Timeout: time.Second}
	if reply, err := f.Do(context.Background(), req, newRoute(routes.Idempotent, 1), 1); err != nil || reply.Status != http.StatusOK || seen.accounts[0] != "" {
		t.Errorf("scoring call: %+v, %v, account %q", reply, err, seen.accounts)
	}
}
