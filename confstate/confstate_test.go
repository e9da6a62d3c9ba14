package confstate

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

const sampleTemplate = `{"version": 7,
 "tenancies": [
  {"name": "drumworks", "kind": "trainer", "home": "Kolfe", "token_sha256": "TOKEN", "model": "sorting",
   "pools": ["sorting"], "staleness_bound": 2, "policy": {"idle_weight": 3, "staleness_weight": 1}, "weight": 2,
   "limits": {"requests_per_minute": 6000, "tokens_per_minute": 900000, "cut_off_share": 0.1}},
  {"name": "intake", "kind": "desk", "home": "Sololá", "token_sha256": "DESK", "pools": ["log", "sorting"]}],
 "pools": [
  {"name": "sorting", "kind": "engine", "models": ["sorting"], "checks_fence": true, "max_unavailable_percent": 20,
   "in_flight": "resume", "targets": {"admit": ["kolfe-*"], "retire": ["kolfe-9"]}},
  {"name": "log", "kind": "service", "targets": {"admit": ["log-?"]}}],
 "weight_store": {"loads_per_second": 50, "max_concurrent": 8},
 "queues": {"desk": 256, "samples": 2048}}`

func sampleConfig() string {
	return strings.NewReplacer("TOKEN", TokenDigest("t1"), "DESK", TokenDigest("t2")).Replace(sampleTemplate)
}

