package e2e

import (
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/demo"
)

// badInput is a request that must be refused with the outcome not_run, and the expected error.
type badInput struct {
	name, method, path, token, body string
	header                          []string
	status                          int
	code                            errs.Code
}

func badInputs() []badInput {
	const step = `{"step":"bad","model":"sorter","pool":"sorting","groups":[{"prompt":"p","samples":1,"max_tokens":8}]`
	const post, get = http.MethodPost, http.MethodGet
	valid := string(confstate.CanonicalJSON(testConfig(2)))
	trainer, desk, operator := demo.TrainerToken, demo.DeskToken, demo.OperatorToken
	unsafe := []string{"X-Unsafe", "true", "Idempotency-Key", "bad"}
	return []badInput{
		{"step, not JSON", post, "/v1/steps", trainer, `{"step":`, nil, 400, errs.CodeInvalid},
		{"step, empty", post, "/v1/steps", trainer, ``, nil, 400, errs.CodeInvalid},
		{"step, two values", post, "/v1/steps", trainer, step + `}{}`, nil, 400, errs.CodeInvalid},
		{"step, unknown field", post, "/v1/steps", trainer, step + `,"priority":1}`, nil, 400, errs.CodeInvalid},
		{"step, wrong type", post, "/v1/steps", trainer, `{"step":7}`, nil, 400, errs.CodeInvalid},
		{"step, negative time-out", post, "/v1/steps", trainer, step + `,"timeout_ms":-1}`, nil, 400, errs.CodeInvalid},
		{"step, oversized", post, "/v1/steps", trainer, strings.Repeat(" ", api.MaxBodyBytes+1), nil, 413, errs.CodeTooLarge},
		{"step, no token", post, "/v1/steps", "", step + `}`, nil, 401, errs.CodeUnauthenticated},
		{"step, wrong token", post, "/v1/steps", "wrong", step + `}`, nil, 401, errs.CodeUnauthenticated},
		{"step, operator's token", post, "/v1/steps", operator, step + `}`, nil, 401, errs.CodeUnauthenticated},
		{"step, desk's token", post, "/v1/steps", desk, step + `}`, nil, 403, errs.CodeForbidden},
		{"step of another model", post, "/v1/steps", akakiTrainerToken, step + `}`, nil, 400, errs.CodeInvalid},
		{"fetch of an unknown step", post, "/v1/steps/none/fetch", trainer, `{"max":1}`, nil, 404, errs.CodeNotFound},
		{"unknown step", get, "/v1/steps/none", trainer, ``, nil, 404, errs.CodeNotFound},
		{"weights, version 0", post, "/v1/weights", trainer, `{"model":"sorter","version":0}`, nil, 400, errs.CodeInvalid},
		{"weights of another model", post, "/v1/weights", trainer, `{"model":"sorter-akaki","version":9}`, nil, 400, errs.CodeInvalid},
		{"desk, unknown pool", post, "/v1/desk/none", desk, `{"body":{"bad":1}}`, unsafe, 404, errs.CodeNotFound},
		{"desk, both kinds", post, "/v1/desk/intake-log", desk, `{"body":{"bad":1},"prompt":"p"}`, unsafe, 400, errs.CodeInvalid},
		{"desk, prompt for a service", post, "/v1/desk/intake-log", desk, `{"prompt":"bad","max_tokens":1}`, unsafe, 400, errs.CodeInvalid},
		{"desk, bad time-out", post, "/v1/desk/intake-log", desk, `{"body":{"bad":1}}`, []string{"X-Timeout-Ms", "soon"}, 400, errs.CodeInvalid},
		{"desk, bad unsafe header", post, "/v1/desk/intake-log", desk, `{"body":{"bad":1}}`, []string{"X-Unsafe", "perhaps"}, 400, errs.CodeInvalid},
		{"desk, bad key", post, "/v1/desk/intake-log", desk, `{"body":{"bad":1}}`, []string{"Idempotency-Key", "a b"}, 400, errs.CodeInvalid},
		{"desk, oversized", post, "/v1/desk/intake-log", desk, `{"body":"` + strings.Repeat("x", api.MaxSmallBodyBytes) + `"}`, unsafe, 413, errs.CodeTooLarge},
		{"desk, no token", post, "/v1/desk/intake-log", "", `{"body":{"bad":1}}`, unsafe, 401, errs.CodeUnauthenticated},
		{"config, not JSON", post, "/v1/config", operator, `[`, nil, 400, errs.CodeInvalid},
		{"config, unknown field", post, "/v1/config", operator, `{"owner":"x",` + valid[1:], nil, 400, errs.CodeInvalid},
		{"config, unknown home", post, "/v1/config", operator, strings.ReplaceAll(valid, `"home":"kolfe"`, `"home":"addis"`), nil, 400, errs.CodeInvalid},
		{"config, version 0", post, "/v1/config", operator, string(confstate.CanonicalJSON(testConfig(0))), nil, 400, errs.CodeInvalid},
		{"config, oversized", post, "/v1/config", operator, strings.Repeat(" ", api.MaxBodyBytes+1), nil, 413, errs.CodeTooLarge},
		{"config, trainer's token", post, "/v1/config", trainer, valid, nil, 401, errs.CodeUnauthenticated},
		{"drain, no token", post, "/v1/drain", "", ``, nil, 401, errs.CodeUnauthenticated},
		{"announcement, unknown kind", post, "/v1/targets/announce", "", `{"id":"engine-x","incarnation":1,"failure_domain":"kolfe","pool":"sorting","address":"127.0.0.1:1","kind":"other","slots":1}`, nil, 400, errs.CodeInvalid},
		{"announcement, no slots", post, "/v1/targets/announce", "", `{"id":"engine-x","incarnation":1,"failure_domain":"kolfe","pool":"sorting","address":"127.0.0.1:1","kind":"engine","slots":0}`, nil, 400, errs.CodeInvalid},
		{"unknown endpoint", get, "/v2/steps", trainer, ``, nil, 404, errs.CodeNotFound},
		{"unknown method", http.MethodDelete, "/v1/steps/none", trainer, ``, nil, 404, errs.CodeNotFound},
	}
}

