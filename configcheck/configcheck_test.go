package configcheck

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/routes"
)

// sound returns a configuration without findings.
func sound() *routes.Config {
	to := func(service string) []routes.Destination { return []routes.Destination{{Service: service, Weight: 1}} }
	return &routes.Config{
		Version: 8,
		Routes: []routes.Route{
			{Name: "desk", Host: "h", Prefix: "/", Kind: routes.Idempotent, Timeout: time.Second, LatencyObjective: time.Second, Destinations: to("desk")},
			{Name: "steps", Host: "h", Prefix: "/s/", Kind: routes.Batch, Timeout: 2 * time.Second, MaxAge: time.Minute, CompletionWindow: time.Minute,
				MaxAttempts: 4, Destinations: to("engines")},
		},
		Services: []routes.Service{{Name: "desk"}, {Name: "engines", Slots: 6,
			Scale: &routes.Scale{Min: 2, Max: 2, SpotPrice: 0.9, DomainPrices: map[string]float64{"d1": 1, "d2": 0.8}}}},
		Limits: routes.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 16384, IdleTimeout: 2 * time.Second},
		Accounts: []routes.Account{{Name: "a", Keys: []routes.KeyDigest{routes.DigestKey("secret-of-a-1"), routes.DigestKey("secret-of-a-2")}},
			{Name: "b", Keys: []routes.KeyDigest{routes.DigestKey("secret-of-b")}}},
	}
}

