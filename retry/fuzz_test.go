package retry

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const worldTTL = 1000

// worldRun is the truth about one granted run, known to the oracle only.
type worldRun struct {
	cmd     ClaimCommand // the Begin that was granted
	grant   uint64
	notRun  bool // the host knows that nothing ran
	answer  string
	expires int64
}

// world sends commands of three hosts to two replicas. Every command may be applied again at
// any later time, as a resend whose first answer was lost.
type world struct {
	fault    string
	replicas [2]*ClaimTable
	now      int64
	sent     []ClaimCommand
	runs     []*worldRun
	last     map[claimKey]*worldRun // newest run of a key
	inc      [3]uint64
}

func (w *world) apply(cmd ClaimCommand) (ClaimResult, string) {
	w.sent = append(w.sent, cmd)
	var out [2]ClaimResult
	for i, c := range w.replicas {
		out[i] = w.applyFaulty(c, cmd)
	}
	if out[0].Status != out[1].Status || !bytes.Equal(out[0].Answer, out[1].Answer) {
		return out[0], fmt.Sprintf("replicas decided %+v and %+v", out[0], out[1])
	}
	if cmd.Kind == Begin {
		return out[0], w.checkBegin(cmd, out[0])
	}
	return out[0], ""
}

func (w *world) applyFaulty(c *ClaimTable, cmd ClaimCommand) ClaimResult {
	have := c.claims[claimKey{cmd.Tenancy, cmd.Key}]
	switch {
	case w.fault == "grant not checked" && cmd.Kind == Finish && have != nil:
		cmd.GrantID = have.Grant
	case w.fault == "holder not checked" && cmd.Kind == Finish && have != nil:
		cmd.Host, cmd.Incarnation, cmd.GrantID = have.Host, have.Incarnation, have.Grant
	case w.fault == "tenancies share keys" && cmd.Tenancy != "":
		cmd.Tenancy = "all"
	}
	r := c.Apply(cmd)
	for k, cl := range c.claims {
		if cl.State == claimUnknown && (w.fault == "lost host releases" && cmd.Kind == HostLost || w.fault == "unknown expires" && cmd.Kind == Expire) {
			delete(c.claims, k)
		}
	}
	return r
}

// checkBegin is the oracle: a run is granted only if no earlier run of the key may have run
// within its TTL, and an answer is the one of that run.
func (w *world) checkBegin(cmd ClaimCommand, r ClaimResult) string {
	k := claimKey{cmd.Tenancy, cmd.Key}
	last := w.last[k]
	mayHaveRun := last != nil && !last.notRun
	switch r.Status {
	case Granted:
		if mayHaveRun && (last.answer == "" || w.now < last.expires) {
			return fmt.Sprintf("key %v ran twice: grants %d and %d", k, last.grant, r.GrantID)
		}
		run := &worldRun{cmd: cmd, grant: r.GrantID, expires: cmd.At + cmd.TTLMillis}
		w.runs, w.last[k] = append(w.runs, run), run
	case Done:
		if !mayHaveRun || string(r.Answer) != last.answer {
			return fmt.Sprintf("key %v was answered with %q", k, r.Answer)
		}
	case InProgress, ClaimUnknown, ClaimConflict:
		if last == nil {
			return fmt.Sprintf("key %v is %s but never ran", k, r.Status)
		}
	}
	return ""
}

func (w *world) step(t *rapid.T) string {
	h := rapid.IntRange(0, 2).Draw(t, "host")
	host := fmt.Sprint("host-", h)
	var bad string
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		_, bad = w.apply(ClaimCommand{
			Kind: Begin, At: w.now, TTLMillis: worldTTL, Host: host, Incarnation: w.inc[h],
			Tenancy: rapid.SampledFrom([]string{"desk-a", "desk-b"}).Draw(t, "tenancy"),
			Key:     rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			Digest:  rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(t, "digest"),
		})
	case 3, 4:
		bad = w.finishRun(t)
	case 5, 6:
		if len(w.sent) > 0 {
			cmd := w.sent[rapid.IntRange(0, len(w.sent)-1).Draw(t, "resend")]
			_, bad = w.apply(cmd)
		}
	case 7:
		_, bad = w.apply(ClaimCommand{Kind: HostLost, At: w.now, Host: host, Incarnation: w.inc[h]})
		w.inc[h] += uint64(rapid.IntRange(0, 1).Draw(t, "restarted"))
	case 8:
		w.now += int64(rapid.IntRange(1, worldTTL).Draw(t, "passed"))
		_, bad = w.apply(ClaimCommand{Kind: Expire, At: w.now})
	case 9:
		bad = w.restore()
	}
	return bad
}

// finishRun lets the host of a run report. It tells the truth about not_run.
func (w *world) finishRun(t *rapid.T) string {
	if len(w.runs) == 0 {
		return ""
	}
	run := w.runs[rapid.IntRange(0, len(w.runs)-1).Draw(t, "run")]
	outcome := rapid.SampledFrom([]Outcome{Ran, NotRun, Unknown}).Draw(t, "outcome")
	if run.answer != "" || run.notRun {
		return ""
	}
	cmd := run.cmd
	cmd.Kind, cmd.At, cmd.GrantID, cmd.Outcome = Finish, w.now, run.grant, outcome
	cmd.Answer = []byte(fmt.Sprint("answer ", run.grant))
	r, bad := w.apply(cmd)
	run.notRun = r.Status == Released
	if r.Status == Done {
		run.answer = string(cmd.Answer)
	}
	return bad
}

func (w *world) restore() string {
	a, _ := w.replicas[0].Snapshot()
	b, _ := w.replicas[1].Snapshot()
	if !bytes.Equal(a, b) {
		return "snapshots of replicas differ"
	}
	fresh := NewClaimTable()
	if err := fresh.Restore(b); err != nil {
		return err.Error()
	}
	if w.fault == "snapshot drops open claims" {
		for k, cl := range fresh.claims {
			if cl.State == claimOpen {
				delete(fresh.claims, k)
			}
		}
	}
	w.replicas[1] = fresh
	return ""
}

func runWorld(t *rapid.T, fault string) string {
	w := &world{fault: fault, last: map[claimKey]*worldRun{}, replicas: [2]*ClaimTable{NewClaimTable(), NewClaimTable()}}
	for range 100 {
		if bad := w.step(t); bad != "" {
			return bad
		}
	}
	return ""
}

// Guards against a second run of an unsafe request under resends, lost hosts, restarts from a
// snapshot and expiry (P6).
func TestClaimNeverRunsTwice(t *testing.T) {
	faultcheck.Verify(t, runWorld, "grant not checked", "holder not checked", "tenancies share keys",
		"lost host releases", "unknown expires", "snapshot drops open claims")
}
