package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/fakes"
)

const (
	// waitTimeout bounds each wait for a state that an idle machine reaches in a few seconds.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// maxClusters is the maximum number of clusters that run concurrently.
	maxClusters = 4
	httpPort    = 7000
	peerPort    = 7001
)

// Tokens of the tenancies that testConfig adds, and the cluster token of the demo.
const (
	akakiTrainerToken = "e2e-trainer-akaki"
	kolfeDeskToken    = "e2e-desk-kolfe"
	clusterToken      = demo.ClusterToken
)

var (
	binary           string
	clusterSemaphore = make(chan struct{}, maxClusters)
	clusterCount     atomic.Int32
	domains          = demo.Domains
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the binary once for all tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fuchsiaflow-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "fuchsiaflow")
	if out, err := exec.Command("go", "build", "-o", binary, "fuchsiaflow/cmd/fuchsiaflow").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// longTests reports whether to run the longer variants.
func longTests() bool { return os.Getenv("FUCHSIAFLOW_E2E") == "long" }

// clusterOptions select the shape of a cluster.
type clusterOptions struct {
	// allVoters gives each failure domain three hosts, all of them voters of its group.
	// Otherwise each domain has two hosts, of which the first is a voter.
	allVoters bool
	// proxied routes all traffic between hosts through proxies that the test controls.
	proxied bool
	// targetsPerDomain is the number of engines, and also of services, in each failure domain.
	targetsPerDomain int
	// tokenInterval is the time that an engine takes per token, at least 1 ms.
	tokenInterval time.Duration
}

// cluster is a set of host processes and their fake targets.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	hostNames []string
	processes map[string]*process
	network   *network
	recorder  *fakes.VersionRecorder
	engines   []*fakes.Engine
	services  []*fakes.Service
	client    *http.Client
}

// newCluster starts the hosts and targets of a cluster and applies configuration 1.
func newCluster(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	clusterSemaphore <- struct{}{}
	t.Cleanup(func() { <-clusterSemaphore })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, processes: make(map[string]*process), recorder: fakes.NewVersionRecorder(), client: &http.Client{
		Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	c.writeSettings(o)
	t.Cleanup(c.stop)
	for _, name := range c.hostNames {
		c.processes[name].start()
	}
	c.mustApply(c.hostNames[0], testConfig(1))
	c.awaitReady(c.hostNames...)
	c.startTargets(o)
	return c
}

// address returns a loopback address for a host of a cluster, derived from the process ID so
// that concurrent clusters and test runs use different ones. Each host has its own IP address
// in 127.0.0.0/8 with fixed ports; outgoing connections use 127.0.0.1 and cannot occupy them.
func address(cluster, host, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/250%250, 1+pid%250, 1+cluster*10+host, port)
}

func (c *cluster) writeSettings(o clusterOptions) {
	c.t.Helper()
	perDomain := 2
	if o.allVoters {
		perDomain = 3
	}
	number := int(clusterCount.Add(1)-1) % 24
	var hosts []hostEntry
	groups := map[string][]string{}
	var control []string
	for _, domain := range domains {
		for i := range perDomain {
			h := hostEntry{Host: fmt.Sprintf("%s-%d", domain, i+1), FailureDomain: domain,
				Peer: address(number, len(hosts), peerPort), HTTP: address(number, len(hosts), httpPort)}
			hosts = append(hosts, h)
			if i == 0 {
				control = append(control, h.Host)
			}
			if i == 0 || o.allVoters {
				groups[domain] = append(groups[domain], h.Host)
			}
		}
	}
	if o.proxied {
		c.network = newNetwork(c.t, hosts)
	}
	dir := c.t.TempDir()
	for i, h := range hosts {
		votes := strings.HasSuffix(h.Host, "-1") || o.allVoters
		s := map[string]any{
			"host": h.Host, "failure_domain": h.FailureDomain, "http": h.HTTP, "peer": h.Peer, "bootstrap": votes,
			"operator_token": demo.OperatorToken, "cluster_token": clusterToken, "hosts": c.network.addressesFrom(hosts, i),
			"groups": map[string]any{"control": control, "domains": groups}, "log": map[string]any{"level": "debug"},
			"timing": map[string]any{
				"heartbeat": 50, "election": 500, "probe": 300, "target_lease": 3000, "work_lease": 10000,
				"config_poll": 200, "drain_timeout": 30000, "drain_grace": 500,
			},
		}
		if votes {
			s["data_dir"] = filepath.Join(dir, h.Host)
		}
		data, err := json.Marshal(s)
		if err != nil {
			c.t.Fatal(err)
		}
		p := &process{t: c.t, name: h.Host, domain: h.FailureDomain, http: h.HTTP,
			settings: filepath.Join(dir, h.Host+".json"), logPath: filepath.Join(dir, h.Host+".log")}
		if err := os.WriteFile(p.settings, data, 0o600); err != nil {
			c.t.Fatal(err)
		}
		c.processes[h.Host] = p
		c.hostNames = append(c.hostNames, h.Host)
	}
}

