package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
)

// TestOperatorsRace guards P9 against two operators who apply files of equal version and
// different content through different hosts at the same time. Exactly one file must win on
// all hosts, and the other operator must get a conflict that names both digests.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	rounds := 8
	if long() {
		rounds = 200
	}
	c := newCluster(t, options{})
	stop := c.watchConfig(c.order...)
	for round := range rounds {
		version := uint64(round + 2)
		files := []*confstate.Config{altered(version, 1), altered(version, 2)}
		answers, failures := make([]answer, 2), make([]error, 2)
		var operators sync.WaitGroup
		for i, file := range files {
			host := c.order[(round+i*3)%len(c.order)]
			operators.Go(func() { _, answers[i], failures[i] = c.apply(host, file) })
		}
		operators.Wait()
		winner, loser := 0, 1
		if answers[0].status != http.StatusOK {
			winner, loser = 1, 0
		}
		if failures[0] != nil || failures[1] != nil || answers[winner].status != http.StatusOK ||
			!isCode(answers[loser], http.StatusConflict, errs.CodeConflict, errs.NotRun) {
			t.Fatalf("P9: version %d: %v %s and %v %s", version, failures[0], answers[0].body, failures[1], answers[1].body)
		}
		for _, file := range files {
			if !strings.Contains(string(answers[loser].body), confstate.Digest(file)) {
				t.Errorf("the conflict does not name digest %s: %s", confstate.Digest(file), answers[loser].body)
			}
		}
		c.awaitConfig(files[winner], c.order...)
	}
	stop()
}

// TestApplyResent guards P9 against an answer to an operator that is lost, because the
// connection breaks or the host dies. The same file resent through any host must get the
// first answer, and the same version with other content a conflict.
func TestApplyResent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	stop := c.watchConfig(c.except("akaki-2")...)
	file := config(2)
	for _, lose := range []func(){func() {}, func() { c.procs["akaki-2"].kill() }} {
		c.send("akaki-2", confstate.Canonical(file))
		lose()
		for _, host := range []string{"kolfe-2", "yeka-1", "kolfe-2"} {
			reply, a, err := c.apply(host, file)
			if err != nil || reply.Version != file.Version || reply.Digest != confstate.Digest(file) {
				t.Errorf("P9: resent through %s: %v %s", host, err, a.body)
			}
			if _, a, err := c.apply(host, altered(file.Version, 1)); err != nil || !isCode(a, http.StatusConflict, errs.CodeConflict, errs.NotRun) {
				t.Errorf("P9: other content through %s: %v %s", host, err, a.body)
			}
		}
		c.awaitConfig(file, c.except("akaki-2")...)
		file = config(3)
	}
	stop()
}

// send writes an apply request and closes the connection without reading the answer.
func (c *cluster) send(host string, body []byte) {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.procs[host].http)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /v1/config HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		c.procs[host].http, demo.OperatorToken, len(body), body); err != nil {
		c.t.Fatal(err)
	}
}

// missedVersions is how many configurations a host misses while it is down.
const missedVersions = 500

// TestReturnAfterMissedVersions guards P9 when hosts return after 500 newer configurations:
// an entry host without data and the only voter of another failure domain, whose disk has
// the old one. They must not be ready before they have the newest, and never serve an older
// one.
func TestReturnAfterMissedVersions(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	victims := []string{"akaki-2", "yeka-1"}
	for _, name := range victims {
		c.procs[name].kill()
	}
	newest := config(missedVersions + 1)
	for v := uint64(2); v <= newest.Version; v++ {
		c.mustApply("kolfe-1", config(v))
	}
	c.awaitConfig(newest, "akaki-1")
	for _, name := range victims {
		c.procs[name].start()
	}
	for _, name := range victims {
		c.eventually(name+" is ready", func() string {
			if v, _ := c.inForce(name); v != 0 && v != newest.Version {
				t.Fatalf("P9: %s serves configuration %d, the newest is %d", name, v, newest.Version)
			}
			a, err := c.call(name, http.MethodGet, "/readyz", "", nil)
			if err != nil || a.status != http.StatusOK {
				return fmt.Sprintf("%v %s", err, a.body)
			}
			if v, _ := c.inForce(name); v != newest.Version {
				t.Fatalf("P9: %s is ready with configuration %d, the newest is %d", name, v, newest.Version)
			}
			return ""
		})
	}
	c.awaitConfig(newest, c.order...)
}
