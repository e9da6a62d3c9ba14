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

// TestMain sets a fixed seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const simulationTTLMillis = 1000

// simulatedRun records what happened in one granted run. Only the oracle reads it.
type simulatedRun struct {
	cmd     ClaimCommand // the Begin that was granted
	grant   uint64
	notRun  bool // the claim was released because the request did not run
	answer  string
	expires int64
}

// claimSimulation sends the commands of three hosts to two replicas. Every command may be applied
// again at any later time, like a resend after a lost answer.
type claimSimulation struct {
	fault        string
	replicas     [2]*ClaimTable
	now          int64
	sentCommands []ClaimCommand
	runs         []*simulatedRun
	newestRun    map[claimKey]*simulatedRun
	incarnations [3]uint64
}

// apply applies a command to both replicas. It returns the result and a description of the failed
// check, or "".
func (s *claimSimulation) apply(cmd ClaimCommand) (ClaimResult, string) {
	s.sentCommands = append(s.sentCommands, cmd)
	var results [2]ClaimResult
	for i, c := range s.replicas {
		results[i] = s.applyWithFault(c, cmd)
	}
	if results[0].Status != results[1].Status || !bytes.Equal(results[0].Answer, results[1].Answer) {
		return results[0], fmt.Sprintf("replicas returned different results: %+v and %+v", results[0], results[1])
	}
	if cmd.Kind == Begin {
		return results[0], s.checkBegin(cmd, results[0])
	}
	return results[0], ""
}

// applyWithFault applies a command to a replica and injects the fault.
func (s *claimSimulation) applyWithFault(c *ClaimTable, cmd ClaimCommand) ClaimResult {
	existing := c.claims[claimKey{cmd.Tenancy, cmd.Key}]
	switch {
	case s.fault == "grant not checked" && cmd.Kind == Finish && existing != nil:
		cmd.GrantID = existing.GrantID
	case s.fault == "holder not checked" && cmd.Kind == Finish && existing != nil:
		cmd.Host, cmd.Incarnation, cmd.GrantID = existing.Host, existing.Incarnation, existing.GrantID
	case s.fault == "tenancies share keys" && cmd.Tenancy != "":
		cmd.Tenancy = "all"
	}
	r := c.Apply(cmd)
	for k, cl := range c.claims {
		if cl.State == claimUnknown && (s.fault == "lost host releases" && cmd.Kind == HostLost || s.fault == "unknown expires" && cmd.Kind == Expire) {
			delete(c.claims, k)
		}
	}
	return r
}

// checkBegin is the oracle. A run may be granted only if no earlier run of the key may have run
// within its TTL, and a returned answer must be that of the newest run.
func (s *claimSimulation) checkBegin(cmd ClaimCommand, r ClaimResult) string {
	k := claimKey{cmd.Tenancy, cmd.Key}
	previous := s.newestRun[k]
	mayHaveRun := previous != nil && !previous.notRun
	switch r.Status {
	case Granted:
		if mayHaveRun && (previous.answer == "" || s.now < previous.expires) {
			return fmt.Sprintf("key %v ran twice: grants %d and %d", k, previous.grant, r.GrantID)
		}
		run := &simulatedRun{cmd: cmd, grant: r.GrantID, expires: cmd.At + cmd.TTLMillis}
		s.runs, s.newestRun[k] = append(s.runs, run), run
	case Done:
		if !mayHaveRun || string(r.Answer) != previous.answer {
			return fmt.Sprintf("key %v returned the wrong answer %q", k, r.Answer)
		}
	case InProgress, ClaimUnknown, ClaimConflict:
		if previous == nil {
			return fmt.Sprintf("key %v is %s but never ran", k, r.Status)
		}
	}
	return ""
}

// step performs a random action and returns a description of the failed check, or "".
func (s *claimSimulation) step(t *rapid.T) string {
	h := rapid.IntRange(0, 2).Draw(t, "host")
	host := fmt.Sprint("host-", h)
	var violation string
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		_, violation = s.apply(ClaimCommand{
			Kind: Begin, At: s.now, TTLMillis: simulationTTLMillis, Host: host, Incarnation: s.incarnations[h],
			Tenancy: rapid.SampledFrom([]string{"desk-a", "desk-b"}).Draw(t, "tenancy"),
			Key:     rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			Digest:  rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(t, "digest"),
		})
	case 3, 4:
		violation = s.finishRandomRun(t)
	case 5, 6:
		if len(s.sentCommands) > 0 {
			cmd := s.sentCommands[rapid.IntRange(0, len(s.sentCommands)-1).Draw(t, "resend")]
			_, violation = s.apply(cmd)
		}
	case 7:
		_, violation = s.apply(ClaimCommand{Kind: HostLost, At: s.now, Host: host, Incarnation: s.incarnations[h]})
		s.incarnations[h] += uint64(rapid.IntRange(0, 1).Draw(t, "restarted"))
	case 8:
		s.now += int64(rapid.IntRange(1, simulationTTLMillis).Draw(t, "passed"))
		_, violation = s.apply(ClaimCommand{Kind: Expire, At: s.now})
	case 9:
		violation = s.restoreReplica()
	}
	return violation
}

// finishRandomRun sends Finish with a random outcome for a random run. A run that was reported as
// done or not run is not reported again.
func (s *claimSimulation) finishRandomRun(t *rapid.T) string {
	if len(s.runs) == 0 {
		return ""
	}
	run := s.runs[rapid.IntRange(0, len(s.runs)-1).Draw(t, "run")]
	outcome := rapid.SampledFrom([]Outcome{Ran, NotRun, Unknown}).Draw(t, "outcome")
	if run.answer != "" || run.notRun {
		return ""
	}
	cmd := run.cmd
	cmd.Kind, cmd.At, cmd.GrantID, cmd.Outcome = Finish, s.now, run.grant, outcome
	cmd.Answer = []byte(fmt.Sprint("answer ", run.grant))
	r, violation := s.apply(cmd)
	run.notRun = r.Status == Released
	if r.Status == Done {
		run.answer = string(cmd.Answer)
	}
	return violation
}

// restoreReplica compares the snapshots of the replicas and replaces the second replica with a
// restored one.
func (s *claimSimulation) restoreReplica() string {
	a, _ := s.replicas[0].Snapshot()
	b, _ := s.replicas[1].Snapshot()
	if !bytes.Equal(a, b) {
		return "snapshots of replicas differ"
	}
	restored := NewClaimTable()
	if err := restored.Restore(b); err != nil {
		return err.Error()
	}
	if s.fault == "snapshot drops open claims" {
		for k, cl := range restored.claims {
			if cl.State == claimOpen {
				delete(restored.claims, k)
			}
		}
	}
	s.replicas[1] = restored
	return ""
}

func simulateClaims(t *rapid.T, fault string) string {
	s := &claimSimulation{fault: fault, newestRun: map[claimKey]*simulatedRun{}, replicas: [2]*ClaimTable{NewClaimTable(), NewClaimTable()}}
	for range 100 {
		if violation := s.step(t); violation != "" {
			return violation
		}
	}
	return ""
}

// Guards against a second run of a non-idempotent request when commands are resent, hosts are
// lost, replicas restart from a snapshot and claims expire (P6).
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	faultcheck.Verify(t, simulateClaims, "grant not checked", "holder not checked", "tenancies share keys",
		"lost host releases", "unknown expires", "snapshot drops open claims")
}
