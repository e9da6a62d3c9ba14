package confstate

import (
	"fmt"
	"testing"
)

// largeConfig has the size of two years from now: 8 trainers, 27 desks and 50 pools.
func largeConfig() *Config {
	c := &Config{Version: 1, WeightStore: WeightStoreLimits{50, 8}, Queues: QueueLimits{256, 2048}}
	bound := uint64(2)
	for i := range 50 {
		p := Pool{Name: fmt.Sprint("pool-", i), Kind: Engine, Models: []string{"model"}}
		p.Targets = AdmissionPolicy{Admit: []string{fmt.Sprintf("pool-%d-*", i)}, Retire: []string{fmt.Sprintf("pool-%d-3", i)}}
		c.Pools = append(c.Pools, p)
	}
	for i := range 35 {
		t := Tenancy{
			Name: fmt.Sprint("tenancy-", i), Kind: Desk, Home: fmt.Sprint("domain-", i%19), Model: "model",
			TokenSHA256: TokenDigest(fmt.Sprint(i)), Pools: []string{"pool-1", fmt.Sprint("pool-", 2+i)},
			Limits: &Limits{6000, 1_000_000, 0.1},
		}
		if i < 8 {
			t.Kind, t.StalenessBound, t.Policy = Trainer, &bound, &SchedulingPolicy{3, 1}
		}
		c.Tenancies = append(c.Tenancies, t)
	}
	return c
}

func BenchmarkParse(b *testing.B) {
	body := CanonicalJSON(largeConfig())
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for range b.N {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	c := largeConfig()
	b.ReportAllocs()
	for range b.N {
		Digest(c)
	}
}

// BenchmarkCatchUp measures a host that applies the versions it missed, or a snapshot in their
// place, and activates the newest one.
func BenchmarkCatchUp(b *testing.B) {
	c := largeConfig()
	var changes []Change
	for v := range uint64(501) {
		c.Version = v + 1
		changes = append(changes, NewChange(c, "operator"))
	}
	full := NewStore()
	for _, ch := range changes {
		full.Apply(ch)
	}
	snapshot, _ := full.Snapshot()
	replay := func(behind int) func(*Store) {
		return func(s *Store) {
			for _, ch := range changes[len(changes)-behind:] {
				s.Apply(ch)
			}
		}
	}
	ways := map[string]func(*Store){
		"log/behind=1": replay(1), "log/behind=500": replay(500),
		"snapshot/behind=500": func(s *Store) { _ = s.Restore(snapshot) },
	}
	for name, catchUp := range ways {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				s, a := NewStore(), NewActivator()
				catchUp(s)
				_, err := a.Confirm(s.Current())
				if c, parseErr := a.Active().Config(); err != nil || parseErr != nil || c.Version != 501 {
					b.Fatal(err, parseErr)
				}
			}
		})
	}
}
