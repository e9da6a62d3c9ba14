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

// limit is the range of one timing field in milliseconds.
type limit struct{ preset, min, max int64 }

// The leases follow from the announcement interval of one second: a target is dropped
// after three missed announcements. A work lease covers the four minutes of a step. The
// drain grace covers two health checks of a balancer that asks once a second.
var timingLimits = map[string]limit{
	"heartbeat":     {100, 10, 10_000},
	"election":      {1_000, 50, 60_000},
	"probe":         {1_000, 10, 60_000},
	"target_lease":  {3_000, 100, 60_000},
	"work_lease":    {240_000, 100, 3_600_000},
	"config_poll":   {1_000, 10, 13_000},
	"drain_timeout": {300_000, 100, 3_600_000},
	"drain_grace":   {3_000, 0, 60_000},
}

// minElectionHeartbeats is how many heartbeats must fit into an election timeout. With
// fewer, one lost heartbeat and its delayed successor start an election.
const minElectionHeartbeats = 3

func (r *reader) settings(n node) *Settings {
	o := r.object(n, "host", "failure_domain", "http", "peer", "data_dir", "operator_token",
		"cluster_token", "hosts", "groups", "bootstrap", "join", "trace", "log", "timing", "initial_config")
	s := &Settings{
		Host:          r.name(o.need("host")),
		FailureDomain: r.name(o.need("failure_domain")),
		HTTP:          r.address(o.need("http"), true),
		Peer:          r.address(o.need("peer"), false),
		OperatorToken: r.secret(o.need("operator_token")),
		ClusterToken:  r.secret(o.need("cluster_token")),
		Hosts:         r.hosts(o.need("hosts")),
		Groups:        r.groups(o.need("groups")),
		Trace:         Trace{Exporter: ExporterNone},
	}
	if v, ok := o.get("data_dir"); ok {
		s.DataDir = r.text(v)
	}
	if v, ok := o.get("initial_config"); ok {
		s.InitialConfig = r.text(v)
	}
	if v, ok := o.get("bootstrap"); ok {
		s.Bootstrap = r.boolean(v)
	}
	if v, ok := o.get("join"); ok {
		s.Join = r.boolean(v)
	}
	if v, ok := o.get("trace"); ok {
		s.Trace = r.trace(v)
	}
	if v, ok := o.get("log"); ok {
		s.Log = r.log(v)
	}
	v, ok := o.get("timing")
	if !ok {
		v = node{"$.timing", map[string]any{}}
	}
	s.Timing = r.timing(v)
	return s
}

func (r *reader) hosts(n node) []Host {
	var out []Host
	for _, e := range r.list(n) {
		o := r.object(e, hostFields...)
		out = append(out, Host{
			Host:          r.name(o.need("host")),
			FailureDomain: r.name(o.need("failure_domain")),
			Peer:          r.address(o.need("peer"), false),
			HTTP:          r.address(o.need("http"), false),
		})
	}
	return out
}

func (r *reader) groups(n node) Groups {
	o := r.object(n, "control", "domains")
	g := Groups{Control: r.voters(o.need("control")), Domains: make(map[string][]string)}
	domains := o.need("domains")
	m := r.anyObject(domains)
	for _, domain := range slices.Sorted(maps.Keys(m)) {
		r.name(node{domains.path + "." + domain, domain})
		g.Domains[domain] = r.voters(node{domains.path + "." + domain, m[domain]})
	}
	return g
}

func (r *reader) voters(n node) []string {
	var out []string
	for _, e := range r.list(n) {
		host := r.name(e)
		if slices.Contains(out, host) {
			r.fail(e.path, "a host named once", fmt.Sprintf("%q again", host))
		}
		out = append(out, host)
	}
	if len(out) == 0 {
		r.fail(n.path, "at least one host name", "an empty list")
	}
	return out
}

func (r *reader) trace(n node) Trace {
	o := r.object(n, "exporter", "endpoint")
	t := Trace{Exporter: Exporter(r.oneOf(o.need("exporter"), "none", "stdout", "otlp"))}
	if v, ok := o.get("endpoint"); ok {
		t.Endpoint = r.address(v, false)
	} else if t.Exporter == ExporterOTLP {
		r.fail(n.path+".endpoint", "IP:port of an OTLP gRPC collector", "nothing")
	}
	return t
}

func (r *reader) log(n node) Log {
	o := r.object(n, "level")
	var level slog.Level
	switch r.oneOf(o.need("level"), "debug", "info", "warn", "error") {
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
	o := r.object(n, slices.Sorted(maps.Keys(timingLimits))...)
	ms := func(field string) time.Duration {
		l := timingLimits[field]
		v := l.preset
		if e, ok := o.get(field); ok {
			v = r.integer(e, l.min, l.max)
		}
		return time.Duration(v) * time.Millisecond
	}
	t := Timing{
		Heartbeat: ms("heartbeat"), Election: ms("election"), Probe: ms("probe"),
		TargetLease: ms("target_lease"), WorkLease: ms("work_lease"),
		ConfigPoll: ms("config_poll"), DrainTimeout: ms("drain_timeout"), DrainGrace: ms("drain_grace"),
	}
	if least := minElectionHeartbeats * t.Heartbeat; t.Election < least {
		r.fail(n.path+".election", fmt.Sprintf("at least %d, %d times the heartbeat",
			least.Milliseconds(), minElectionHeartbeats), fmt.Sprint(t.Election.Milliseconds()))
	}
	return t
}

// check validates what depends on more than one field.
func (s *Settings) check() error {
	domains := map[string]string{s.Host: s.FailureDomain}
	seen := make(map[string]bool)
	for i, h := range s.Hosts {
		path := fmt.Sprintf("$.hosts[%d]", i)
		if seen[h.Host] {
			return &errs.Invalid{Path: path + ".host", Want: "a host listed once", Got: fmt.Sprintf("%q again", h.Host)}
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
	return s.checkVoting()
}

func (s *Settings) checkVoting() error {
	if _, ok := s.Groups.Domains[s.FailureDomain]; !ok {
		return &errs.Invalid{Path: "$.failure_domain", Got: fmt.Sprintf("%q", s.FailureDomain),
			Want: "one of " + strings.Join(slices.Sorted(maps.Keys(s.Groups.Domains)), ", ")}
	}
	votes := s.VotesControl() || s.VotesDomain()
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

// checkVoters checks that each voter is a known host, of the given domain if one is set.
func checkVoters(path string, voters []string, domain string, domains map[string]string) error {
	for i, v := range voters {
		have, ok := domains[v]
		if !ok {
			return &errs.Invalid{Path: fmt.Sprintf("%s[%d]", path, i), Want: "a host of $.hosts", Got: fmt.Sprintf("%q", v)}
		}
		if domain != "" && have != domain {
			return &errs.Invalid{Path: fmt.Sprintf("%s[%d]", path, i), Want: "a host of failure domain " + domain,
				Got: fmt.Sprintf("%q of %s", v, have)}
		}
	}
	return nil
}

// DefaultTiming returns the timing of settings that state none.
func DefaultTiming() Timing {
	return (&reader{}).timing(node{path: "$.timing", value: map[string]any{}})
}
