package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/fakes"
	"fuchsiaflow/internal/host"
)

const (
	// waitLimit bounds each wait for a state that is reached within a few seconds on an idle
	// machine.
	waitLimit = 30 * time.Second
	pollPause = 20 * time.Millisecond
	// maxClusters is how many clusters run at the same time.
	maxClusters = 4
	httpPort    = 7000
	peerPort    = 7001
)

// Tokens of the tenancies that config adds to those of the demo.
const (
	akakiTrainerToken = "e2e-trainer-akaki"
	kolfeDeskToken    = "e2e-desk-kolfe"
	clusterToken      = demo.ClusterToken
)

var (
	binary      string
	clusterSlot = make(chan struct{}, maxClusters)
	clusters    atomic.Int32
	domains     = demo.Domains
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

// long reports whether the longer variants are to run.
func long() bool { return os.Getenv("FUCHSIAFLOW_E2E") == "long" }

// options select the shape of a cluster.
type options struct {
	// allVote gives each failure domain three hosts that all vote in its group. Otherwise it
	// has two hosts, of which the first votes.
	allVote bool
	// network routes all connections between hosts through relays that the test controls.
	network bool
	// targets is the number of engines and of services in each failure domain.
	targets int
	// tokenTime is the time in which an engine generates one token.
	tokenTime time.Duration
}

// cluster is a set of processes with their fake targets.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	order    []string
	procs    map[string]*proc
	net      *network
	truth    *fakes.VersionRecorder
	engines  []*fakes.Engine
	services []*fakes.Service
	client   *http.Client
}

// proc is one process of the binary.
type proc struct {
	t        *testing.T
	name     string
	domain   string
	http     string
	settings string
	logPath  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // of the process, valid after done
}

// newCluster starts the hosts and targets of a cluster with configuration 1 in force.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	clusterSlot <- struct{}{}
	t.Cleanup(func() { <-clusterSlot })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, procs: make(map[string]*proc), truth: fakes.NewVersionRecorder(), client: &http.Client{
		Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	c.writeSettings(o)
	t.Cleanup(c.stop)
	for _, name := range c.order {
		c.procs[name].start()
	}
	c.mustApply(c.order[0], config(1))
	c.awaitReady(c.order...)
	c.startTargets(o)
	return c
}

// address returns an address that no other cluster or test run uses. The whole loopback
// network is local, so a host has an IP number of its own and fixed ports; outgoing
// connections use 127.0.0.1 and cannot occupy them.
func address(cluster, host, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/250%250, 1+pid%250, 1+cluster*10+host, port)
}

func (c *cluster) writeSettings(o options) {
	c.t.Helper()
	perDomain := 2
	if o.allVote {
		perDomain = 3
	}
	number := int(clusters.Add(1)-1) % 24
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
			if i == 0 || o.allVote {
				groups[domain] = append(groups[domain], h.Host)
			}
		}
	}
	if o.network {
		c.net = newNetwork(c.t, hosts)
	}
	dir := c.t.TempDir()
	for i, h := range hosts {
		votes := strings.HasSuffix(h.Host, "-1") || o.allVote
		s := map[string]any{
			"host": h.Host, "failure_domain": h.FailureDomain, "http": h.HTTP, "peer": h.Peer, "bootstrap": votes,
			"operator_token": demo.OperatorToken, "cluster_token": clusterToken, "hosts": c.net.view(hosts, i),
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
		p := &proc{t: c.t, name: h.Host, domain: h.FailureDomain, http: h.HTTP,
			settings: filepath.Join(dir, h.Host+".json"), logPath: filepath.Join(dir, h.Host+".log")}
		if err := os.WriteFile(p.settings, data, 0o600); err != nil {
			c.t.Fatal(err)
		}
		c.procs[h.Host] = p
		c.order = append(c.order, h.Host)
	}
}

type hostEntry struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Peer          string `json:"peer"`
	HTTP          string `json:"http"`
}

