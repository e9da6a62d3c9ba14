package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Deployment describes a customer's fleet and workload.
type Deployment struct {
	Name           string
	Domains        []string
	ModelReplicas  int
	DeskReplicas   int
	Trainers       int
	StalenessBound uint64 // versions
}

// Deployments returns the two deployments of the design page.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "drumworks", Domains: []string{"kolfe", "akaki", "yeka"}, ModelReplicas: 10, DeskReplicas: 3, Trainers: 3, StalenessBound: 2},
		{Name: "caal-ixcoy", Domains: []string{"quetzaltenango", "totonicapan", "solola"}, ModelReplicas: 10, DeskReplicas: 3, Trainers: 2, StalenessBound: 1},
	}
}

const (
	samplesPerCycle      = 2304 // per step of all trainers together
	groupSize            = 16
	trainDuration        = 110 * time.Second
	stepDeadline         = 4 * time.Minute
	samplePromptTokens   = 2048
	sampleMedianTokens   = 200
	sampleSigma          = 1.0 // log-normal: the 99th percentile is about ten times the median
	sampleMaxTokens      = 4096
	shortMaxTokens       = 1024 // token limit of prompts with short answers
	deskPromptTokens     = 512
	deskPromptCount      = 50
	deskMedianTokens     = 60
	deskSigma            = 0.7
	deskMaxTokens        = 400
	deskExpectedTokens   = 77 // mean output length of desk requests
	sampleExpectedTokens = 330
	deskDeadline         = 10 * time.Second
	deskAttempts         = 3
)

// randomStreams holds independent random sources, so that the decisions of a policy do not change the
// workload.
type randomStreams struct {
	arrival, fault, swap, cache, policy *rand.Rand
	seed                                uint64
}

func newRandomStreams(seed uint64) randomStreams {
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	return randomStreams{arrival: stream(1), fault: stream(2), swap: stream(3), cache: stream(4), policy: stream(5), seed: seed}
}

func lognormal(r *rand.Rand, median, sigma float64, limit int) int {
	return max(1, min(limit, int(median*math.Exp(sigma*r.NormFloat64()))))
}

// outputLength returns the actual output length of a slot: a factor of the prompt times a factor of the
// sample, both log-normal. It does not depend on the policy.
func outputLength(seed uint64, promptID uint64, slot int) int {
	promptRand := rand.New(rand.NewPCG(seed, promptID))
	difficulty := promptRand.NormFloat64()
	sampleRand := rand.New(rand.NewPCG(seed^promptID, uint64(slot)))
	// The squared weights add up to 1, so that sampleSigma is the standard deviation of the sum.
	z := 0.6*difficulty + 0.8*sampleRand.NormFloat64()
	return max(1, min(maxTokens(seed, promptID), int(sampleMedianTokens*math.Exp(sampleSigma*z))))
}

// maxTokens returns the token limit that the trainer requests, which is lower for easy prompts.
func maxTokens(seed uint64, promptID uint64) int {
	if rand.New(rand.NewPCG(seed, promptID)).NormFloat64() < 0 {
		return shortMaxTokens
	}
	return sampleMaxTokens
}

func promptID(tenancy string, step, group int) uint64 {
	return xxhash.Sum64String(tenancy)<<32 | uint64(step)<<12 | uint64(group)
}
