package routes

import (
	"slices"
	"testing"
	"time"
)

func testConfig() *Config {
	destinations := func(names ...string) (ds []Destination) {
		for i, name := range names {
			ds = append(ds, Destination{Service: name, Weight: 10 * (i + 1)})
		}
		return ds
	}
	return &Config{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}}, Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/x/", Kind: Idempotent, Timeout: time.Second, Destinations: destinations("a")},
		{Name: "long", Host: "h", Prefix: "/x/y/", Kind: Unsafe, Timeout: time.Second, Destinations: destinations("a", "b")},
		{Name: "other", Host: "i", Prefix: "/x/", Kind: Stream, Timeout: time.Second, Destinations: destinations("b")},
	}}
}

// Guards against matching a shorter prefix or a route of another host.
func TestMatchLongestPrefixOfHost(t *testing.T) {
	table := NewTable(testConfig())
	for path, want := range map[string]string{"h/x/z": "short", "h/x/y/z": "long", "h/x/y": "short", "i/x/y/z": "other", "h/q": "", "j/x/": ""} {
		got := ""
		if r, ok := table.Match(path[:1], path[1:]); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: got route %q, want %q", path, got, want)
		}
	}
}

// Guards against a split that does not follow the weights, and against requests to a service with
// weight 0.
func TestSplitFollowsWeights(t *testing.T) {
	r := &Route{Destinations: []Destination{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for u := range uint64(1000) {
		counts[r.ChooseService(u)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("requests by service %v, want a:900 b:100", counts)
	}
}

// Guards against accepting an invalid configuration or rejecting a valid one.
func TestValidate(t *testing.T) {
	if err := testConfig().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Config){
		"duplicate match": func(c *Config) { c.Routes[1].Prefix = "/x/" },
		"unknown service": func(c *Config) { c.Services = c.Services[:1] },
		"zero timeout":    func(c *Config) { c.Routes[0].Timeout = 0 },
		"zero weights":    func(c *Config) { c.Routes[0].Destinations[0].Weight = 0 },
		"no final slash":  func(c *Config) { c.Routes[0].Prefix = "/x" },
		"unknown kind":    func(c *Config) { c.Routes[0].Kind = "odd" },
	} {
		c := testConfig()
		invalidate(c)
		if c.Validate() == nil {
			t.Errorf("%s: the configuration was accepted", name)
		}
	}
}

// Guards against a check that reports only the first of several invalid values, and against another order than that of Validate.
func TestViolationsListsAll(t *testing.T) {
	c := testConfig()
	c.Routes[0].Kind, c.Routes[0].Timeout = "odd", 0
	c.Routes[2].Destinations = []Destination{{Service: "none", Weight: -1}}
	c.Accounts = []Account{{Name: "", Keys: []KeyDigest{DigestKey("k")}}, {Name: "a", Keys: []KeyDigest{DigestKey("k"), DigestKey("")}}}
	var paths []string
	for _, v := range c.Violations() {
		paths = append(paths, v.Path)
	}
	want := []string{"$.routes[0].kind", "$.routes[0].timeout", "$.routes[2].destinations", "$.routes[2].destinations",
		"$.accounts[0].name", "$.accounts[1].keys[0]", "$.accounts[1].keys[1]"}
	if !slices.Equal(paths, want) || c.Validate().Error() != c.Violations()[0].Error() {
		t.Errorf("violations at %v, want %v; Validate returns %v", paths, want, c.Validate())
	}
}