func (c *cluster) startTargets(o options) {
	c.t.Helper()
	for _, domain := range domains {
		for i := range o.targets {
			options := func(kind, pool string) fakes.TargetOptions {
				return fakes.TargetOptions{ID: fmt.Sprintf("%s-%s-%d", kind, domain, i+1), FailureDomain: domain, Pool: pool,
					Slots: 8, Hosts: c.urls(domain), AnnounceInterval: 300 * time.Millisecond}
			}
			e, err := fakes.NewEngine(fakes.EngineOptions{
				TargetOptions: options("engine", "sorting"), Models: map[string]uint64{"sorter": 1, "sorter-akaki": 1},
				TokenInterval: max(o.tokenTime, time.Millisecond), SwapDuration: 100 * time.Millisecond, CheckFence: true, VersionRecorder: c.truth,
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
	c.awaitTargets(2 * o.targets * len(domains))
}

// awaitTargets waits until the hosts own the given number of targets.
func (c *cluster) awaitTargets(want int) {
	c.t.Helper()
	c.eventually("targets are owned", func() string {
		owned := 0
		for _, name := range c.order {
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

// stop ends the processes and prints the end of their logs if the test has failed.
func (c *cluster) stop() {
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
	for _, name := range c.order {
		c.procs[name].kill()
	}
	if c.net != nil {
		c.net.close()
	}
	if !c.t.Failed() {
		return
	}
	for _, name := range c.order {
		c.t.Logf("log of %s:\n%s", name, logTail(c.procs[name].logPath))
	}
}

// logTailLines is how much of each log is printed on failure.
const logTailLines = 40

func logTail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if !strings.Contains(line, `"level":"DEBUG"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

func (p *proc) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(binary, "run", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
}

func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("signal %v to %s: %v", s, p.name, err)
	}
}

// kill ends the process at once, if it runs, and waits for its end.
func (p *proc) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// exited waits for the end of the process and returns its error.
func (p *proc) exited(limit time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %s", p.name, limit)
	}
}

// eventually polls until check returns "", and fails the test with its last answer.
func (c *cluster) eventually(what string, check func() string) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		last := check()
		if last == "" {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %s: %s: %s", waitLimit, what, last)
		}
		time.Sleep(pollPause)
	}
}

// urls returns the base URLs of the hosts of a failure domain, or of all for "".
func (c *cluster) urls(domain string) []string {
	var list []string
	for _, name := range c.order {
		if domain == "" || c.procs[name].domain == domain {
			list = append(list, "http://"+c.procs[name].http)
		}
	}
	return list
}

func (c *cluster) url(names ...string) []string {
	var list []string
	for _, name := range names {
		list = append(list, "http://"+c.procs[name].http)
	}
	return list
}

// answer is the answer of a host to any request.
type answer struct {
	status int
	body   []byte
}

// refusal decodes the failure that a host stated. Its code is empty if there is none.
func (a answer) refusal() api.ErrorReply {
	var r api.ErrorReply
	_ = json.Unmarshal(a.body, &r)
	return r
}

// call sends one request to a host.
func (c *cluster) call(host, method, path, token string, body []byte, header ...string) (answer, error) {
	r, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.procs[host].http+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, data}, err
}

// apply submits a configuration to a host.
func (c *cluster) apply(host string, cfg *confstate.Config) (api.ApplyReply, answer, error) {
	a, err := c.call(host, http.MethodPost, "/v1/config", demo.OperatorToken, confstate.CanonicalJSON(cfg))
	var reply api.ApplyReply
	if err == nil && a.status == http.StatusOK {
		err = json.Unmarshal(a.body, &reply)
	}
	return reply, a, err
}

func (c *cluster) mustApply(host string, cfg *confstate.Config) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("configuration %d is accepted", cfg.Version), func() string {
		_, a, err := c.apply(host, cfg)
		if err != nil || a.status != http.StatusOK {
			return fmt.Sprintf("%v %s", err, a.body)
		}
		return ""
	})
}

func (c *cluster) status(name string) (*host.Status, error) {
	a, err := c.call(name, http.MethodGet, "/v1/status", demo.OperatorToken, nil)
	if err != nil {
		return nil, err
	}
	var s host.Status
	return &s, json.Unmarshal(a.body, &s)
}

func (c *cluster) awaitReady(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.eventually(name+" is ready", func() string {
			a, err := c.call(name, http.MethodGet, "/readyz", "", nil)
			if err != nil || a.status != http.StatusOK {
				return fmt.Sprintf("%v %s", err, a.body)
			}
			return ""
		})
	}
}

// inForce returns the version and digest in force on a host, or 0.
func (c *cluster) inForce(name string) (uint64, string) {
	a, err := c.call(name, http.MethodGet, "/v1/config", demo.OperatorToken, nil)
	var reply api.ConfigReply
	if err != nil || a.status != http.StatusOK || json.Unmarshal(a.body, &reply) != nil {
		return 0, ""
	}
	return reply.Version, reply.Digest
}

// awaitConfig waits until a configuration is in force on the hosts.
func (c *cluster) awaitConfig(cfg *confstate.Config, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.eventually(fmt.Sprintf("configuration %d is in force on %s", cfg.Version, name), func() string {
			if v, digest := c.inForce(name); v != cfg.Version || digest != confstate.Digest(cfg) {
				return fmt.Sprintf("version %d digest %s", v, digest)
			}
			return ""
		})
	}
}

// leader returns the host that leads a group with a valid lease.
func (c *cluster) leader(group string) string {
	c.t.Helper()
	leader := ""
	c.eventually("group "+group+" has a leader", func() string {
		for _, name := range c.order {
			s, err := c.status(name)
			if err == nil && s.Groups[group].HasLease {
				leader = name
				return ""
			}
		}
		return "none"
	})
	return leader
}

// except returns all hosts but the named ones.
func (c *cluster) except(names ...string) []string {
	var list []string
	for _, name := range c.order {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ") {
			list = append(list, name)
		}
	}
	return list
}

// trainer returns a trainer of the tenancy sorting or, with its token, of its twin in akaki.
// It has published the version that the engines have at start.
func (c *cluster) trainer(token string, urls []string) *fakes.Trainer {
	model := "sorter"
	if token == akakiTrainerToken {
		model = "sorter-akaki"
	}
	t := fakes.NewTrainer(fakes.TrainerOptions{
		Hosts: urls, Token: token, Model: model, Pool: "sorting", StalenessBound: 2, VersionRecorder: c.truth, Seed: 1, FetchMax: 16, FetchWait: 500 * time.Millisecond,
	})
	c.t.Cleanup(t.Close)
	if err := t.Publish(c.ctx, 1); err != nil {
		c.t.Fatalf("publish: %v", err)
	}
	return t
}

func (c *cluster) desk(token, pool string, urls []string) *fakes.Desk {
	d := fakes.NewDesk(fakes.DeskOptions{Hosts: urls, Token: token, Pool: pool, VersionRecorder: c.truth})
	c.t.Cleanup(d.Close)
	return d
}

// runStep runs a step in the background and returns its result.
func (c *cluster) runStep(tr *fakes.Trainer, id string, g []fakes.Group) <-chan error {
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
	case <-time.After(2 * waitLimit):
		c.t.Fatalf("the step is not complete after %s", 2*waitLimit)
	}
}

// awaitDelivered waits until the step is under way.
func (c *cluster) awaitDelivered(tr *fakes.Trainer, n int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d samples are delivered", n), func() string {
		if got := tr.Stats().Delivered; got < n {
			return fmt.Sprint(got)
		}
		return ""
	})
}

// checkTrainer checks P1 to P4 for all samples that a trainer received.
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

// checkDesk checks P1 and P4 to P6 for all requests of a desk.
func (c *cluster) checkDesk(d *fakes.Desk) fakes.DeskStats {
	c.t.Helper()
	t := d.Audit(c.executions)
	if t.Wrong+t.Mislabelled+t.UnsafeTwice+t.RanAfterNotRun != 0 {
		c.t.Errorf("P1, P4, P5, P6: wrong %d, mislabelled %d, unsafe twice %d, ran after not_run %d", t.Wrong, t.Mislabelled, t.UnsafeTwice, t.RanAfterNotRun)
	}
	return t
}

// executions counts how often the targets ran a prompt or body.
func (c *cluster) executions(input string) int {
	n := 0
	for _, e := range c.engines {
		n += e.ExecutionsOfInput(input)
	}
	for _, s := range c.services {
		n += s.ExecutionsOfInput(input)
	}
	return n
}

// isCode reports whether a refusal has a code and an outcome.
func isCode(a answer, status int, code errs.Code, outcome errs.Outcome) bool {
	r := a.refusal().Error
	return a.status == status && r.Code == code && r.Outcome == outcome
}