// hostEntry is a host in the settings file.
type hostEntry struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Peer          string `json:"peer"`
	HTTP          string `json:"http"`
}

func (c *cluster) startTargets(o clusterOptions) {
	c.t.Helper()
	for _, domain := range domains {
		for i := range o.targetsPerDomain {
			options := func(kind, pool string) fakes.TargetOptions {
				return fakes.TargetOptions{ID: fmt.Sprintf("%s-%s-%d", kind, domain, i+1), FailureDomain: domain, Pool: pool,
					Slots: 8, Hosts: c.domainURLs(domain), AnnounceInterval: 300 * time.Millisecond}
			}
			e, err := fakes.NewEngine(fakes.EngineOptions{
				TargetOptions: options("engine", "sorting"), Models: map[string]uint64{"sorter": 1, "sorter-akaki": 1},
				TokenInterval: max(o.tokenInterval, time.Millisecond), SwapDuration: 100 * time.Millisecond, CheckFence: true, VersionRecorder: c.recorder,
			})
			if err != nil {
				c.t.Fatal(err)
			}
			s, err := fakes.NewService(options("log", "intake-log"))
			if err != nil {
				c.t.Fatal(err)
			}
			c.engines, c.services = append(c.engines, e), append(c.services, s)
		}
	}
	c.awaitTargets(2 * o.targetsPerDomain * len(domains))
}

// awaitTargets waits until the hosts own the given number of targets.
func (c *cluster) awaitTargets(want int) {
	c.t.Helper()
	c.eventually("targets are owned", func() string {
		owned := 0
		for _, name := range c.hostNames {
			if s, err := c.status(name); err == nil {
				owned += len(s.Targets)
			}
		}
		if owned != want {
			return fmt.Sprintf("%d of %d", owned, want)
		}
		return ""
	})
}

// stop kills the processes and logs the end of their output if the test failed.
func (c *cluster) stop() {
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
	for _, name := range c.hostNames {
		c.processes[name].kill()
	}
	if c.network != nil {
		c.network.close()
	}
	if !c.t.Failed() {
		return
	}
	for _, name := range c.hostNames {
		c.t.Logf("log of %s:\n%s", name, logTail(c.processes[name].logPath))
	}
}

// eventually polls until check returns "". After waitTimeout it fails the test with the last
// result of check.
func (c *cluster) eventually(what string, check func() string) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		last := check()
		if last == "" {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %s: %s: %s", waitTimeout, what, last)
		}
		time.Sleep(pollInterval)
	}
}

// domainURLs returns the base URLs of the hosts in a failure domain, or of all hosts if domain
// is "".
func (c *cluster) domainURLs(domain string) []string {
	var list []string
	for _, name := range c.hostNames {
		if domain == "" || c.processes[name].domain == domain {
			list = append(list, "http://"+c.processes[name].http)
		}
	}
	return list
}

func (c *cluster) hostURLs(names ...string) []string {
	var list []string
	for _, name := range names {
		list = append(list, "http://"+c.processes[name].http)
	}
	return list
}

