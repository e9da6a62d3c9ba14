package runner

import (
	"sync"
	"time"

	"fuchsiaflow/internal/identity"
	"fuchsiaflow/jobs"
	"fuchsiaflow/schedule"
)

// partialText is the text that was generated for an item so far. During a run, the goroutine of the run
// appends to it while the runner's loop commits it; mu guards it then.
type partialText struct {
	mu          sync.Mutex
	text        []byte
	lastEventID uint64 // ID of the last event, 0 before the first
	eventCount  int
	versions    []uint64 // weight versions that generated the text, ascending
	release     string   // software version of the engines that generated the text
	// writer is the engine that generated the last part; its zero value if that is not known.
	writer identity.Claim
	// committed is the prefix of the text that is committed.
	committed jobs.Prefix
	// proposedEvents is the number of events included in the last proposal.
	proposedEvents int
	// complete is set when the text is whole, and completeCommitted when that is committed.
	complete, completeCommitted bool
	updatedAt                   time.Time // end of the last run, or load from the committed state
}

// events returns the number of events of a text, 0 for nil.
func (p *partialText) events() int {
	if p == nil {
		return 0
	}
	return p.eventCount
}

// remainingTokens estimates the number of output tokens still to be generated. If the text already
// reaches the client's estimate, the item is a long one, and half of its present length is assumed.
func (p *partialText) remainingTokens(estimate int) int {
	generated := p.eventCount * schedule.TokensPerEvent
	if left := estimate - generated; left > schedule.TokensPerEvent {
		return left
	}
	return max(generated/2, schedule.TokensPerEvent)
}

// scheduled returns the text as the scheduler knows it.
func (p *partialText) scheduled() schedule.Partial {
	return schedule.Partial{Events: p.eventCount, Release: p.release}
}

// requiredVersion returns the weight version that a resumed run must use, or 0 for any.
func (p *partialText) requiredVersion(j *openJob) uint64 {
	if j.SingleVersion && len(p.versions) == 1 {
		return p.versions[0]
	}
	return 0
}
