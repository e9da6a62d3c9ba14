package replay

import (
	"time"

	"fuchsiaflow/retry"
)

// Begin claims a key for a host. Run is the name by which a Finish event refers to the run if it is
// granted.
type Begin struct {
	Tenancy     string `json:"tenancy"`
	Key         string `json:"key"`
	Digest      string `json:"digest"`
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	TTLMS       int64  `json:"ttl_ms"`
	Run         string `json:"run"`
}

// Finish records the outcome of a granted run.
type Finish struct {
	Run     string        `json:"run"`
	Outcome retry.Outcome `json:"outcome"`
	Answer  string        `json:"answer"`
}

// HostLost ends the claims of the incarnations of a host up to the given one.
type HostLost struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Expire removes expired entries: claims or, in a trace of targets, targets.
type Expire struct{}

// Restore replaces the state of the core by one that is restored from its snapshot.
type Restore struct{}

var claimsEvents = map[string]func() any{
	"begin": newEvent[Begin], "finish": newEvent[Finish], "host_lost": newEvent[HostLost], "expire": newEvent[Expire], "restore": newEvent[Restore],
}

// claimsReplayer replays a retry.ClaimTable.
type claimsReplayer struct {
	table     *retry.ClaimTable
	grants    map[string]retry.ClaimCommand // by the name of the run
	runsByKey map[[2]string]int             // by tenancy and key: granted runs that were not released
	granted   int
}

func newClaimsReplayer() replayer {
	return &claimsReplayer{table: retry.NewClaimTable(), grants: map[string]retry.ClaimCommand{}, runsByKey: map[[2]string]int{}}
}

func (rp *claimsReplayer) handle(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *Begin:
		return rp.begin(now, e), nil
	case *Finish:
		return rp.finish(now, e)
	case *HostLost:
		r := rp.table.Apply(retry.ClaimCommand{Kind: retry.HostLost, At: now.UnixMilli(), Host: e.Host, Incarnation: e.Incarnation})
		return string(r.Status), nil
	case *Expire:
		return string(rp.table.Apply(retry.ClaimCommand{Kind: retry.Expire, At: now.UnixMilli()}).Status), nil
	default:
		return "restored", rp.restore()
	}
}

func (rp *claimsReplayer) begin(now time.Time, e *Begin) string {
	c := retry.ClaimCommand{Kind: retry.Begin, At: now.UnixMilli(), Tenancy: e.Tenancy, Key: e.Key, Digest: e.Digest,
		Host: e.Host, Incarnation: e.Incarnation, TTLMillis: e.TTLMS}
	r := rp.table.Apply(c)
	switch r.Status {
	case retry.Granted:
		c.GrantID = r.GrantID
		rp.grants[e.Run] = c
		rp.runsByKey[[2]string{e.Tenancy, e.Key}]++
		rp.granted++
	case retry.Done:
		return "done " + string(r.Answer)
	}
	return string(r.Status)
}

func (rp *claimsReplayer) finish(now time.Time, e *Finish) (string, error) {
	c, ok := rp.grants[e.Run]
	if !ok {
		return unknownReference("run", e.Run)
	}
	c.Kind, c.At, c.Outcome, c.Answer = retry.Finish, now.UnixMilli(), e.Outcome, []byte(e.Answer)
	r := rp.table.Apply(c)
	if r.Status == retry.Released {
		rp.runsByKey[[2]string{c.Tenancy, c.Key}]--
	}
	return string(r.Status), nil
}

func (rp *claimsReplayer) restore() error {
	data, err := rp.table.Snapshot()
	if err != nil {
		return err
	}
	rp.table = retry.NewClaimTable()
	return rp.table.Restore(data)
}

func (rp *claimsReplayer) counts() map[string]int {
	counts := map[string]int{"granted": rp.granted, "claims": rp.table.Len()}
	for _, n := range rp.runsByKey {
		counts["most_runs_of_a_key"] = max(counts["most_runs_of_a_key"], n)
	}
	return counts
}
