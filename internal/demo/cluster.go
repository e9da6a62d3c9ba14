// Package demo runs a small deployment inside one process: hosts in three failure domains on
// loopback ports, fake targets, a trainer and a desk.
package demo

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/host"
	"fuchsiaflow/internal/settings"
)

// Tokens of the demo. They need not be secret, because all traffic stays on loopback.
const (
	OperatorToken = "demo-operator"
	ClusterToken  = "demo-cluster"
	TrainerToken  = "demo-trainer"
	DeskToken     = "demo-desk"
)

// Domains are the failure domains of the demo.
var Domains = []string{"kolfe", "akaki", "yeka"}

// Cluster manages a set of hosts that run in this process.
type Cluster struct {
	log       *slog.Logger
	settings  map[string]*settings.Settings
	hostNames []string
	hosts     map[string]*host.Host
}

// Port range of the hosts. It is below the default ephemeral range of Linux (32768 and up):
// otherwise an outgoing connection of a running host could occupy the port of a host that
// starts later.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

// nextPort is the offset of the last port that was tried, so that no two hosts of this process
// get the same port. It starts at a random offset, because other processes may run clusters too.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

// freeAddress returns a loopback IP:port that is free for both TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		addr := "127.0.0.1:" + strconv.Itoa(firstPort+int(nextPort.Add(1)%(lastPort-firstPort+1)))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", addr)
		if err == nil {
			_ = u.Close()
			return addr, nil
		}
	}
	return "", &errs.Unavailable{Resource: "loopback port", Reason: "no port is free for TCP and UDP"}
}

// NewCluster prepares perDomain hosts in each failure domain without starting them. Each host
// has a data folder under dir and votes in the group of its domain; the first host of each
// domain also votes in the control group.
func NewCluster(perDomain int, dir string, log *slog.Logger) (*Cluster, error) {
	c := &Cluster{log: log, settings: make(map[string]*settings.Settings), hosts: make(map[string]*host.Host)}
	groups := settings.Groups{Domains: make(map[string][]string)}
	var list []settings.Host
	for _, domain := range Domains {
		for i := range perDomain {
			name := domain + "-" + strconv.Itoa(i+1)
			http, err := freeAddress()
			if err != nil {
				return nil, err
			}
			peer, err := freeAddress()
			if err != nil {
				return nil, err
			}
			list = append(list, settings.Host{Host: name, FailureDomain: domain, Peer: peer, HTTP: http})
			groups.Domains[domain] = append(groups.Domains[domain], name)
			if i == 0 {
				groups.Control = append(groups.Control, name)
			}
		}
	}
	for _, h := range list {
		c.hostNames = append(c.hostNames, h.Host)
		c.settings[h.Host] = &settings.Settings{
			Host: h.Host, FailureDomain: h.FailureDomain, HTTP: h.HTTP, Peer: h.Peer,
			DataDir:       filepath.Join(dir, h.Host),
			OperatorToken: OperatorToken, ClusterToken: ClusterToken,
			Hosts: list, Groups: groups, Bootstrap: true,
			Trace:  settings.Trace{Exporter: settings.ExporterNone},
			Timing: demoTiming(),
		}
	}
	return c, nil
}

// demoTiming returns shorter timeouts than the defaults, so that the demo shows recovery within 30 s.
func demoTiming() settings.Timing {
	return settings.Timing{
		Heartbeat: 50 * time.Millisecond, Election: 500 * time.Millisecond, Probe: 300 * time.Millisecond,
		TargetLease: 3 * time.Second, WorkLease: 20 * time.Second, ConfigPoll: 250 * time.Millisecond, DrainTimeout: 20 * time.Second,
		DrainGrace: 500 * time.Millisecond,
	}
}

// AddJoiningHost prepares another host of a failure domain, which is to be added to the group
// of the domain as a learner. The settings of the existing hosts do not list it.
func (c *Cluster) AddJoiningHost(name, domain, dir string) error {
	http, err := freeAddress()
	if err != nil {
		return err
	}
	peer, err := freeAddress()
	if err != nil {
		return err
	}
	s := *c.settings[c.hostNames[0]]
	s.Host, s.FailureDomain, s.HTTP, s.Peer, s.DataDir = name, domain, http, peer, filepath.Join(dir, name)
	s.Bootstrap, s.Join = false, true
	domains := maps.Clone(s.Groups.Domains)
	domains[domain] = append(slices.Clone(domains[domain]), name)
	s.Groups.Domains = domains
	c.hostNames = append(c.hostNames, name)
	c.settings[name] = &s
	return nil
}

