package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"fuchsiaflow/routes"
)

// field is a field of an entry as a person reads it.
type field struct {
	name, value string
	isSet       bool // the value is not the zero value
}

// valueField returns a field whose text follows from its value.
func valueField[T comparable](name string, v T) field {
	var zero T
	text := fmt.Sprint(v)
	if s, ok := any(v).(string); ok {
		text = strconv.Quote(s)
	}
	return field{name, text, v != zero}
}

// listField returns a field with several values.
func listField(name string, values []string) field {
	if len(values) == 0 {
		return field{name, "none", false}
	}
	return field{name, strings.Join(values, " + "), true}
}

func limitsEntry(l *routes.Limits) entry {
	return entry{path: "$.limits", fields: []field{
		valueField("max_header_bytes", l.MaxHeaderBytes),
		valueField("max_body_bytes", l.MaxBodyBytes),
		valueField("header_timeout", l.HeaderTimeout),
		valueField("idle_timeout", l.IdleTimeout),
	}}
}

func routeEntries(c *routes.Config) (list []entry) {
	for i := range c.Routes {
		r := &c.Routes[i]
		list = append(list, entry{name: r.Host + r.Prefix, path: fmt.Sprintf("$.routes[%d]", i), fields: routeFields(r)})
	}
	return list
}

// routeFields returns the fields of a route, except the host and prefix that identify it.
func routeFields(r *routes.Route) []field {
	return []field{
		valueField("name", r.Name),
		valueField("kind", r.Kind),
		valueField("timeout", r.Timeout),
		valueField("latency_objective", r.LatencyObjective),
		valueField("priority", r.Priority),
		listField("destinations", destinations(r)),
		valueField("max_attempts", r.MaxAttempts),
		valueField("max_age", r.MaxAge),
		valueField("completion_window", r.CompletionWindow),
		valueField("single_version", r.SingleVersion),
		valueField("sticky", r.Sticky),
		valueField("resumable", r.Resumable),
		valueField("public", r.Public),
	}
}

// destinations returns the destinations of a route with their weights.
func destinations(r *routes.Route) (list []string) {
	for _, d := range r.Destinations {
		list = append(list, fmt.Sprintf("%q weight %d", d.Service, d.Weight))
	}
	return list
}

func serviceEntries(c *routes.Config) (list []entry) {
	for i := range c.Services {
		s := &c.Services[i]
		fields := []field{
			valueField("health_path", s.HealthPath),
			valueField("max_connections", s.MaxConnections),
			valueField("slots", s.Slots),
			valueField("kv_cache_tokens", s.KVCacheTokens),
			listField("models", quoted(s.Models)),
		}
		list = append(list, entry{name: s.Name, path: fmt.Sprintf("$.services[%d]", i), fields: append(fields, scaleFields(s.Scale)...)})
	}
	return list
}

// scaleFields returns the bounds on the number of targets; those of a service without bounds are not set.
func scaleFields(s *routes.Scale) []field {
	isScaled := s != nil
	if !isScaled {
		s = &routes.Scale{}
	}
	return []field{
		valueField("scale", isScaled),
		valueField("scale.min", s.Min),
		valueField("scale.max", s.Max),
		valueField("scale.boot_time", s.BootTime),
		valueField("scale.spot_price", s.SpotPrice),
		listField("scale.domain_prices", prices(s.DomainPrices)),
	}
}

// prices returns the prices by failure domain, sorted by its name.
func prices(byDomain map[string]float64) (list []string) {
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		list = append(list, fmt.Sprintf("%q %g", domain, byDomain[domain]))
	}
	return list
}

func quoted(names []string) (list []string) {
	for _, n := range names {
		list = append(list, strconv.Quote(n))
	}
	return list
}

func accountEntries(c *routes.Config) (list []entry) {
	for i := range c.Accounts {
		a := &c.Accounts[i]
		list = append(list, entry{name: a.Name, path: fmt.Sprintf("$.accounts[%d]", i), keys: newKeySet(a.Keys),
			fields: []field{valueField("priority", a.Priority)}})
	}
	return list
}