// newTrainer returns a trainer of the tenancy that token belongs to, sorting or sorting-akaki.
// It has published version 1, which the engines have loaded at start.
func (c *cluster) newTrainer(token string, urls []string) *fakes.Trainer {
	model := "sorter"
	if token == akakiTrainerToken {
		model = "sorter-akaki"
	}
	t := fakes.NewTrainer(fakes.TrainerOptions{
		Hosts: urls, Token: token, Model: model, Pool: "sorting", StalenessBound: 2, VersionRecorder: c.recorder, Seed: 1, FetchMax: 16, FetchWait: 500 * time.Millisecond,
	})
	c.t.Cleanup(t.Close)
	if err := t.Publish(c.ctx, 1); err != nil {
		c.t.Fatalf("publish: %v", err)
	}
	return t
}

func (c *cluster) newDesk(token, pool string, urls []string) *fakes.Desk {
	d := fakes.NewDesk(fakes.DeskOptions{Hosts: urls, Token: token, Pool: pool, VersionRecorder: c.recorder})
	c.t.Cleanup(d.Close)
	return d
}

// startStep runs a step in the background and returns a channel for its result.
func (c *cluster) startStep(tr *fakes.Trainer, id string, g []fakes.Group) <-chan error {
	done := make(chan error, 1)
	go func() { done <- tr.RunStep(c.ctx, id, g, time.Minute) }()
	return done
}

func (c *cluster) awaitStep(done <-chan error) {
	c.t.Helper()
	select {
	case err := <-done:
		if err != nil {
			c.t.Fatalf("step: %v", err)
		}
	case <-time.After(2 * waitTimeout):
		c.t.Fatalf("the step is not complete after %s", 2*waitTimeout)
	}
}

// awaitDelivered waits until the trainer has received at least n samples.
func (c *cluster) awaitDelivered(tr *fakes.Trainer, n int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d samples are delivered", n), func() string {
		if got := tr.Stats().Delivered; got < n {
			return fmt.Sprint(got)
		}
		return ""
	})
}

// checkTrainer checks P1 to P4 for all samples that a trainer has requested.
func (c *cluster) checkTrainer(tr *fakes.Trainer) {
	c.t.Helper()
	t := tr.Stats()
	if t.Delivered != t.Requested || t.Lost+t.Duplicated+t.OutOfOrder != 0 {
		c.t.Errorf("P3: requested %d, delivered %d, lost %d, duplicated %d, out of order %d", t.Requested, t.Delivered, t.Lost, t.Duplicated, t.OutOfOrder)
	}
	if t.Mislabelled+t.Stale+t.Wrong != 0 {
		c.t.Errorf("P1, P2, P4: mislabelled %d, stale %d, wrong %d", t.Mislabelled, t.Stale, t.Wrong)
	}
}

// checkDesk checks P1, P4, P5 and P6 for all requests of a desk.
func (c *cluster) checkDesk(d *fakes.Desk) fakes.DeskStats {
	c.t.Helper()
	t := d.Audit(c.executionCount)
	if t.Wrong+t.Mislabelled+t.UnsafeTwice+t.RanAfterNotRun != 0 {
		c.t.Errorf("P1, P4, P5, P6: wrong %d, mislabelled %d, unsafe twice %d, ran after not_run %d", t.Wrong, t.Mislabelled, t.UnsafeTwice, t.RanAfterNotRun)
	}
	return t
}

// executionCount returns how often the targets executed a prompt or body.
func (c *cluster) executionCount(input string) int {
	n := 0
	for _, e := range c.engines {
		n += e.ExecutionsOfInput(input)
	}
	for _, s := range c.services {
		n += s.ExecutionsOfInput(input)
	}
	return n
}

// hasError reports whether a response has the given status, error code and outcome.
func hasError(a response, status int, code errs.Code, outcome errs.Outcome) bool {
	r := a.errorReply().Error
	return a.status == status && r.Code == code && r.Outcome == outcome
}