// HostNames returns the names of all prepared hosts, running or not.
func (c *Cluster) HostNames() []string { return c.hostNames }

// Host returns a running host, or nil if the host is not running.
func (c *Cluster) Host(name string) *host.Host { return c.hosts[name] }

// URLs returns the base URLs of the hosts in a failure domain, or of all hosts if domain is "".
func (c *Cluster) URLs(domain string) []string {
	var list []string
	for _, name := range c.hostNames {
		if s := c.settings[name]; domain == "" || s.FailureDomain == domain {
			list = append(list, "http://"+s.HTTP)
		}
	}
	return list
}

// Start starts one host.
func (c *Cluster) Start(ctx context.Context, name string) error {
	h, err := host.New(host.Options{Settings: c.settings[name], Log: c.log.With("host", name)})
	if err != nil {
		return err
	}
	c.hosts[name] = h
	return h.Start(ctx)
}

// StartAll starts all hosts.
func (c *Cluster) StartAll(ctx context.Context) error {
	for _, name := range c.hostNames {
		if err := c.Start(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until every running host is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, name := range c.hostNames {
		h := c.hosts[name]
		for h != nil {
			ok, reason := h.Ready()
			if ok {
				break
			}
			select {
			case <-ctx.Done():
				return &errs.Unavailable{Resource: "host " + name, Reason: reason}
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Stop shuts one host down gracefully.
func (c *Cluster) Stop(ctx context.Context, name string) error {
	h := c.hosts[name]
	delete(c.hosts, name)
	return h.Shutdown(ctx)
}

// Kill stops one host without draining; its in-memory state is lost.
func (c *Cluster) Kill(ctx context.Context, name string) error {
	h := c.hosts[name]
	delete(c.hosts, name)
	return h.Kill(ctx)
}

// KillAll kills all running hosts and ignores their errors.
func (c *Cluster) KillAll(ctx context.Context) {
	for _, name := range c.hostNames {
		if c.hosts[name] != nil {
			_ = c.Kill(ctx, name)
		}
	}
}

// Config returns the configuration of the demo: a trainer homed in kolfe and a desk homed in
// akaki, sized like the Drumworks deployment.
func Config(version uint64) *confstate.Config {
	bound := uint64(2)
	safe := false
	return &confstate.Config{
		Version: version,
		Tenancies: []confstate.Tenancy{
			{
				Name: "sorting", Kind: confstate.Trainer, Home: "kolfe", TokenSHA256: confstate.TokenDigest(TrainerToken),
				Model: "sorter", Pools: []string{"sorting"}, StalenessBound: &bound,
				Policy: &confstate.SchedulingPolicy{IdleWeight: 0.7, StalenessWeight: 0.3}, Weight: 1,
				Limits: &confstate.Limits{RequestsPerMinute: 60000, TokensPerMinute: 6000000, CutOffShare: 0.1},
			},
			{
				Name: "intake", Kind: confstate.Desk, Home: "akaki", TokenSHA256: confstate.TokenDigest(DeskToken),
				Pools: []string{"sorting", "intake-log"}, Weight: 1,
				Limits: &confstate.Limits{RequestsPerMinute: 60000, TokensPerMinute: 6000000, CutOffShare: 0.1},
			},
		},
		Pools: []confstate.Pool{
			{
				Name: "sorting", Kind: confstate.Engine, Models: []string{"sorter"}, ChecksFence: true,
				MaxUnavailablePercent: 40, InFlight: confstate.InFlightFinish, Targets: confstate.AdmissionPolicy{Admit: []string{"engine-*"}},
			},
			{
				Name: "intake-log", Kind: confstate.Service, Targets: confstate.AdmissionPolicy{Admit: []string{"log-*"}}, RetrySafe: &safe,
			},
		},
		WeightStore: confstate.WeightStoreLimits{LoadsPerSecond: 60, MaxConcurrent: 12},
		Queues:      confstate.QueueLimits{Desk: 256, Samples: 1024},
	}
}
