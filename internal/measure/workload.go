package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Deployment is a customer's fleet.
type Deployment struct {
	Name          string
	Domains       []string
	ModelReplicas int
	DeskReplicas  int
	Trainers      int
	Bound         uint64 // staleness
}

// Deployments returns the two users of the design page.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "drumworks", Domains: []string{"kolfe", "akaki", "yeka"}, ModelReplicas: 10, DeskReplicas: 3, Trainers: 3, Bound: 2},
		{Name: "caal-ixcoy", Domains: []string{"quetzaltenango", "totonicapan", "solola"}, ModelReplicas: 10, DeskReplicas: 3, Trainers: 2, Bound: 1},
	}
}

const (
	samplesPerCycle = 2304 // of all trainers together
	groupSize       = 16
	trainTime       = 110 * time.Second
	stepDeadline    = 4 * time.Minute
	samplePrompt    = 2048 // tokens
	sampleMedian    = 200
	sampleSigma     = 1.0 // log-normal: the 99th percentile is about ten times the median
	sampleMax       = 4096
	shortMax        = 1024 // stated limit of prompts with short answers
	deskPrompt      = 512
	deskPrompts     = 50
	deskMedian      = 60
	deskSigma       = 0.7
	deskMax         = 400
	deskExpected    = 77 // mean of the desk's output lengths
	sampleExpected  = 330
	deskDeadline    = 10 * time.Second
	deskAttempts    = 3
)

// streams are independent random sources, so that one policy's decisions do not change the
// workload of the run.
type streams struct {
	arrival, fault, swap, cache, policy *rand.Rand
	seed                                uint64
}

func newStreams(seed uint64) streams {
	s := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	return streams{arrival: s(1), fault: s(2), swap: s(3), cache: s(4), policy: s(5), seed: seed}
}

func lognormal(r *rand.Rand, median, sigma float64, top int) int {
	return max(1, min(top, int(median*math.Exp(sigma*r.NormFloat64()))))
}

// slotLength is the true output length of a slot: the prompt's difficulty times the sample's
// own variation. It does not depend on the policy.
func slotLength(seed uint64, promptID uint64, slot int) int {
	p := rand.New(rand.NewPCG(seed, promptID))
	difficulty := p.NormFloat64()
	s := rand.New(rand.NewPCG(seed^promptID, uint64(slot)))
	// Variances add up to sampleSigma squared.
	z := 0.6*difficulty + 0.8*s.NormFloat64()
	return max(1, min(maxTokens(seed, promptID), int(sampleMedian*math.Exp(sampleSigma*z))))
}

// maxTokens is the limit that the trainer states: easy prompts get a short one.
func maxTokens(seed uint64, promptID uint64) int {
	if rand.New(rand.NewPCG(seed, promptID)).NormFloat64() < 0 {
		return shortMax
	}
	return sampleMax
}

func promptID(tenancy string, step, group int) uint64 {
	return xxhash.Sum64String(tenancy)<<32 | uint64(step)<<12 | uint64(group)
}
