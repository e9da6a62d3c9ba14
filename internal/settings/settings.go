// Package settings reads and validates the JSON settings of a host. Invalid documents are reported
// as *errs.Invalid with the JSON path and the accepted values. Bearer tokens are never printed.
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

// maxFileBytes bounds a settings file. A file that lists 410 hosts has about 60 KB.
const maxFileBytes = 4 << 20

// Redacted replaces secrets in all output.
const Redacted = "[redacted]"

// Secret is a bearer token. It is printed and encoded as Redacted.
type Secret string

// Reveal returns the token in plain text.
func (s Secret) Reveal() string { return string(s) }

// String implements fmt.Stringer.
func (s Secret) String() string { return Redacted }

// Format implements fmt.Formatter. Without it, a verb that is invalid for strings, such as %d,
// would print the token.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, Redacted) }

// LogValue implements slog.LogValuer.
func (s Secret) LogValue() slog.Value { return slog.StringValue(Redacted) }

// MarshalJSON implements json.Marshaler.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(Redacted) }

// Host is an entry of the list of hosts that are known at startup. Peer and HTTP are IP:port.
type Host struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Peer          string `json:"peer"`
	HTTP          string `json:"http"`
}

// Groups lists the initial voters of the consensus groups. After its first start, a group uses its
// replicated membership, and hosts only use the list as the first place to look for the leader.
// With Join, the host lists itself in the groups that it will be added to.
type Groups struct {
	Control []string            `json:"control"`
	Domains map[string][]string `json:"domains"`
}

// Exporter selects the destination of finished spans.
type Exporter string

// The trace exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Trace configures tracing. Endpoint is the IP:port of the OTLP gRPC collector and is required
// only for ExporterOTLP.
type Trace struct {
	Exporter Exporter `json:"exporter"`
	Endpoint string   `json:"endpoint,omitempty"`
}

// Log configures logging.
type Log struct {
	Level slog.Level `json:"level"`
}

// Timing holds the intervals and timeouts of a host.
type Timing struct {
	Heartbeat    time.Duration // interval of a leader's heartbeats
	Election     time.Duration // election timeout of a follower without heartbeats
	Probe        time.Duration // interval between membership probes
	TargetLease  time.Duration // a target without announcements is removed after this time
	WorkLease    time.Duration // a leased slot is scheduled again after this time
	ConfigPoll   time.Duration // interval between checks for a newer configuration
	DrainTimeout time.Duration // time limit of a graceful shutdown
	DrainGrace   time.Duration // delay between reporting not ready and refusing new connections
}

// Settings are the validated settings of one host.
type Settings struct {
	Host          string
	FailureDomain string
	HTTP          string // IP:port of the HTTP interface
	Peer          string // IP:port of gRPC over TCP and of membership over UDP
	DataDir       string // may be empty if the host is not a voter
	OperatorToken Secret
	ClusterToken  Secret
	Hosts         []Host // seeds, known at startup
	Groups        Groups
	Bootstrap     bool
	Join          bool // a host with an empty data directory starts as a learner
	Trace         Trace
	Log           Log
	Timing        Timing
	InitialConfig string // path of a file, optional
}

// String implements fmt.Stringer. It omits the tokens.
func (s *Settings) String() string {
	return fmt.Sprintf("host %s in %s, http %s, peer %s, data_dir %q, %d seeds",
		s.Host, s.FailureDomain, s.HTTP, s.Peer, s.DataDir, len(s.Hosts))
}

// LogValue implements slog.LogValuer. It omits the tokens.
func (s *Settings) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("host", s.Host), slog.String("failure_domain", s.FailureDomain),
		slog.String("http", s.HTTP), slog.String("peer", s.Peer),
		slog.String("data_dir", s.DataDir), slog.Int("seeds", len(s.Hosts)),
		slog.Bool("bootstrap", s.Bootstrap), slog.Bool("join", s.Join))
}

// Self returns this host as an entry of the host list.
func (s *Settings) Self() Host {
	return Host{Host: s.Host, FailureDomain: s.FailureDomain, Peer: s.Peer, HTTP: s.HTTP}
}

// IsControlVoter reports whether the host is an initial voter of the control group.
func (s *Settings) IsControlVoter() bool { return slices.Contains(s.Groups.Control, s.Host) }

// IsDomainVoter reports whether the host is an initial voter of the group of its failure domain.
func (s *Settings) IsDomainVoter() bool {
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

// Parse decodes and validates a settings document and applies the defaults.
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
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}
