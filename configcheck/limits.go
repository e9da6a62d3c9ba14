package configcheck

import (
	"maps"
	"slices"

	"fuchsiaflow/routes"
)

// checkDurations finds durations of a route that contradict each other.
func (f *findings) checkDurations(r *routes.Route, path string) {
	if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
		f.add(Warning, path+".timeout", "requests end after %s, before the latency objective of %s", r.Timeout, r.LatencyObjective)
	}
	if r.Kind == routes.Batch && r.MaxAge > 0 && r.CompletionWindow > r.MaxAge {
		f.add(Warning, path+".completion_window", "results are due after %s, but items may be abandoned after %s", r.CompletionWindow, r.MaxAge)
	}
}

// checkAttempts compares the attempts of a request with the targets that each service can have, where that is known.
func (f *findings) checkAttempts(r *routes.Route, path string, table *routes.Table) {
	for _, d := range r.Destinations {
		s, ok := table.Service(d.Service)
		if !ok || !r.LeadsTo(d.Service) {
			continue
		}
		if most := mostTargets(s); most > 0 && r.AttemptLimit() > most {
			f.add(Warning, path+".max_attempts", "a request may go to %d targets, but service %q has at most %d", r.AttemptLimit(), d.Service, most)
		}
	}
}

// mostTargets returns the greatest number of targets that the configuration allows for a service, or 0 if it is not known.
func mostTargets(s *routes.Service) int {
	if s.Scale == nil {
		return 0
	}
	return max(s.Scale.Max, 0) * len(s.Scale.DomainPrices)
}

// checkScale finds bounds and prices of the targets of a service with which orders are not possible or make no sense.
func (f *findings) checkScale(service *routes.Service, path string) {
	s := service.Scale
	if service.Slots <= 0 {
		f.add(Warning, path, "no targets are ordered for service %q, because it has no engines", service.Name)
	}
	switch {
	case s.Max <= 0:
		f.add(Warning, path+".max", "no targets are ordered with a maximum of %d", s.Max)
	case s.Min > s.Max:
		f.add(Warning, path+".min", "the minimum of %d is above the maximum of %d", s.Min, s.Max)
	}
	if s.SpotPrice >= 1 {
		f.add(Warning, path+".spot_price", "spot targets at %g times the price of others save nothing", s.SpotPrice)
	}
	if len(s.DomainPrices) == 0 {
		f.add(Warning, path+".domain_prices", "without prices targets are ordered only in failure domains that have some already")
	}
	for _, domain := range slices.Sorted(maps.Keys(s.DomainPrices)) {
		if price := s.DomainPrices[domain]; price <= 0 {
			f.add(Warning, path+".domain_prices", "the price of %g in failure domain %q is not positive", price, domain)
		}
	}
}

// checkLimits finds limits for all requests that contradict each other or the timeouts of routes.
func (f *findings) checkLimits(c *routes.Config) {
	l := &c.Limits
	switch {
	case l.MaxHeaderBytes <= 0:
		f.add(Warning, "$.limits.max_header_bytes", "%d bytes is no limit; hosts use their own", l.MaxHeaderBytes)
	case l.MaxBodyBytes > 0 && int64(l.MaxHeaderBytes) > l.MaxBodyBytes:
		f.add(Warning, "$.limits.max_header_bytes", "heads may have %d bytes, more than the %d bytes of a body", l.MaxHeaderBytes, l.MaxBodyBytes)
	}
	if l.MaxBodyBytes <= 0 {
		f.add(Note, "$.limits.max_body_bytes", "%d bytes is no limit; hosts use their own", l.MaxBodyBytes)
	}
	if r := slowestRoute(c.Routes); r != nil && l.IdleTimeout > 0 && l.IdleTimeout < r.Timeout {
		f.add(Note, "$.limits.idle_timeout", "connections may be idle for %s, less than the timeout of %s of route %q",
			l.IdleTimeout, r.Timeout, r.Name)
	}
}

// slowestRoute returns the route with the longest timeout, or nil if there is no route.
func slowestRoute(list []routes.Route) *routes.Route {
	var slowest *routes.Route
	for i := range list {
		if slowest == nil || list[i].Timeout > slowest.Timeout {
			slowest = &list[i]
		}
	}
	return slowest
}
