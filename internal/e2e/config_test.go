package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
)

// config returns the configuration of the tests: that of the demo, with a trainer homed in
// akaki and a desk homed in kolfe besides.
func config(version uint64) *confstate.Config {
	cfg := demo.Config(version)
	trainer, desk := cfg.Tenancies[0], cfg.Tenancies[1]
	trainer.Name, trainer.Home, trainer.Model = "sorting-akaki", "akaki", "sorter-akaki"
	trainer.TokenSHA256 = confstate.TokenDigest(akakiTrainerToken)
	desk.Name, desk.Home, desk.TokenSHA256 = "intake-kolfe", "kolfe", confstate.TokenDigest(kolfeDeskToken)
	cfg.Tenancies = append(cfg.Tenancies, trainer, desk)
	cfg.Pools[0].Models = append(cfg.Pools[0].Models, "sorter-akaki")
	return cfg
}

// altered returns the configuration with content that differs by n.
func altered(version uint64, n int) *confstate.Config {
	cfg := config(version)
	cfg.Queues.Desk += uint64(n)
	return cfg
}

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
		c.send("akaki-2", confstate.CanonicalJSON(file))
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
	var returned sync.WaitGroup
	for _, name := range victims {
		c.procs[name].start()
		returned.Go(func() { c.watchReturn(name, newest.Version) })
	}
	returned.Wait()
	c.awaitConfig(newest, c.order...)
}

// watchReturn polls a host that has just started until it is ready with the newest
// configuration.
func (c *cluster) watchReturn(name string, newest uint64) {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(pollPause / 4) {
		a, err := c.call(name, http.MethodGet, "/readyz", "", nil)
		ready := err == nil && a.status == http.StatusOK
		v, _ := c.inForce(name)
		if v != newest && (ready || v != 0) {
			c.t.Errorf("P9: %s serves configuration %d, ready %t, the newest is %d", name, v, ready, newest)
			return
		}
		if ready {
			return
		}
		if a, err := c.call(name, http.MethodGet, "/v1/steps/none", demo.TrainerToken, nil); err == nil &&
			!isCode(a, http.StatusServiceUnavailable, errs.CodeUnavailable, errs.NotRun) && !isCode(a, http.StatusNotFound, errs.CodeNotFound, errs.NotRun) {
			c.t.Errorf("P9: %s serves callers before it is ready: %s", name, a.body)
		}
	}
	c.t.Errorf("%s is not ready after %s", name, waitLimit)
}