func mustParse(t testing.TB, text string) *Config {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against accepting invalid files, and against errors without the JSON path or the
// accepted values.
func TestParseRejects(t *testing.T) {
	cases := []struct{ old, new, path string }{
		{`"version": 7`, `"version": 0`, "$.version"},
		{`"version": 7`, `"version": 7.5`, "$.version"},
		{`"version": 7`, `"version": null`, "$.version"},
		{`"version": 7,`, ``, "$.version"},
		{`"version": 7`, `"version": 7, "version": 7`, "$.version"},
		{`"version": 7`, `"Version": 7`, "$.Version"},
		{`"version": 7`, `"version": 7, "a b": 1`, `$["a b"]`},
		{`"kind": "trainer"`, `"kind": "robot"`, "$.tenancies[0].kind"},
		{`"name": "intake"`, `"name": "drumworks"`, "$.tenancies[1].name"},
		{`"DESK"`, `"TOKEN"`, "$.tenancies[1].token_sha256"},
		{`"DESK"`, `"plain"`, "$.tenancies[1].token_sha256"},
		{`"home": "Sololá"`, "\"home\": \"Solola\u0301\"", "$.tenancies[1].home"},
		{`["log", "sorting"]`, `["log", "log"]`, "$.tenancies[1].pools[1]"},
		{`["log", "sorting"]`, `["log", "none"]`, "$.tenancies[1].pools[1]"},
		{`["log", "sorting"]`, `[]`, "$.tenancies[1].pools"},
		{`"pools": ["sorting"]`, `"pools": ["log"]`, "$.tenancies[0].pools[0]"},
		{`"model": "sorting"`, `"model": "other"`, "$.tenancies[0].pools[0]"},
		{`"staleness_bound": 2,`, ``, "$.tenancies[0].staleness_bound"},
		{`"idle_weight": 3`, `"idle_weight": -3`, "$.tenancies[0].policy.idle_weight"},
		{`"cut_off_share": 0.1`, `"cut_off_share": 1.1`, "$.tenancies[0].limits.cut_off_share"},
		{`"weight": 2`, `"weight": 1e999`, "$.tenancies[0].weight"},
		{`"name": "log"`, `"name": "sorting"`, "$.pools[1].name"},
		{`"in_flight": "resume"`, `"in_flight": "drop"`, "$.pools[0].in_flight"},
		{`"max_unavailable_percent": 20`, `"max_unavailable_percent": 101`, "$.pools[0].max_unavailable_percent"},
		{`"max_unavailable_percent": 20`, `"max_unavailable_percent": 0`, "$.pools[0].max_unavailable_percent"},
		{`"weight": 2`, `"weight": 0`, "$.tenancies[0].weight"},
		{`"log-?"`, `"log-["`, "$.pools[1].targets.admit[0]"},
		{`"loads_per_second": 50`, `"loads_per_second": 0`, "$.weight_store.loads_per_second"},
		{`"desk": 256`, `"desk": 0`, "$.queues.desk"},
		{`2048}}`, `2048}} x`, "$"},
		{`2048}}`, `2048}`, "$"},
	}
	for _, c := range cases {
		text := strings.Replace(sampleTemplate, c.old, c.new, 1)
		text = strings.NewReplacer("TOKEN", TokenDigest("t1"), "DESK", TokenDigest("t2")).Replace(text)
		_, err := Parse([]byte(text))
		var inv *errs.Invalid
		if !errors.As(err, &inv) {
			t.Errorf("%s: error = %v, want Invalid", c.new, err)
			continue
		}
		if inv.Path != c.path || inv.Want == "" {
			t.Errorf("%s: error = %v, want path %s", c.new, err, c.path)
		}
	}
}

// Guards against a digest that depends on the formatting of a file, so that sending an
// equivalent file again would cause a conflict.
func TestDigestIgnoresFormatting(t *testing.T) {
	a := mustParse(t, sampleConfig())
	b := mustParse(t, strings.Replace(sampleConfig(), `["log", "sorting"]`, `["sorting", "log"]`, 1))
	if Digest(a) != Digest(b) || Digest(a) != Digest(mustParse(t, string(CanonicalJSON(a)))) {
		t.Error("digests of equal configurations differ")
	}
	c := mustParse(t, strings.Replace(sampleConfig(), `"desk": 256`, `"desk": 257`, 1))
	if Digest(a) == Digest(c) {
		t.Error("digests of different configurations are equal")
	}
	want := []Difference{{"$.queues", `{"desk":256,"samples":2048}`, `{"desk":257,"samples":2048}`}}
	if diff := cmp.Diff(want, Diff(a, c)); diff != "" {
		t.Error(diff)
	}
}

// Guards against admitting a retired or unknown target, and against a token that identifies the
// wrong tenancy.
func TestAdmits(t *testing.T) {
	c := mustParse(t, sampleConfig())
	for target, want := range map[string]bool{"kolfe-1": true, "kolfe-9": false, "yeka-1": false} {
		if got := c.Admits("sorting", target); got != want {
			t.Errorf("Admits(%s) = %v, want %v", target, got, want)
		}
	}
	if c.TenancyByToken("t2").Name != "intake" || c.TenancyByToken("x") != nil {
		t.Error("token matched the wrong tenancy")
	}
}

func testChange(version uint64, body string) Change {
	return Change{Version: version, Digest: bodyDigest([]byte(body)), Body: []byte(body)}
}

func testEntry(version uint64, body string) Entry {
	return Entry{Version: version, Digest: bodyDigest([]byte(body)), Body: []byte(body)}
}

// Guards against a wrong decision on concurrent changes, or on a change that is sent again after
// its answer was lost.
func TestStoreDecisions(t *testing.T) {
	s := NewStore()
	steps := []struct {
		change Change
		want   ResultKind
	}{
		{testChange(0, "a"), Malformed},
		{Change{Version: 1, Digest: "x", Body: []byte("a")}, Malformed},
		{testChange(2, "a"), Committed},
		{testChange(2, "a"), Repeated},
		{testChange(2, "b"), Conflict},
		{testChange(1, "b"), Older},
		{testChange(5, "c"), Committed},
		{testChange(2, "a"), Repeated},
		{testChange(2, "b"), Older},
	}
	for i, step := range steps {
		r := s.Apply(step.change)
		if r.Kind != step.want {
			t.Errorf("step %d: %s, want %s", i, r.Kind, step.want)
		}
		if (r.Err() == nil) != (r.Kind == Committed || r.Kind == Repeated) {
			t.Errorf("step %d: error %v for %s", i, r.Err(), r.Kind)
		}
	}
	if s.Current().Version != 5 || s.Current().Index != 2 {
		t.Errorf("current = %+v", s.Current())
	}
}

// Guards against a host that returns to an older version, or that serves before a read has
// confirmed the newest version.
func TestActivator(t *testing.T) {
	a := NewActivator()
	if changed, _ := a.Offer(testEntry(3, "c"), false); changed || !a.Behind() {
		t.Error("a version that is not committed in the domain group was activated")
	}
	if changed, _ := a.Offer(testEntry(3, "c"), true); !changed || a.Ready() {
		t.Error("want version 3 active and the host not ready before a read")
	}
	if changed, err := a.Confirm(testEntry(2, "b")); changed || err != nil || !a.Ready() || a.Active().Version != 3 {
		t.Errorf("Confirm of an older version: changed %v, error %v, active version %d", changed, err, a.Active().Version)
	}
	if _, err := a.Offer(testEntry(3, "x"), true); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("offer of another body for the active version: error %v, want a conflict", err)
	}
}

func ExampleStore() {
	c, err := Parse([]byte(sampleConfig()))
	if err != nil {
		fmt.Println(err)
		return
	}
	store, host := NewStore(), NewActivator()
	fmt.Println(store.Apply(NewChange(c, "operator-1")).Kind)
	fmt.Println(store.Apply(NewChange(c, "operator-1")).Kind)
	activated, _ := host.Confirm(store.Current())
	fmt.Println(activated, host.Ready(), host.Active().Version)
	// Output:
	// committed
	// repeated
	// true true 7
}
