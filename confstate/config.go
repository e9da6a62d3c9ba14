// Package confstate holds the declarative configuration of the system: its schema and strict
// decoding, its digest, the compare-and-set state machine that orders versions, and the
// activation rules of a host. The package is pure: it uses no clock, file or network.
package confstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"path"
	"slices"
	"strings"
)

// TenancyKind tells which interface a tenancy uses.
type TenancyKind string

// The kinds of tenancy.
const (
	Trainer TenancyKind = "trainer"
	Desk    TenancyKind = "desk"
)

// PoolKind tells which protocol the targets of a pool speak.
type PoolKind string

// The kinds of pool.
const (
	Engine  PoolKind = "engine"
	Service PoolKind = "service"
)

// InFlight tells what happens to running requests of a target whose weights are swapped.
type InFlight string

// The policies for requests in flight.
const (
	InFlightFinish InFlight = "finish"
	Resume         InFlight = "resume"
	Discard        InFlight = "discard"
)

// Defaults of optional fields. Parse fills them in, so a file that states a default has the
// same digest as a file that leaves it out.
const (
	DefaultWeight                = 1.0
	DefaultMaxUnavailablePercent = 25
	DefaultInFlight              = InFlightFinish
)

// Config is the whole desired state at one version. Fields with omitempty are optional.
type Config struct {
	Version     uint64            `json:"version"`
	Tenancies   []Tenancy         `json:"tenancies"`
	Pools       []Pool            `json:"pools"`
	WeightStore WeightStoreLimits `json:"weight_store"`
	Queues      QueueLimits       `json:"queues"`
}

// Tenancy is a trainer or a desk.
type Tenancy struct {
	Name string      `json:"name"`
	Kind TenancyKind `json:"kind"`
	// Home is the failure domain whose group owns the state of the tenancy.
	Home string `json:"home"`
	// TokenSHA256 is the lower-case hex SHA-256 of the bearer token.
	TokenSHA256 string `json:"token_sha256"`
	// Model is required for trainers.
	Model string   `json:"model,omitempty"`
	Pools []string `json:"pools"`
	// StalenessBound is the accepted age in versions. It is required for trainers and
	// not accepted for desks.
	StalenessBound *uint64 `json:"staleness_bound,omitempty"`
	// Policy is required for trainers and not accepted for desks.
	Policy *SchedulingPolicy `json:"policy,omitempty"`
	// Weight is the share in fair queueing.
	Weight float64 `json:"weight,omitempty" conf:"nonzero"`
	// Limits is nil when the tenancy has no quota.
	Limits *Limits `json:"limits,omitempty"`
}

// SchedulingPolicy weighs trainer idle time against sample staleness.
type SchedulingPolicy struct {
	IdleWeight      float64 `json:"idle_weight"`
	StalenessWeight float64 `json:"staleness_weight"`
}

// Limits is the quota of a tenancy.
type Limits struct {
	RequestsPerMinute uint64 `json:"requests_per_minute"`
	TokensPerMinute   uint64 `json:"tokens_per_minute"`
	// CutOffShare is the share of the quota that a failure domain may spend while it is
	// cut off from the home domain.
	CutOffShare float64 `json:"cut_off_share"`
}

// Pool is a set of targets that are interchangeable for requests.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Models is required for engines and not accepted for services.
	Models []string `json:"models,omitempty"`
	// ChecksFence states that the targets refuse orders with an old fencing number.
	ChecksFence           bool            `json:"checks_fence,omitempty"`
	MaxUnavailablePercent uint64          `json:"max_unavailable_percent,omitempty" conf:"nonzero"`
	InFlight              InFlight        `json:"in_flight,omitempty" conf:"nonzero"`
	Targets               AdmissionPolicy `json:"targets"`
	// RetrySafe applies to requests that do not state whether they may be repeated. It
	// defaults to true for engines and false for services.
	RetrySafe *bool `json:"retry_safe,omitempty"`
}