// TestBadInput guards P5 and P9 against malformed, oversized, unknown and unauthenticated
// input: each request must get one error object with the outcome not_run, and must change no
// state.
func TestBadInput(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{targetsPerDomain: 1})
	before := c.fingerprint()
	for _, host := range []string{"kolfe-1", "akaki-2"} {
		for _, in := range badInputs() {
			a, err := c.call(host, in.method, in.path, in.token, []byte(in.body), in.header...)
			if err != nil || !hasError(a, in.status, in.code, errs.NotRun) {
				t.Errorf("%s through %s: %v %d %.300s", in.name, host, err, a.status, a.body)
			}
			var object map[string]json.RawMessage
			if json.Unmarshal(a.body, &object) != nil || len(object) != 1 {
				t.Errorf("%s through %s: not one error object: %.300s", in.name, host, a.body)
			}
		}
		c.sendGarbage(host)
	}
	// Refused requests must not take effect later either.
	time.Sleep(500 * time.Millisecond)
	if after := c.fingerprint(); !reflect.DeepEqual(before, after) {
		t.Errorf("bad input changed the state: before %+v, after %+v", before, after)
	}
	if n := c.executionCount(`{"bad":1}`) + c.executionCount("bad"); n != 0 {
		t.Errorf("P5: requests that were refused as not run ran %d times", n)
	}
	d := c.newDesk(demo.DeskToken, "intake-log", c.domainURLs(""))
	if _, err := d.Do(c.ctx, unsafeRequest("good")); err != nil {
		t.Errorf("a good request after bad input: %v", err)
	}
}

// sendGarbage sends bytes that are invalid in every protocol to the HTTP, peer and membership
// ports of a host.
func (c *cluster) sendGarbage(host string) {
	c.t.Helper()
	peer := strings.Replace(c.processes[host].http, ":7000", ":7001", 1)
	for _, to := range [][2]string{{"tcp", c.processes[host].http}, {"tcp", peer}, {"udp", peer}} {
		conn, err := net.Dial(to[0], to[1])
		if err != nil {
			c.t.Fatal(err)
		}
		_, _ = conn.Write([]byte(strings.Repeat("\x00\xff{[\r\n\r\n", 200)))
		_ = conn.Close()
	}
}

// fingerprint returns the state of each host that bad input must not change.
func (c *cluster) fingerprint() map[string][]any {
	c.t.Helper()
	state := make(map[string][]any)
	for _, name := range c.hostNames {
		s, err := c.status(name)
		if err != nil {
			c.t.Fatal(err)
		}
		targets := 0
		for _, h := range s.Hosts {
			if h.State != "alive" {
				targets--
			}
		}
		for _, t := range s.Targets {
			if t.Load.Running == 0 {
				targets++
			}
		}
		open := 0
		if s.Work != nil {
			open = s.Work.OpenSlots
		}
		state[name] = []any{s.ConfigVersion, s.ConfigDigest, s.Incarnation, s.Ready, targets, open}
	}
	return state
}
