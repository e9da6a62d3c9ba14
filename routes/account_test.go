package routes

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// Guards against a configuration in which a key leads to two accounts or anybody's empty key to one, against an error that
// names the key, and against one for a key that an account merely has twice.
func TestValidateAccounts(t *testing.T) {
	account := func(name string, keys ...string) Account {
		a := Account{Name: name}
		for _, k := range keys {
			a.Keys = append(a.Keys, DigestKey(k))
		}
		return a
	}
	for name, c := range map[string]struct {
		accounts []Account
		path     string
	}{
		"valid":                   {[]Account{account("a", "secret-1", "secret-2", "secret-1"), account("b"), account("c", "secret-3")}, ""},
		"no name":                 {[]Account{account("a"), account("", "secret-1")}, "$.accounts[1].name"},
		"name twice":              {[]Account{account("a"), account("b"), account("a")}, "$.accounts[2].name"},
		"name that breaks a line": {[]Account{account("a\r\nX: y")}, "$.accounts[0].name"},
		"name with a space":       {[]Account{account("a ")}, "$.accounts[0].name"},
		"empty key":               {[]Account{account("a", "secret-1", "")}, "$.accounts[0].keys[1]"},
		"key of two accounts":     {[]Account{account("a", "secret-1"), account("b"), account("c"), account("d", "secret-1")}, "$.accounts[3].keys[0]"},
	} {
		err := (&Config{Accounts: c.accounts}).Validate()
		if c.path == "" && err == nil {
			continue
		}
		var invalid *errs.Invalid
		if !errors.As(err, &invalid) || invalid.Path != c.path || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: %v, want an error at %q", name, err, c.path)
		}
	}
}