// AdmissionPolicy is the admission policy of a pool.
type AdmissionPolicy struct {
	// Admit holds patterns of target IDs in the syntax of path.Match.
	Admit []string `json:"admit"`
	// Retire holds target IDs that are refused even if a pattern matches.
	Retire []string `json:"retire,omitempty"`
}

// WeightStoreLimits is the rate at which the weight store may be read by the whole system.
type WeightStoreLimits struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	MaxConcurrent  uint64  `json:"max_concurrent"`
}

// QueueLimits is the depth of the request queues of each host.
type QueueLimits struct {
	Desk    uint64 `json:"desk"`
	Samples uint64 `json:"samples"`
}

// Tenancy returns the tenancy with the given name, or nil.
func (c *Config) Tenancy(name string) *Tenancy {
	for i := range c.Tenancies {
		if c.Tenancies[i].Name == name {
			return &c.Tenancies[i]
		}
	}
	return nil
}

// TenancyByToken returns the tenancy whose token has the given digest, or nil. Comparing
// digests instead of tokens leaks no information about the token through timing.
func (c *Config) TenancyByToken(token string) *Tenancy {
	digest := TokenDigest(token)
	for i := range c.Tenancies {
		if c.Tenancies[i].TokenSHA256 == digest {
			return &c.Tenancies[i]
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Admits reports whether the policy of the pool admits a target.
func (c *Config) Admits(pool, target string) bool {
	p := c.Pool(pool)
	return p != nil && p.Targets.Admits(target)
}

// Admits reports whether a pattern matches the target and the target is not retired.
func (t AdmissionPolicy) Admits(target string) bool {
	if slices.Contains(t.Retire, target) {
		return false
	}
	for _, pattern := range t.Admit {
		if ok, err := path.Match(pattern, target); err == nil && ok {
			return true
		}
	}
	return false
}

// TokenDigest returns the value of token_sha256 for a bearer token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// CanonicalJSON returns the canonical JSON of c: defaults are filled in, lists are sorted, and
// there is no optional white space. Parse(Canonical(c)) equals c up to the order of lists.
func CanonicalJSON(c *Config) []byte {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	// Encode fails only for NaN and infinities, which Parse does not produce.
	if err := enc.Encode(normalized(c)); err != nil {
		return nil
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n"))
}

// Digest returns the SHA-256 of the canonical JSON in hex. Files that differ only in white
// space, order of lists or stated defaults have the same digest.
func Digest(c *Config) string { return digestBytes(CanonicalJSON(c)) }

func digestBytes(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// normalized returns a copy of c with defaults filled in and lists sorted.
func normalized(c *Config) *Config {
	n := *c
	n.Tenancies = append([]Tenancy{}, c.Tenancies...)
	n.Pools = append([]Pool{}, c.Pools...)
	for i := range n.Tenancies {
		t := &n.Tenancies[i]
		t.Pools = sortedCopy(t.Pools)
		if t.Weight == 0 {
			t.Weight = DefaultWeight
		}
	}
	for i := range n.Pools {
		p := &n.Pools[i]
		p.Models = sortedCopy(p.Models)
		p.Targets.Admit = sortedCopy(p.Targets.Admit)
		p.Targets.Retire = sortedCopy(p.Targets.Retire)
		if p.MaxUnavailablePercent == 0 {
			p.MaxUnavailablePercent = DefaultMaxUnavailablePercent
		}
		if p.InFlight == "" {
			p.InFlight = DefaultInFlight
		}
		if p.RetrySafe == nil {
			safe := p.Kind == Engine
			p.RetrySafe = &safe
		}
	}
	slices.SortFunc(n.Tenancies, func(a, b Tenancy) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(n.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return &n
}

func sortedCopy(in []string) []string {
	out := append([]string{}, in...)
	slices.Sort(out)
	return out
}
