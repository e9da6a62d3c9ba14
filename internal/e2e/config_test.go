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

// testConfig returns the configuration of the demo with two more tenancies: a trainer homed in
// akaki and a desk homed in kolfe.
func testConfig(version uint64) *confstate.Config {
	cfg := demo.Config(version)
	trainer, desk := cfg.Tenancies[0], cfg.Tenancies[1]
	trainer.Name, trainer.Home, trainer.Model = "sorting-akaki", "akaki", "sorter-akaki"
	trainer.TokenSHA256 = confstate.TokenDigest(akakiTrainerToken)
	desk.Name, desk.Home, desk.TokenSHA256 = "intake-kolfe", "kolfe", confstate.TokenDigest(kolfeDeskToken)
	cfg.Tenancies = append(cfg.Tenancies, trainer, desk)
	cfg.Pools[0].Models = append(cfg.Pools[0].Models, "sorter-akaki")
	return cfg
}

// variantConfig returns testConfig with different content for each n > 0.
func variantConfig(version uint64, n int) *confstate.Config {
	cfg := testConfig(version)
	cfg.Queues.Desk += uint64(n)
	return cfg
}

// TestOperatorsRace guards P9 when two operators concurrently apply different
// configurations with the same version through different hosts. Exactly one must be in force on
// all hosts, and the other operator must get a conflict that names both digests.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	rounds := 8
	if longTests() {
		rounds = 200
	}
	c := newCluster(t, clusterOptions{})
	stop := c.watchConfig(c.hostNames...)
	for round := range rounds {
		version := uint64(round + 2)
		files := []*confstate.Config{variantConfig(version, 1), variantConfig(version, 2)}
		answers, failures := make([]response, 2), make([]error, 2)
		var operators sync.WaitGroup
		for i, file := range files {
			host := c.hostNames[(round+i*3)%len(c.hostNames)]
			operators.Go(func() { _, answers[i], failures[i] = c.apply(host, file) })
		}
		operators.Wait()
		winner, loser := 0, 1
		if answers[0].status != http.StatusOK {
			winner, loser = 1, 0
		}
		if failures[0] != nil || failures[1] != nil || answers[winner].status != http.StatusOK ||
			!hasError(answers[loser], http.StatusConflict, errs.CodeConflict, errs.NotRun) {
			t.Fatalf("P9: version %d: %v %s and %v %s", version, failures[0], answers[0].body, failures[1], answers[1].body)
		}
		for _, file := range files {
			if !strings.Contains(string(answers[loser].body), confstate.Digest(file)) {
				t.Errorf("the conflict does not name digest %s: %s", confstate.Digest(file), answers[loser].body)
			}
		}
		c.awaitConfig(files[winner], c.hostNames...)
	}
	stop()
}

// TestApplyResent guards P9 when the response to an operator is lost because the connection
// breaks or the host is killed. The same configuration resent through any host must get the
// original response, and the same version with different content a conflict.
func TestApplyResent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{})
	stop := c.watchConfig(c.except("akaki-2")...)
	file := testConfig(2)
	for _, loseResponse := range []func(){func() {}, func() { c.processes["akaki-2"].kill() }} {
		c.sendWithoutReading("akaki-2", confstate.CanonicalJSON(file))
		loseResponse()
		for _, host := range []string{"kolfe-2", "yeka-1", "kolfe-2"} {
			reply, a, err := c.apply(host, file)
			if err != nil || reply.Version != file.Version || reply.Digest != confstate.Digest(file) {
				t.Errorf("P9: resent through %s: %v %s", host, err, a.body)
			}
			if _, a, err := c.apply(host, variantConfig(file.Version, 1)); err != nil || !hasError(a, http.StatusConflict, errs.CodeConflict, errs.NotRun) {
				t.Errorf("P9: other content through %s: %v %s", host, err, a.body)
			}
		}
		c.awaitConfig(file, c.except("akaki-2")...)
		file = testConfig(3)
	}
	stop()
}

// sendWithoutReading writes an apply request and closes the connection without reading the
// response.
func (c *cluster) sendWithoutReading(host string, body []byte) {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.processes[host].http)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /v1/config HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		c.processes[host].http, demo.OperatorToken, len(body), body); err != nil {
		c.t.Fatal(err)
	}
}

// missedVersions is the number of configurations applied while hosts are down.
const missedVersions = 500

// TestReturnAfterMissedVersions guards P9 when hosts restart after missing 500 configurations:
// an entry host without data, and the only voter of another failure domain, whose disk has the
// old configuration. They must not be ready before they have the newest one, and must never
// serve an older one.
func TestReturnAfterMissedVersions(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{})
	victims := []string{"akaki-2", "yeka-1"}
	for _, name := range victims {
		c.processes[name].kill()
	}
	newest := testConfig(missedVersions + 1)
	for v := uint64(2); v <= newest.Version; v++ {
		c.mustApply("kolfe-1", testConfig(v))
	}
	c.awaitConfig(newest, "akaki-1")
	var returned sync.WaitGroup
	for _, name := range victims {
		c.processes[name].start()
		returned.Go(func() { c.checkReturn(name, newest.Version) })
	}
	returned.Wait()
	c.awaitConfig(newest, c.hostNames...)
}

// checkReturn polls a restarted host until it is ready and checks that it serves no
// configuration but the newest.
func (c *cluster) checkReturn(name string, newest uint64) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval / 4) {
		a, err := c.call(name, http.MethodGet, "/readyz", "", nil)
		ready := err == nil && a.status == http.StatusOK
		v, _ := c.activeConfig(name)
		if v != newest && (ready || v != 0) {
			c.t.Errorf("P9: %s serves configuration %d, ready %t, the newest is %d", name, v, ready, newest)
			return
		}
		if ready {
			return
		}
		if a, err := c.call(name, http.MethodGet, "/v1/steps/none", demo.TrainerToken, nil); err == nil &&
			!hasError(a, http.StatusServiceUnavailable, errs.CodeUnavailable, errs.NotRun) && !hasError(a, http.StatusNotFound, errs.CodeNotFound, errs.NotRun) {
			c.t.Errorf("P9: %s serves callers before it is ready: %s", name, a.body)
		}
	}
	c.t.Errorf("%s is not ready after %s", name, waitTimeout)
}
