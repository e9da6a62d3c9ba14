package routes

import (
	"testing"
	"time"
)

func config() *Config {
	dest := func(names ...string) (list []Destination) {
		for i, n := range names {
			list = append(list, Destination{Service: n, Weight: 10 * (i + 1)})
		}
		return list
	}
	return &Config{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}}, Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/x/", Kind: Idempotent, Timeout: time.Second, Destinations: dest("a")},
		{Name: "long", Host: "h", Prefix: "/x/y/", Kind: Unsafe, Timeout: time.Second, Destinations: dest("a", "b")},
		{Name: "other", Host: "i", Prefix: "/x/", Kind: Stream, Timeout: time.Second, Destinations: dest("b")},
	}}
}

// Guards against a request that goes to a shorter prefix or another host's route.
func TestLongestPrefixOfTheHost(t *testing.T) {
	table := NewTable(config())
	for path, want := range map[string]string{"h/x/z": "short", "h/x/y/z": "long", "h/x/y": "short", "i/x/y/z": "other", "h/q": "", "j/x/": ""} {
		got := ""
		if r, ok := table.Match(path[:1], path[1:]); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s goes to %q, want %q", path, got, want)
		}
	}
}

// Guards against a split that does not follow the weights, and a service with weight 0 that is used.
func TestSplitFollowsWeights(t *testing.T) {
	r := &Route{Destinations: []Destination{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	count := make(map[string]int)
	for u := range uint64(1000) {
		count[r.ChooseService(u)]++
	}
	if count["a"] != 900 || count["b"] != 100 {
		t.Errorf("shares %v", count)
	}
}

// Guards against an invalid table that is accepted.
func TestValidate(t *testing.T) {
	if err := config().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Config){
		"same place":      func(c *Config) { c.Routes[1].Prefix = "/x/" },
		"unknown service": func(c *Config) { c.Services = c.Services[:1] },
		"no timeout":      func(c *Config) { c.Routes[0].Timeout = 0 },
		"no weight":       func(c *Config) { c.Routes[0].Destinations[0].Weight = 0 },
		"open prefix":     func(c *Config) { c.Routes[0].Prefix = "/x" },
		"unknown kind":    func(c *Config) { c.Routes[0].Kind = "odd" },
	} {
		c := config()
		spoil(c)
		if c.Validate() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}
