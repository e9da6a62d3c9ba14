package accounts

import (
	"fmt"
	"testing"
	"time"

	"fuchsiaflow/internal/settings"
	"fuchsiaflow/routes"
)

func account(name string, priority int, keys ...string) routes.Account {
	a := routes.Account{Name: name, Priority: priority}
	for _, k := range keys {
		a.Keys = append(a.Keys, routes.DigestKey(k))
	}
	return a
}

// Guards against requests that run without a valid key, against ones with a valid key that are refused, and against 401 from
// a host that cannot know whether a key is valid.
func TestDecide(t *testing.T) {
	table := NewTable([]routes.Account{account("a", 2, "a1", "a2", "a1"), account("b", 0, "b1"), account("none", 5)})
	private, public := &routes.Route{}, &routes.Route{Public: true}
	confirmed := Host{Confirmed: true, MajorityAge: time.Hour}
	strict := func(age time.Duration) Host {
		return Host{Confirmed: true, MajorityAge: age, Revocation: settings.Revocation{Strict: true, Within: 3 * time.Second}}
	}
	strictByDefault := Host{Confirmed: true, MajorityAge: 4 * time.Second, Revocation: settings.Revocation{Strict: true}}
	for name, c := range map[string]struct {
		route   *routes.Route
		keys    []string
		host    Host
		account string
		verdict Verdict
	}{
		"key":                           {private, []string{"a2"}, confirmed, "a", Allowed},
		"key of another account":        {private, []string{"b1"}, confirmed, "b", Allowed},
		"call without a route":          {nil, []string{"b1"}, confirmed, "b", Allowed},
		"two keys of an account":        {private, []string{"a2", "a1"}, confirmed, "a", Allowed},
		"empty line and key":            {private, []string{"", "a2"}, confirmed, "a", Allowed},
		"keys of two accounts":          {private, []string{"a1", "b1"}, confirmed, "", KeyUnknown},
		"key and unknown key":           {private, []string{"a1", "x"}, confirmed, "", KeyUnknown},
		"unknown key":                   {private, []string{"a"}, confirmed, "", KeyUnknown},
		"two keys in a line":            {private, []string{"a1, a2"}, confirmed, "", KeyUnknown},
		"no key":                        {private, nil, confirmed, "", KeyMissing},
		"empty key":                     {private, []string{""}, confirmed, "", KeyMissing},
		"call without a route and key":  {nil, nil, confirmed, "", KeyMissing},
		"public":                        {public, nil, confirmed, "", Allowed},
		"public with a key":             {public, []string{"a1"}, confirmed, "", Allowed},
		"public with an unknown key":    {public, []string{"x"}, Host{}, "", Allowed},
		"not confirmed":                 {private, []string{"x"}, Host{}, "", NotConfirmed},
		"not confirmed, no key":         {private, nil, Host{}, "", NotConfirmed},
		"not confirmed, known key":      {private, []string{"a1"}, Host{}, "a", Allowed},
		"not confirmed, strict":         {private, []string{"a1"}, Host{Revocation: settings.Revocation{Strict: true}}, "", NotConfirmed},
		"strict in contact":             {private, []string{"a1"}, strict(3 * time.Second), "a", Allowed},
		"strict and cut off":            {private, []string{"a1"}, strict(3*time.Second + 1), "", CutOff},
		"strict and cut off, no key":    {private, nil, strict(time.Minute), "", CutOff},
		"strict and cut off, public":    {public, nil, strict(time.Minute), "", Allowed},
		"strict, limit not set":         {private, []string{"a1"}, strictByDefault, "a", Allowed},
		"call cut off without a route":  {nil, []string{"a1"}, strict(time.Minute), "", CutOff},
		"not strict goes on if cut off": {private, []string{"a1"}, confirmed, "a", Allowed},
	} {
		got, verdict := table.Decide(c.route, c.keys, c.host)
		if got.Name != c.account || verdict != c.verdict {
			t.Errorf("%s: account %q, %s; want %q, %s", name, got.Name, verdict, c.account, c.verdict)
		}
	}
	if got, verdict := NewTable(nil).Decide(private, []string{"a1"}, Host{}); got != (Account{}) || verdict != Allowed {
		t.Errorf("without accounts: %+v, %s; want no account, allowed", got, verdict)
	}
	if got, _ := table.Decide(private, []string{"a1"}, confirmed); got.Priority != 2 || table.Priority("a") != 2 || table.Priority("gone") != 5 {
		t.Errorf("priorities %d, %d, %d; want 2, 2 and the lowest for an account that is gone", got.Priority, table.Priority("a"), table.Priority("gone"))
	}
}

// Guards against a check that slows or allocates for deployments without accounts.
func TestNoAllocationWithoutAccounts(t *testing.T) {
	table, route, keys := NewTable(nil), &routes.Route{}, []string{"some key that is longer than thirty-two bytes"}
	if n := testing.AllocsPerRun(100, func() { table.Decide(route, keys, Host{}) }); n != 0 {
		t.Errorf("%v allocations for each request, want 0", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{0, 72, 100_000} {
		var list []routes.Account
		for i := range n {
			list = append(list, account(fmt.Sprint("account", i), 0, fmt.Sprint("key-of-an-account-", i)))
		}
		table, route, keys := NewTable(list), &routes.Route{}, []string{fmt.Sprint("key-of-an-account-", n/2)}
		b.Run(fmt.Sprint(n, " keys"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Decide(route, keys, Host{Confirmed: true})
			}
		})
	}
}

func ExampleTable_Decide() {
	table := NewTable([]routes.Account{{Name: "hule930", Keys: []routes.KeyDigest{routes.DigestKey("secret")}, Priority: 1}})
	route, host := &routes.Route{Name: "r"}, Host{Confirmed: true}
	fmt.Println(table.Decide(route, []string{"secret"}, host))
	fmt.Println(table.Decide(route, []string{"removed"}, host))
	// Output:
	// {hule930 1} allowed
	// { 0} key_unknown
}
