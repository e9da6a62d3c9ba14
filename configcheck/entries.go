package configcheck

import (
	"fmt"
	"net"
	"strings"

	"fuchsiaflow/accounts"
	"fuchsiaflow/routes"
)

// checkRoutes finds routes and destinations that never take effect, and limits of routes that contradict each other.
func (f *findings) checkRoutes(c *routes.Config) {
	table := routes.NewTable(c)
	needsKeys := accounts.NewTable(c.Accounts).NeedsKeys()
	for i := range c.Routes {
		r, path := &c.Routes[i], fmt.Sprintf("$.routes[%d]", i)
		f.checkMatch(r, path)
		f.checkDestinations(r, path+".destinations", table)
		f.checkDurations(r, path)
		f.checkAttempts(r, path, table)
		if r.Public && !needsKeys {
			f.add(Note, path+".public", "without client accounts no route needs a key")
		}
	}
}

// checkMatch finds a host or prefix that no request has. Hosts match the name without a port and the path without a query.
func (f *findings) checkMatch(r *routes.Route, path string) {
	if r.Host == "" {
		f.add(Warning, path+".host", "an empty name matches only requests that name no host")
	}
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		f.add(Warning, path+".host", "%q never matches, because names are matched without a port", r.Host)
	}
	if strings.Contains(r.Prefix, "?") {
		f.add(Warning, path+".prefix", "%q never matches, because a path ends before its query", r.Prefix)
	}
}

// checkDestinations finds services that get no request of the route, or cannot run its items.
func (f *findings) checkDestinations(r *routes.Route, path string, table *routes.Table) {
	for _, d := range r.Destinations {
		s, ok := table.Service(d.Service)
		switch {
		case d.Weight == 0:
			f.add(Note, path, "no request goes to service %q, whose weight is 0", d.Service)
		case ok && r.Kind == routes.Batch && s.Slots <= 0:
			f.add(Warning, path, "no item runs at service %q, which has no engines", d.Service)
		}
	}
}

// checkServices finds services without requests, and what is wrong with the bounds on the number of their targets.
func (f *findings) checkServices(c *routes.Config) {
	table := routes.NewTable(c)
	reached := reachedServices(c)
	for i := range c.Services {
		s, path := &c.Services[i], fmt.Sprintf("$.services[%d]", i)
		if effective, _ := table.Service(s.Name); effective != s {
			f.add(Warning, path+".name", "a later entry for service %q replaces this one", s.Name)
			continue
		}
		if !reached[s.Name] {
			f.add(Warning, path, "no route leads to service %q", s.Name)
		}
		if s.Scale != nil {
			f.checkScale(s, path+".scale")
		}
	}
}

// reachedServices returns the names of the services to which requests may go.
func reachedServices(c *routes.Config) map[string]bool {
	reached := make(map[string]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, d := range r.Destinations {
			if r.LeadsTo(d.Service) {
				reached[d.Service] = true
			}
		}
	}
	return reached
}

// checkAccounts finds accounts that cannot send a request, or that no route asks for.
func (f *findings) checkAccounts(c *routes.Config) {
	if !accounts.NewTable(c.Accounts).NeedsKeys() {
		return
	}
	if allPublic(c.Routes) {
		f.add(Warning, "$.accounts", "no route needs a key, because all of them are public")
		return
	}
	for i := range c.Accounts {
		if a := &c.Accounts[i]; len(a.Keys) == 0 {
			f.add(Warning, fmt.Sprintf("$.accounts[%d].keys", i), "account %q has no key and can send requests only on public routes", a.Name)
		}
	}
}

// allPublic reports whether there are routes and none of them needs a key.
func allPublic(list []routes.Route) bool {
	for i := range list {
		if !list[i].Public {
			return false
		}
	}
	return len(list) > 0
}
