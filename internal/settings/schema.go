package settings

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

var hostFields = []string{"host", "failure_domain", "peer", "http"}

// timingRange is the default and the accepted range of a timing field in milliseconds.
type timingRange struct{ defaultMs, minMs, maxMs int64 }

// Targets announce themselves every second; the target lease removes a target after three missed
// announcements. The work lease covers a step of four minutes. The drain grace covers two health
// checks of a load balancer that checks once a second.
var timingRanges = map[string]timingRange{
	"heartbeat":     {100, 10, 10_000},
	"election":      {1_000, 50, 60_000},
	"probe":         {1_000, 10, 60_000},
	"target_lease":  {3_000, 100, 60_000},
	"work_lease":    {240_000, 100, 3_600_000},
	"config_poll":   {1_000, 10, 13_000},
	"drain_timeout": {300_000, 100, 3_600_000},
	"drain_grace":   {3_000, 0, 60_000},
}

// minElectionHeartbeats is the least number of heartbeat intervals in an election timeout. With
// fewer, a lost heartbeat followed by a delayed one starts an election.
const minElectionHeartbeats = 3

func (r *reader) settings(n node) *Settings {
	o := r.object(n, "host", "failure_domain", "http", "peer", "data_dir", "operator_token",
		"cluster_token", "hosts", "groups", "bootstrap", "join", "trace", "log", "timing", "initial_config")
	s := &Settings{
		Host:          r.name(o.required("host")),
		FailureDomain: r.name(o.required("failure_domain")),
		HTTP:          r.address(o.required("http"), true),
		Peer:          r.address(o.required("peer"), false),
		OperatorToken: r.secret(o.required("operator_token")),
		ClusterToken:  r.secret(o.required("cluster_token")),
		Hosts:         r.hosts(o.required("hosts")),
		Groups:        r.groups(o.required("groups")),
		Trace:         Trace{Exporter: ExporterNone},
	}
	if v, ok := o.optional("data_dir"); ok {
		s.DataDir = r.nonEmptyString(v)
	}
	if v, ok := o.optional("initial_config"); ok {
		s.InitialConfig = r.nonEmptyString(v)
	}
	if v, ok := o.optional("bootstrap"); ok {
		s.Bootstrap = r.boolean(v)
	}
	if v, ok := o.optional("join"); ok {
		s.Join = r.boolean(v)
	}
	if v, ok := o.optional("trace"); ok {
		s.Trace = r.trace(v)
	}
	if v, ok := o.optional("log"); ok {
		s.Log = r.log(v)
	}
	v, ok := o.optional("timing")
	if !ok {
		v = node{"$.timing", map[string]any{}}
	}
	s.Timing = r.timing(v)
	return s
}

func (r *reader) hosts(n node) []Host {
	var hosts []Host
	for _, e := range r.list(n) {
		o := r.object(e, hostFields...)
		hosts = append(hosts, Host{
			Host:          r.name(o.required("host")),
			FailureDomain: r.name(o.required("failure_domain")),
			Peer:          r.address(o.required("peer"), false),
			HTTP:          r.address(o.required("http"), false),
		})
	}
	return hosts
}

func (r *reader) groups(n node) Groups {
	o := r.object(n, "control", "domains")
	g := Groups{Control: r.voters(o.required("control")), Domains: make(map[string][]string)}
	domains := o.required("domains")
	m := r.rawObject(domains)
	for _, domain := range slices.Sorted(maps.Keys(m)) {
		r.name(node{domains.path + "." + domain, domain})
		g.Domains[domain] = r.voters(node{domains.path + "." + domain, m[domain]})
	}
	return g
}

func (r *reader) voters(n node) []string {
	var voters []string
	for _, e := range r.list(n) {
		host := r.name(e)
		if slices.Contains(voters, host) {
			r.fail(e.path, "each host name once", fmt.Sprintf("%q again", host))
		}
		voters = append(voters, host)
	}
	if len(voters) == 0 {
		r.fail(n.path, "at least one host name", "an empty list")
	}
	return voters
}

func (r *reader) trace(n node) Trace {
	o := r.object(n, "exporter", "endpoint")
	t := Trace{Exporter: Exporter(r.oneOf(o.required("exporter"), "none", "stdout", "otlp"))}
	if v, ok := o.optional("endpoint"); ok {
		t.Endpoint = r.address(v, false)
	} else if t.Exporter == ExporterOTLP {
		r.fail(n.path+".endpoint", "IP:port of an OTLP gRPC collector", "nothing")
	}
	return t
}

