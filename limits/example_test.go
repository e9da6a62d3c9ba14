package limits_test

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/limits"
)

// A host without a share asks the home for one after its first refusal.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	home := limits.NewAllocator(limits.AllocatorConfig{Quotas: map[string]limits.Amount{"intake": {Requests: 10, Tokens: 1000}}})
	host := limits.NewLimiter(limits.LimiterConfig{Incarnation: 1})

	var exceeded *limits.Exceeded
	fmt.Println(errors.As(host.Reserve(now, "r1", "intake", 1, 400), &exceeded), exceeded.RetryAfter())
	for _, d := range host.Demands(now) {
		share, _ := home.Lease(now, "entry-1", d)
		host.ApplyShare(now, share)
	}
	fmt.Println(host.Reserve(now, "r1", "intake", 1, 400))
	host.Settle(now, "r1", 250)
	// Output:
	// true 1s
	// <nil>
}
