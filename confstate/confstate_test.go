package confstate

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

const sample = `{"version": 7,
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

func sampleText() string {
	return strings.NewReplacer("TOKEN", TokenDigest("t1"), "DESK", TokenDigest("t2")).Replace(sample)
}

func mustParse(t testing.TB, text string) *Config {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against values that are accepted although the schema excludes them, and against
// errors without a path.
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
		text := strings.Replace(sample, c.old, c.new, 1)
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

// Guards against a digest that depends on the spelling of a file, which would turn a resend
// into a conflict.
func TestDigestIgnoresSpelling(t *testing.T) {
	a := mustParse(t, sampleText())
	b := mustParse(t, strings.Replace(sampleText(), `["log", "sorting"]`, `["sorting", "log"]`, 1))
	if Digest(a) != Digest(b) || Digest(a) != Digest(mustParse(t, string(CanonicalJSON(a)))) {
		t.Error("digest differs between equal configurations")
	}
	c := mustParse(t, strings.Replace(sampleText(), `"desk": 256`, `"desk": 257`, 1))
	if Digest(a) == Digest(c) {
		t.Error("digest is equal for different configurations")
	}
	want := []Difference{{"$.queues", `{"desk":256,"samples":2048}`, `{"desk":257,"samples":2048}`}}
	if diff := cmp.Diff(want, Diff(a, c)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a retired or unknown target being admitted.
func TestAdmits(t *testing.T) {
	c := mustParse(t, sampleText())
	for target, want := range map[string]bool{"kolfe-1": true, "kolfe-9": false, "yeka-1": false} {
		if got := c.Admits("sorting", target); got != want {
			t.Errorf("Admits(%s) = %v, want %v", target, got, want)
		}
	}
	if c.TenancyByToken("t2").Name != "intake" || c.TenancyByToken("x") != nil {
		t.Error("token matched the wrong tenancy")
	}
}

func change(version uint64, body string) Change {
	return Change{Version: version, Digest: digestBytes([]byte(body)), Body: []byte(body)}
}

func entry(version uint64, body string) Entry {
	return Entry{Version: version, Digest: digestBytes([]byte(body)), Body: []byte(body)}
}

// Guards against a wrong answer to a race or to a resend after a lost answer.
func TestStoreDecisions(t *testing.T) {
	s := NewStore()
	steps := []struct {
		c    Change
		want ResultKind
	}{
		{change(0, "a"), Malformed},
		{Change{Version: 1, Digest: "x", Body: []byte("a")}, Malformed},
		{change(2, "a"), Committed},
		{change(2, "a"), Repeated},
		{change(2, "b"), Conflict},
		{change(1, "b"), Older},
		{change(5, "c"), Committed},
		{change(2, "a"), Repeated},
		{change(2, "b"), Older},
	}
	for i, st := range steps {
		r := s.Apply(st.c)
		if r.Kind != st.want {
			t.Errorf("step %d: %s, want %s", i, r.Kind, st.want)
		}
		if (r.Err() == nil) != (r.Kind == Committed || r.Kind == Repeated) {
			t.Errorf("step %d: error %v for %s", i, r.Err(), r.Kind)
		}
	}
	if s.Current().Version != 5 || s.Current().Index != 2 {
		t.Errorf("current = %+v", s.Current())
	}
}

// Guards against a host that serves an older version, or serves before it knows the newest.
func TestActivator(t *testing.T) {
	a := NewActivator()
	if on, _ := a.Offer(entry(3, "c"), false); on || !a.Behind() {
		t.Error("a version that is not committed in the domain group was activated")
	}
	if on, _ := a.Offer(entry(3, "c"), true); !on || a.Ready() {
		t.Error("want version 3 active and the host not ready before a confirmed read")
	}
	if on, err := a.Confirm(entry(2, "b")); on || err != nil || !a.Ready() || a.Active().Version != 3 {
		t.Errorf("an overtaken read gave %v, %v, active %d", on, err, a.Active().Version)
	}
	if _, err := a.Offer(entry(3, "x"), true); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("another body under the active version gave %v", err)
	}
}

func ExampleStore() {
	c, err := Parse([]byte(sampleText()))
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
