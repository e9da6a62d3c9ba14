package runner

import (
	"log/slog"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
)

// Guards against an item that runs without its owner, or with a key or an account from its own headers, against a body that an
// engine takes for further requests since an item sets how its message ends, and against headers that are lost where there are
// no accounts.
func TestItemsRunForTheirOwner(t *testing.T) {
	names := dialect.Headers{RequestID: "Id", Deadline: "Deadline", ExpectedInstance: "Expect", CallerKey: "Api-Key", Account: "Account"}
	own := map[string]string{"api-KEY": "k", " aCCount": "forged", "X": "kept", "transfer-encoding": "chunked", "Content-Length": "0", "Connection": "Account"}
	for name, c := range map[string]struct {
		owner    string
		accounts []routes.Account
		want     http.Header
	}{
		"owner":                     {"a", []routes.Account{{Name: "a", Priority: 3}}, http.Header{"Account": {"a"}, "X": {"kept"}}},
		"owner, accounts removed":   {"a", nil, http.Header{"Account": {"a"}, "X": {"kept"}}},
		"no owner, accounts in use": {"", []routes.Account{{Name: "a"}}, http.Header{"X": {"kept"}}},
		"no owner, without accounts": {"", nil, http.Header{"Api-Key": {"k"}, " aCCount": {"forged"}, "X": {"kept"}, "Transfer-Encoding": {"chunked"},
			"Content-Length": {"0"}, "Connection": {"Account"}}},
	} {
		view := clusterview.NewView(slog.New(slog.DiscardHandler), nil)
		view.ApplyConfig(clusterview.Config{Version: 1, Body: clusterview.EncodeConfig(&routes.Config{Version: 1, Accounts: c.accounts})}, "test")
		r := &Runner{opts: Options{View: view}}
		j := &openJob{Job: &jobs.Job{ID: "j", Owner: c.owner}}
		ir := &itemRun{headers: names, hidesKey: r.hidesKey(j), job: j, item: jobs.Item{ID: "i", Headers: own}, output: &partialText{}}
		h := ir.newRequest().Header
		for _, set := range []string{"Id", "Deadline", "Expect"} {
			h.Del(set)
		}
		if d := cmp.Diff(c.want, h); d != "" {
			t.Errorf("%s: %s", name, d)
		}
		if got := r.accountPriority(c.owner); (got == 3) != (name == "owner") {
			t.Errorf("%s: priority %d", name, got)
		}
	}
}

// Guards against two jobs that the scheduler takes for one, whatever clients call them and operators call accounts.
func TestSchedulerIDsAreUnique(t *testing.T) {
	seen := make(map[string]jobs.Key)
	for _, key := range []jobs.Key{{ID: "j"}, {Owner: "j"}, {ID: "1:aj"}, {Owner: "a", ID: "j"}, {Owner: "aj"}, {Owner: "1", ID: ":aj"}, {Owner: "1:a", ID: "j"}} {
		id := schedulerID(key)
		if other, used := seen[id]; used {
			t.Errorf("%+v and %+v have the ID %q", key, other, id)
		}
		seen[id] = key
	}
}
