// Package routes decides to which service a request goes: a table of routes by host and path
// prefix, with weighted destinations, and the rules that a valid table satisfies.
//
// The package is pure: it has no clock, no global random source and no I/O.
package routes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// Kind tells what the requests of a route may be repeated for.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Unsafe requests run at most once for each attempt of the client.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a series of events. They are unsafe unless the route
	// is resumable.
	Stream Kind = "stream"
	// Batch routes accept batch jobs, whose items run later.
	Batch Kind = "batch"
)

// Config is one version of the routing configuration. A higher version replaces a lower one
// as a whole.
type Config struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}

// Limits bounds what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int64         `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"`
	IdleTimeout    time.Duration `cbor:"4,keyasint"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration `cbor:"5,keyasint"`
	// LatencyObjective is the time within which an answer earns its full value.
	LatencyObjective time.Duration `cbor:"6,keyasint"`
	// Priority ranks the routes of a service; 0 is the highest.
	Priority     int           `cbor:"7,keyasint"`
	Destinations []Destination `cbor:"8,keyasint"`
	// MaxAttempts is the largest number of targets that one request may reach.
	MaxAttempts int `cbor:"9,keyasint"`
	// MaxAge is the age at which an item of a batch job may be given up.
	MaxAge time.Duration `cbor:"10,keyasint"`
	// CompletionWindow is the time after its submission at which a batch job's results are due.
	CompletionWindow time.Duration `cbor:"11,keyasint"`
	// SingleVersion requires that one weight version makes the whole text of an item.
	SingleVersion bool `cbor:"12,keyasint"`
	// Sticky routes carry prompts whose shared parts targets keep.
	Sticky bool `cbor:"13,keyasint"`
	// Resumable streams may go on at another target after the last event.
	Resumable bool `cbor:"14,keyasint"`
}

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Service is a set of equal targets.
type Service struct {
	Name       string `cbor:"1,keyasint"`
	HealthPath string `cbor:"2,keyasint"`
	// MaxConnections is what one target accepts from all callers together.
	MaxConnections int `cbor:"3,keyasint"`
	// Slots is the number of requests that an engine runs at once; 0 for a plain service.
	Slots int `cbor:"4,keyasint"`
	// KVCacheTokens is the size of an engine's KV cache.
	KVCacheTokens int      `cbor:"5,keyasint"`
	Models        []string `cbor:"6,keyasint"`
}

// Validate reports the first rule that the configuration breaks.
func (c *Config) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := make(map[string]bool, len(c.Routes))
	for i, r := range c.Routes {
		path := fmt.Sprintf("$.routes[%d]", i)
		if err := r.validate(path, services); err != nil {
			return err
		}
		place := r.Host + " " + r.Prefix
		if places[place] {
			return invalid(path+".prefix", "a host and prefix that no other route has", place)
		}
		places[place] = true
	}
	return nil
}

func (r *Route) validate(path string, services map[string]bool) error {
	switch r.Kind {
	case Idempotent, Unsafe, Stream, Batch:
	default:
		return invalid(path+".kind", "a known kind", string(r.Kind))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid(path+".prefix", "a path that begins and ends with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return invalid(path+".timeout", "a positive duration", r.Timeout.String())
	}
	total := 0
	for _, d := range r.Destinations {
		if !services[d.Service] {
			return invalid(path+".destinations", "a service of the configuration", d.Service)
		}
		if d.Weight < 0 {
			return invalid(path+".destinations", "a weight of 0 or more", fmt.Sprint(d.Weight))
		}
		total += d.Weight
	}
	if total == 0 {
		return invalid(path+".destinations", "weights with a positive sum", "0")
	}
	return nil
}

func invalid(path, want, got string) error {
	return &errs.Invalid{Path: path, Want: want, Got: fmt.Sprintf("%q", got)}
}

// ChooseService returns the service for a number that is drawn evenly over all values of uint64, or
// derived from a key that always goes to the same service.
func (r *Route) ChooseService(u uint64) string {
	total := uint64(0)
	for _, d := range r.Destinations {
		total += uint64(d.Weight)
	}
	if total == 0 {
		return ""
	}
	u %= total
	for _, d := range r.Destinations {
		if u < uint64(d.Weight) {
			return d.Service
		}
		u -= uint64(d.Weight)
	}
	return ""
}

// AttemptLimit returns the number of targets that one request may reach, at least one.
func (r *Route) AttemptLimit() int { return max(r.MaxAttempts, 1) }

// Retryable tells whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Table finds the routes and services of one configuration. It is never changed.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
}

// NewTable returns the table of a valid configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]*Route), services: make(map[string]*Service)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of a host with the longest prefix of path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
