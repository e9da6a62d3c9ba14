package replay

import (
	"time"

	"fuchsiaflow/retry"
)

// Begin claims a key for a host. Run names the run in case it is granted.
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

// HostLost ends the claims of a host up to an incarnation.
type HostLost struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Expire removes claims whose time is over.
type Expire struct{}

// Restore continues with a table that is restored from its snapshot.
type Restore struct{}

var claimsEvents = map[string]func() any{
	"begin": new1[Begin], "finish": new1[Finish], "host_lost": new1[HostLost], "expire": new1[Expire], "restore": new1[Restore],
}

type claimsMachine struct {
	table *retry.ClaimTable
	runs  map[string]retry.ClaimCommand
	byKey map[[2]string]int // granted runs that were not released
	total int
}

func newClaimsMachine() machine {
	return &claimsMachine{table: retry.NewClaimTable(), runs: map[string]retry.ClaimCommand{}, byKey: map[[2]string]int{}}
}

func (m *claimsMachine) play(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *Begin:
		return m.begin(now, e), nil
	case *Finish:
		return m.finish(now, e)
	case *HostLost:
		r := m.table.Apply(retry.ClaimCommand{Kind: retry.HostLost, At: now.UnixMilli(), Host: e.Host, Incarnation: e.Incarnation})
		return string(r.Status), nil
	case *Expire:
		return string(m.table.Apply(retry.ClaimCommand{Kind: retry.Expire, At: now.UnixMilli()}).Status), nil
	default:
		return "restored", m.restore()
	}
}

func (m *claimsMachine) begin(now time.Time, e *Begin) string {
	c := retry.ClaimCommand{Kind: retry.Begin, At: now.UnixMilli(), Tenancy: e.Tenancy, Key: e.Key, Digest: e.Digest,
		Host: e.Host, Incarnation: e.Incarnation, TTLMillis: e.TTLMS}
	r := m.table.Apply(c)
	switch r.Status {
	case retry.Granted:
		c.GrantID = r.GrantID
		m.runs[e.Run] = c
		m.byKey[[2]string{e.Tenancy, e.Key}]++
		m.total++
	case retry.Done:
		return "done " + string(r.Answer)
	}
	return string(r.Status)
}

func (m *claimsMachine) finish(now time.Time, e *Finish) (string, error) {
	c, ok := m.runs[e.Run]
	if !ok {
		return unknownName("run", e.Run)
	}
	c.Kind, c.At, c.Outcome, c.Answer = retry.Finish, now.UnixMilli(), e.Outcome, []byte(e.Answer)
	r := m.table.Apply(c)
	if r.Status == retry.Released {
		m.byKey[[2]string{c.Tenancy, c.Key}]--
	}
	return string(r.Status), nil
}

func (m *claimsMachine) restore() error {
	data, err := m.table.Snapshot()
	if err != nil {
		return err
	}
	m.table = retry.NewClaimTable()
	return m.table.Restore(data)
}

func (m *claimsMachine) counts() map[string]int {
	counts := map[string]int{"granted": m.total, "claims": m.table.Len()}
	for _, n := range m.byKey {
		counts["most_runs_of_a_key"] = max(counts["most_runs_of_a_key"], n)
	}
	return counts
}