func (r *reader) log(n node) Log {
	o := r.object(n, "level")
	var level slog.Level
	switch r.oneOf(o.required("level"), "debug", "info", "warn", "error") {
	case "debug":
		level = slog.LevelDebug
	case "warn":
		level = slog.LevelWarn
	case "error":
		level = slog.LevelError
	}
	return Log{Level: level}
}

func (r *reader) timing(n node) Timing {
	o := r.object(n, slices.Sorted(maps.Keys(timingRanges))...)
	ms := func(field string) time.Duration {
		l := timingRanges[field]
		v := l.defaultMs
		if e, ok := o.optional(field); ok {
			v = r.integer(e, l.minMs, l.maxMs)
		}
		return time.Duration(v) * time.Millisecond
	}
	t := Timing{
		Heartbeat: ms("heartbeat"), Election: ms("election"), Probe: ms("probe"),
		TargetLease: ms("target_lease"), WorkLease: ms("work_lease"),
		ConfigPoll: ms("config_poll"), DrainTimeout: ms("drain_timeout"), DrainGrace: ms("drain_grace"),
	}
	if shortest := minElectionHeartbeats * t.Heartbeat; t.Election < shortest {
		r.fail(n.path+".election", fmt.Sprintf("at least %d, %d times the heartbeat",
			shortest.Milliseconds(), minElectionHeartbeats), fmt.Sprint(t.Election.Milliseconds()))
	}
	return t
}

// validate checks the constraints that span several fields.
func (s *Settings) validate() error {
	domains := map[string]string{s.Host: s.FailureDomain}
	seen := make(map[string]bool)
	for i, h := range s.Hosts {
		path := fmt.Sprintf("$.hosts[%d]", i)
		if seen[h.Host] {
			return &errs.Invalid{Path: path + ".host", Want: "each host once", Got: fmt.Sprintf("%q again", h.Host)}
		}
		seen[h.Host] = true
		if h.Host == s.Host && (h.FailureDomain != s.FailureDomain || h.Peer != s.Peer) {
			return &errs.Invalid{Path: path, Want: "the failure_domain and peer of this host's own settings",
				Got: h.FailureDomain + " and " + h.Peer}
		}
		domains[h.Host] = h.FailureDomain
	}
	if err := checkVoters("$.groups.control", s.Groups.Control, "", domains); err != nil {
		return err
	}
	for _, d := range slices.Sorted(maps.Keys(s.Groups.Domains)) {
		if err := checkVoters("$.groups.domains."+d, s.Groups.Domains[d], d, domains); err != nil {
			return err
		}
	}
	return s.validateOwnHost()
}

// validateOwnHost checks the fields that depend on whether this host is a voter.
func (s *Settings) validateOwnHost() error {
	if _, ok := s.Groups.Domains[s.FailureDomain]; !ok {
		return &errs.Invalid{Path: "$.failure_domain", Got: fmt.Sprintf("%q", s.FailureDomain),
			Want: "one of " + strings.Join(slices.Sorted(maps.Keys(s.Groups.Domains)), ", ")}
	}
	votes := s.IsControlVoter() || s.IsDomainVoter()
	if votes && s.DataDir == "" {
		return &errs.Invalid{Path: "$.data_dir", Want: "a directory, because $.groups names this host as a voter", Got: "nothing"}
	}
	if s.Bootstrap && !votes {
		return &errs.Invalid{Path: "$.bootstrap", Want: "false, because $.groups does not name this host as a voter", Got: "true"}
	}
	if s.Join && s.Bootstrap {
		return &errs.Invalid{Path: "$.join", Want: "false, because $.bootstrap is true", Got: "true"}
	}
	if s.Join && !votes {
		return &errs.Invalid{Path: "$.join", Want: "false, because $.groups does not name this host", Got: "true"}
	}
	return nil
}

// checkVoters checks that each voter is a known host. If domain is not empty, each voter must be in
// that failure domain. domains maps host names to failure domains.
func checkVoters(path string, voters []string, domain string, domains map[string]string) error {
	for i, v := range voters {
		actual, ok := domains[v]
		if !ok {
			return &errs.Invalid{Path: fmt.Sprintf("%s[%d]", path, i), Want: "a host of $.hosts", Got: fmt.Sprintf("%q", v)}
		}
		if domain != "" && actual != domain {
			return &errs.Invalid{Path: fmt.Sprintf("%s[%d]", path, i), Want: "a host of failure domain " + domain,
				Got: fmt.Sprintf("%q of %s", v, actual)}
		}
	}
	return nil
}

// DefaultTiming returns the timing of settings without a timing field.
func DefaultTiming() Timing {
	return (&reader{}).timing(node{path: "$.timing", value: map[string]any{}})
}
