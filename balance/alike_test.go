package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// variedRequest is a request in progress in shareWithEstimates.
type variedRequest struct {
	id         string
	begun, end time.Time
	started    int
}

// shareWithEstimates simulates targets with six slots that state three figures. Latencies are log-normal, whatever the load;
// those of the first and the last target are longer by a factor. It returns the part of the time in which choices use estimates.
func shareWithEstimates(targets int, sigma, perTarget, slower float64) float64 {
	const steps, step, median = 20_000, 2 * time.Millisecond, 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	b, list := New("d0"), candidates(targets)
	for i := range list {
		list[i].Incarnation, list[i].Slots = 1, 6
	}
	mean := median.Seconds() * math.Exp(sigma*sigma/2)
	arrivals := perTarget * float64(targets) * step.Seconds() / mean
	var running []variedRequest
	now, used := t0, 0
	for range steps {
		now = now.Add(step)
		kept := running[:0]
		for _, r := range running {
			if r.end.After(now) {
				kept = append(kept, r)
				continue
			}
			b.RecordLoad(now, r.id, LoadReport{Running: b.statsFor(r.id).inflight, Slots: 6})
			b.FinishedAmong(now, r.id, OK, now.Sub(r.begun), r.started)
		}
		running = kept
		for range int(rng.Float64() + arrivals) {
			c, _, ok := b.Pick(now, list, nil)
			if !ok {
				continue
			}
			latency := float64(median) * math.Exp(sigma*rng.NormFloat64())
			if c.ID == list[0].ID || c.ID == list[targets-1].ID {
				latency *= slower
			}
			running = append(running, variedRequest{c.ID, now, now.Add(time.Duration(latency)), b.Started(c.ID)})
		}
		if s := b.services[""]; s != nil && s.usesEstimates {
			used++
		}
	}
	return float64(used) / steps
}

// Guards against estimates for targets that are alike, because one of many seems to differ by chance while the lengths of
// requests vary, and against none for targets that differ.
func TestChanceIsNoSpeedClass(t *testing.T) {
	for _, sigma := range []float64{0.3, 0.6, 1} {
		for _, targets := range []int{3, 10, 30} {
			for _, perTarget := range []float64{0.3, 2} {
				if used := shareWithEstimates(targets, sigma, perTarget, 1); used > 0 {
					t.Errorf("%d targets, sigma %.1f, %.1f requests each: estimates are used for %.3f of the time", targets, sigma, perTarget, used)
				}
			}
		}
		// Without the estimates, many fast targets would leave no request for the slow ones.
		if used := shareWithEstimates(3, sigma, 4, 2.4); used < 0.75 { // from 10 s on
			t.Errorf("unlike targets, sigma %.1f: estimates are used for %.3f of the time", sigma, used)
		}
	}
}

// Guards against a difference between two targets that is not seen because a third one, which is slower or faster, has few
// results: choices avoid a slow target, and a new one has none yet.
func TestFewResultsHideNoSpeedClass(t *testing.T) {
	for name, third := range map[string]time.Duration{"slower": 100 * time.Millisecond, "faster": 5 * time.Millisecond} {
		b, list := New("d0"), candidates(3)
		now := t0
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			b.Pick(now, list, nil)
			latencies := []time.Duration{20 * time.Millisecond, 40 * time.Millisecond, third}
			for k, latency := range latencies {
				if k < 2 || i < 5 {
					b.Started(list[k].ID)
					b.Finished(now, list[k].ID, OK, latency)
				}
			}
		}
		if !b.services[""].usesEstimates {
			t.Errorf("estimates are not in use beside a %s target with five results", name)
		}
	}
}
