package measure

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFull runs the whole measurement when asked to; it takes tens of seconds.
func TestFull(t *testing.T) {
	if os.Getenv("FUCHSIAFLOW_MEASURE") == "" {
		t.Skip("set FUCHSIAFLOW_MEASURE=1 to run the whole measurement")
	}
	began := time.Now()
	if err := Run(Config{Seed: 1}).WriteText(os.Stdout); err != nil {
		t.Fatal(err)
	}
	t.Log(time.Since(began))
}

// Guards against broken promises to trainers in any policy, and against a run that differs
// from another with the same seed.
func TestShortRunIsRepeatableAndKeepsPromises(t *testing.T) {
	cfg := Config{Seed: 1, Duration: 6 * time.Minute, Deployments: Deployments()[:1]}
	first, second := Run(cfg), Run(cfg)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Fatalf("two runs of one seed differ: %s", diff)
	}
	for _, p := range first.Deployments[0].Policies {
		if n := p.SamplesLost + p.SamplesDoubled + p.SamplesOverBound; n != 0 || p.SamplesDelivered == 0 {
			t.Errorf("%s: %d broken promises in %d samples", p.Policy, n, p.SamplesDelivered)
		}
	}
}
