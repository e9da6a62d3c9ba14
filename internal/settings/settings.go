// Package settings reads the settings of one host from strict JSON. A rejected document
// is reported as *errs.Invalid, which names the JSON path and the accepted values. The
// bearer tokens are never printed.
package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// maxFileBytes bounds a settings file. A list of 410 hosts takes about 60 KB.
const maxFileBytes = 4 << 20

// Redacted is printed in place of a secret.
const Redacted = "[redacted]"

// Secret is a bearer token. Every way of printing or encoding it gives Redacted.
type Secret string

// Reveal returns the token itself.
func (s Secret) Reveal() string { return string(s) }

// String implements fmt.Stringer.
func (s Secret) String() string { return Redacted }

// Format implements fmt.Formatter. Without it a verb that does not suit strings, such as
// %d, would print the token.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, Redacted) }

// LogValue implements slog.LogValuer.
func (s Secret) LogValue() slog.Value { return slog.StringValue(Redacted) }

// MarshalJSON implements json.Marshaler.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(Redacted) }

// Host is a host known at start.
type Host struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Peer          string `json:"peer"`
	HTTP          string `json:"http"`
}

// Groups names the voters at the first start of the consensus groups. Once a group has
// started, its own membership decides; the names are where hosts look for its leader first.
// With Join, the host names itself in the groups that it is to be added to.
type Groups struct {
	Control []string            `json:"control"`
	Domains map[string][]string `json:"domains"`
}

// Exporter selects where finished spans go.
type Exporter string

// The trace exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Trace configures tracing. Endpoint is the IP:port of the OTLP gRPC collector.
type Trace struct {
	Exporter Exporter `json:"exporter"`
	Endpoint string   `json:"endpoint,omitempty"`
}

// Log configures the log.
type Log struct {
	Level slog.Level `json:"level"`
}

// Timing holds the intervals and time limits of a host.
type Timing struct {
	Heartbeat    time.Duration // leader to followers
	Election     time.Duration // silence after which a follower starts an election
	Probe        time.Duration // between two membership probes
	TargetLease  time.Duration // without an announcement the target is gone
	WorkLease    time.Duration // after which a leased slot is planned again
	ConfigPoll   time.Duration // between two questions for a newer configuration
	DrainTimeout time.Duration // limit of a graceful shutdown
	DrainGrace   time.Duration // between turning not ready and refusing new connections
}

// Settings are the validated settings of one host.
type Settings struct {
	Host          string
	FailureDomain string
	HTTP          string // IP:port of the HTTP interface
	Peer          string // IP:port of gRPC over TCP and of membership over UDP
	DataDir       string // empty: the host never votes
	OperatorToken Secret
	ClusterToken  Secret
	Hosts         []Host // seeds
	Groups        Groups
	Bootstrap     bool
	Join          bool // an empty data folder is started as a learner's
	Trace         Trace
	Log           Log
	Timing        Timing
	InitialConfig string // path, optional
}

// String implements fmt.Stringer. It leaves out the tokens.
func (s *Settings) String() string {
	return fmt.Sprintf("host %s in %s, http %s, peer %s, data_dir %q, %d seeds",
		s.Host, s.FailureDomain, s.HTTP, s.Peer, s.DataDir, len(s.Hosts))
}

// LogValue implements slog.LogValuer. It leaves out the tokens.
func (s *Settings) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("host", s.Host), slog.String("failure_domain", s.FailureDomain),
		slog.String("http", s.HTTP), slog.String("peer", s.Peer),
		slog.String("data_dir", s.DataDir), slog.Int("seeds", len(s.Hosts)),
		slog.Bool("bootstrap", s.Bootstrap), slog.Bool("join", s.Join))
}

// Self returns the host's own entry.
func (s *Settings) Self() Host {
	return Host{Host: s.Host, FailureDomain: s.FailureDomain, Peer: s.Peer, HTTP: s.HTTP}
}

// VotesControl reports whether the host is a voter of the control group.
func (s *Settings) VotesControl() bool { return slices.Contains(s.Groups.Control, s.Host) }

// VotesDomain reports whether the host is a voter of its own domain group.
func (s *Settings) VotesDomain() bool {
	return slices.Contains(s.Groups.Domains[s.FailureDomain], s.Host)
}

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(&errs.NotFound{Kind: "settings file", ID: path}, err.Error())
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(&errs.Unavailable{Resource: "settings file " + path, Reason: err.Error()}, "read settings")
	}
	if len(data) > maxFileBytes {
		return nil, &errs.TooLarge{What: "settings file " + path, Limit: maxFileBytes}
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, path)
}

// Parse validates a settings document and applies the defaults.
func Parse(data []byte) (*Settings, error) {
	root, err := decode(data)
	if err != nil {
		return nil, err
	}
	r := &reader{}
	s := r.settings(node{"$", root})
	if r.err != nil {
		return nil, r.err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}
