package host

import (
	"testing"

	"fuchsiaflow/confstate"
)

// Guards against hosts of a partitioned failure domain that together spend more of a quota than the
// domain's cut-off share, and against a cut-off share of a quota whose home is the domain itself.
func TestCutOffSharesStayWithinDomainShare(t *testing.T) {
	quota := &confstate.Limits{RequestsPerMinute: 1000, TokensPerMinute: 100_000, CutOffShare: 0.1}
	cfg := &confstate.Config{Tenancies: []confstate.Tenancy{
		{Name: "remote", Home: "kolfe", Limits: quota}, {Name: "own", Home: "akaki", Limits: quota}, {Name: "free", Home: "kolfe"},
	}}
	for _, hosts := range []int{1, 2, 7, 22} {
		shares := cutOffShares(cfg, "akaki", 3, hosts)
		if len(shares) != 1 {
			t.Fatalf("cut-off shares for %d tenancies, want 1", len(shares))
		}
		share := shares["remote"]
		if n := int64(hosts); share.Requests*n > 100 || share.Tokens*n > 10_000 {
			t.Errorf("%d hosts may spend %d requests and %d tokens together, want at most 100 and 10000", hosts, share.Requests*n, share.Tokens*n)
		}
	}
}