// Guards against a fault of a configuration that is not found, is found at another field or with another severity, or is
// found in a configuration without it, at the bounds too.
func TestFindings(t *testing.T) {
	type config = routes.Config
	for name, c := range map[string]struct {
		change func(*config)
		want   []string // severity and path
	}{
		"sound":              {func(c *config) {}, nil},
		"version 0":          {func(c *config) { c.Version = 0 }, []string{"error $.version"}},
		"version below":      {func(c *config) { c.Version = 6 }, []string{"error $.version"}},
		"version in force":   {func(c *config) { c.Version = 7 }, []string{"note $.version"}},
		"other content":      {func(c *config) { c.Version, c.Routes[0].Priority = 7, 1 }, []string{"error $.version"}},
		"two invalid values": {func(c *config) { c.Routes[0].Timeout, c.Routes[1].Kind = 0, "odd" }, []string{"error $.routes[0].timeout", "error $.routes[1].kind"}},
		"key of two": {func(c *config) { c.Accounts[1].Keys[0] = routes.DigestKey("secret-of-a-2") },
			[]string{"error $.accounts[1].keys[0]"}},
		"empty host":      {func(c *config) { c.Routes[0].Host = "" }, []string{"warning $.routes[0].host"}},
		"host with port":  {func(c *config) { c.Routes[0].Host = "h:80" }, []string{"warning $.routes[0].host"}},
		"query in prefix": {func(c *config) { c.Routes[0].Prefix = "/?a/" }, []string{"warning $.routes[0].prefix"}},
		"weight 0": {func(c *config) {
			c.Routes[0].Destinations = append(c.Routes[0].Destinations, routes.Destination{Service: "engines"})
		}, []string{"note $.routes[0].destinations"}},
		"items without engines": {func(c *config) { c.Routes[1].Destinations[0].Service = "desk" },
			[]string{"warning $.routes[1].destinations", "warning $.services[1]"}},
		"service without a route": {func(c *config) { c.Services = append(c.Services, routes.Service{Name: "x"}) }, []string{"warning $.services[2]"}},
		"service twice": {func(c *config) { c.Services = append(c.Services, routes.Service{Name: "desk"}) },
			[]string{"warning $.services[0].name"}},
		"account without keys": {func(c *config) { c.Accounts[1].Keys = nil }, []string{"warning $.accounts[1].keys"}},
		"all public": {func(c *config) { c.Routes[0].Public, c.Routes[1].Public, c.Accounts[1].Keys = true, true, nil },
			[]string{"warning $.accounts"}},
		"public without accounts": {func(c *config) { c.Routes[0].Public, c.Accounts = true, nil }, []string{"note $.routes[0].public"}},
		"timeout too short":       {func(c *config) { c.Routes[0].Timeout-- }, []string{"warning $.routes[0].timeout"}},
		"due after expiry":        {func(c *config) { c.Routes[1].CompletionWindow++ }, []string{"warning $.routes[1].completion_window"}},
		"too many attempts":       {func(c *config) { c.Routes[1].MaxAttempts = 5 }, []string{"warning $.routes[1].max_attempts"}},
		"minimum above":           {func(c *config) { c.Services[1].Scale.Min = 3 }, []string{"warning $.services[1].scale.min"}},
		"no maximum":              {func(c *config) { c.Services[1].Scale.Max = 0 }, []string{"warning $.services[1].scale.max"}},
		"spot price":              {func(c *config) { c.Services[1].Scale.SpotPrice = 1 }, []string{"warning $.services[1].scale.spot_price"}},
		"no prices":               {func(c *config) { c.Services[1].Scale.DomainPrices = nil }, []string{"warning $.services[1].scale.domain_prices"}},
		"price 0":                 {func(c *config) { c.Services[1].Scale.DomainPrices["d1"] = 0 }, []string{"warning $.services[1].scale.domain_prices"}},
		"scale of no engine": {func(c *config) {
			c.Services[0].Scale = &routes.Scale{Max: 1, DomainPrices: map[string]float64{"d1": 1}}
		}, []string{"warning $.services[0].scale"}},
		"head above body":  {func(c *config) { c.Limits.MaxHeaderBytes++ }, []string{"warning $.limits.max_header_bytes"}},
		"no limits":        {func(c *config) { c.Limits = routes.Limits{} }, []string{"warning $.limits.max_header_bytes", "note $.limits.max_body_bytes"}},
		"idle too short":   {func(c *config) { c.Limits.IdleTimeout-- }, []string{"note $.limits.idle_timeout"}},
		"severities first": {func(c *config) { c.Limits.IdleTimeout--; c.Routes[0].Host = "" }, []string{"warning $.routes[0].host", "note $.limits.idle_timeout"}},
	} {
		checked, inForce := sound(), sound()
		inForce.Version = 7
		c.change(checked)
		var got []string
		for _, f := range Check(checked, inForce).Findings {
			got = append(got, string(f.Severity)+" "+f.Path)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: findings %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a field, also one added later, whose change is not shown.
func TestCompareShowsEveryField(t *testing.T) {
	full := func() *routes.Config {
		c := sound()
		c.Limits.HeaderTimeout, c.Accounts[0].Priority, c.Services[1].Scale.BootTime = 1, 1, 1
		c.Routes[1].LatencyObjective, c.Routes[1].Priority = 1, 1
		c.Routes[1].SingleVersion, c.Routes[1].Sticky, c.Routes[1].Resumable, c.Routes[1].Public = true, true, true, true
		s := &c.Services[1]
		s.HealthPath, s.MaxConnections, s.KVCacheTokens, s.Models = "/", 1, 1, []string{"m"}
		return c
	}
	for name, part := range map[string]func(*routes.Config) any{
		"limits":  func(c *routes.Config) any { return &c.Limits },
		"route":   func(c *routes.Config) any { return &c.Routes[1] },
		"service": func(c *routes.Config) any { return &c.Services[1] },
		"scale":   func(c *routes.Config) any { return c.Services[1].Scale },
		"account": func(c *routes.Config) any { return &c.Accounts[0] },
	} {
		fields := reflect.TypeOf(part(full())).Elem()
		for i := range fields.NumField() {
			updated := full()
			field := reflect.ValueOf(part(updated)).Elem().Field(i)
			isSet := !field.IsZero()
			field.SetZero()
			if list := Compare(full(), updated); !isSet || len(list) == 0 {
				t.Errorf("%s: no difference without %s; set in this test: %t", name, fields.Field(i).Name, isSet)
			}
		}
	}
}

// Guards against differences between entries that were only moved, and in an entry that a later one replaces.
func TestCompareIgnoresOrder(t *testing.T) {
	moved := sound()
	slices.Reverse(moved.Routes)
	slices.Reverse(moved.Services)
	moved.Services = append([]routes.Service{{Name: "desk", Slots: 9}}, moved.Services...)
	slices.Reverse(moved.Accounts)
	moved.Accounts[1].Keys = append(moved.Accounts[1].Keys, moved.Accounts[1].Keys[0])
	slices.Reverse(moved.Accounts[1].Keys)
	if list := Compare(sound(), moved); len(list) > 0 {
		t.Errorf("differences %+v, want none", list)
	}
}

// Guards against a report that shows a key, or so much of a digest that a guessed key can be confirmed.
func TestReportHidesKeys(t *testing.T) {
	old, updated := sound(), sound()
	updated.Version, updated.Accounts[0].Keys, updated.Accounts[1].Name = 9, nil, "c"
	for i := range 20 {
		updated.Accounts[0].Keys = append(updated.Accounts[0].Keys, routes.DigestKey(fmt.Sprint("new-secret-", i)))
	}
	updated.Accounts = append(updated.Accounts, routes.Account{Name: "d", Keys: []routes.KeyDigest{updated.Accounts[0].Keys[0], routes.DigestKey("")}})
	text, err := json.Marshal(Check(updated, old))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range append(old.Accounts, updated.Accounts...) {
		for _, digest := range a.Keys {
			if strings.Contains(string(text), fmt.Sprintf("%x", digest[:maskBytes+1])) {
				t.Errorf("the report shows more than %d bytes of the digest %x", maskBytes, digest)
			}
		}
	}
	if strings.Contains(string(text), "secret") || !strings.Contains(string(text), "16 more") {
		t.Errorf("report %s, want no key and the number of keys that are not listed", text)
	}
}

func ExampleCheck() {
	c := &routes.Config{Version: 8, Services: []routes.Service{{Name: "desk"}, {Name: "unused"}}, Limits: routes.Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 20},
		Routes: []routes.Route{{Host: "h", Prefix: "/", Kind: routes.Unsafe, Timeout: time.Second, Destinations: []routes.Destination{{Service: "desk", Weight: 1}}}}}
	inForce := *c
	inForce.Version, inForce.Services = 7, c.Services[:1]
	report := Check(c, &inForce)
	fmt.Println(report.Findings)
	fmt.Println(report.Differences[0].Change, report.Differences[0].Entry, report.Differences[0].Name)
	fmt.Println(Unreadable(&errs.Invalid{Path: "$", Want: "JSON", Got: "text"}).Count(Error))
	// Output:
	// [{warning $.services[1] no route leads to service "unused"}]
	// added service unused
	// 1
}
