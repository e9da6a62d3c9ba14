package fakes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"fuchsiaflow/errs"
)

const (
	defaultFetchWait = time.Second
	defaultFetchMax  = 256
	retryPause       = 20 * time.Millisecond
	maxAttempts      = 200 // per request, so that a test ends when no host answers
)

// Group requests several samples of one prompt.
type Group struct {
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`
	MaxTokens uint32 `json:"max_tokens"`
}

// StepRequest is the body of POST /v1/steps, which opens a step.
type StepRequest struct {
	Step      string  `json:"step"`
	Model     string  `json:"model"`
	Pool      string  `json:"pool"`
	Groups    []Group `json:"groups"`
	TimeoutMS int64   `json:"timeout_ms"`
}

// FetchRequest is the body of a fetch. Ack is the number of the last batch that the trainer received.
type FetchRequest struct {
	Ack     uint64 `json:"ack"`
	Max     int    `json:"max"`
	Version uint64 `json:"version"`
	WaitMS  int64  `json:"wait_ms"`
	// AckRevision is the revision of the acknowledged batch.
	AckRevision uint64 `json:"ack_revision,omitempty"`
}

// Sample is a sample of a batch.
type Sample struct {
	Slot     int      `json:"slot"`
	Group    int      `json:"group"`
	Output   string   `json:"output"`
	Tokens   uint32   `json:"tokens"`
	Versions []uint64 `json:"versions"`
}

// Batch is the answer to a fetch. A batch with number zero has no samples.
type Batch struct {
	Batch     uint64   `json:"batch"`
	Revision  uint64   `json:"revision"`
	Samples   []Sample `json:"samples"`
	Withdrawn []int    `json:"withdrawn"`
	Remaining int      `json:"remaining"`
	Complete  bool     `json:"complete"`
}

// PublishRequest is the body of POST /v1/weights, which publishes a weight version.
type PublishRequest struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// TrainerStats counts the samples of a trainer. Lost, Duplicated, Stale, Mislabelled, Wrong and
// OutOfOrder count violated guarantees and must stay zero.
type TrainerStats struct {
	Requested   int
	Delivered   int // distinct slots
	Duplicated  int
	Lost        int // slots not delivered when the step was reported complete
	Stale       int // samples over the staleness bound
	Mislabelled int // samples whose versions are not those that produced the output
	Wrong       int // unknown group or slot, or not the whole output for the group's prompt
	OutOfOrder  int // batches whose number does not follow the previous one
	Withdrawn   int
	Resent      int      // repetitions of requests
	Staleness   []uint64 // of each delivered sample, in versions
	// IdleTime is the total duration of the fetches that returned no samples.
	IdleTime time.Duration
}

// TrainerOptions configures a Trainer.
type TrainerOptions struct {
	Hosts           []string // base URLs, used in round-robin order
	Token           string
	Model           string
	Pool            string
	StalenessBound  uint64           // staleness bound in versions
	VersionRecorder *VersionRecorder // checks the versions of samples; optional
	// AnswerLossRate is the share of answers that the trainer discards, after which it repeats the request.
	AnswerLossRate float64
	Seed           uint64
	FetchMax       int
	FetchWait      time.Duration
}

// Trainer is a client of the trainer interface. It is safe for concurrent use.
type Trainer struct {
	opts   TrainerOptions
	client *hostClient

	mu        sync.Mutex
	rand      *rand.Rand
	published uint64
	stats     TrainerStats
}

// NewTrainer returns a client for the hosts and the pool in o.
func NewTrainer(o TrainerOptions) *Trainer {
	if o.FetchMax == 0 {
		o.FetchMax = defaultFetchMax
	}
	if o.FetchWait == 0 {
		o.FetchWait = defaultFetchWait
	}
	return &Trainer{opts: o, client: newHostClient(o.Hosts, o.Token), rand: rand.New(rand.NewPCG(o.Seed, 1))}
}

// Close closes the idle connections.
func (t *Trainer) Close() { t.client.close() }

// Stats returns a copy of the counts.
func (t *Trainer) Stats() TrainerStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.stats
	out.Staleness = append([]uint64(nil), t.stats.Staleness...)
	return out
}

// Publish publishes a weight version. It is idempotent, as all requests of the trainer are.
func (t *Trainer) Publish(ctx context.Context, version uint64) error {
	if err := t.postWithRetry(ctx, "/v1/weights", PublishRequest{t.opts.Model, version}, nil); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published = max(t.published, version)
	return nil
}

// RunStep opens a step and fetches batches until the step is complete.
func (t *Trainer) RunStep(ctx context.Context, id string, groups []Group, timeout time.Duration) error {
	step := StepRequest{Step: id, Model: t.opts.Model, Pool: t.opts.Pool, Groups: groups, TimeoutMS: timeout.Milliseconds()}
	if err := t.postWithRetry(ctx, "/v1/steps", step, nil); err != nil {
		return err
	}
	r := &stepRun{groups: groups, delivered: make(map[int]bool)}
	for _, g := range groups {
		r.requested += g.Samples
	}
	t.mu.Lock()
	t.stats.Requested += r.requested
	t.mu.Unlock()
	for {
		b, err := t.fetch(ctx, id, r)
		if err != nil {
			return err
		}
		if b.Complete && len(b.Samples) == 0 {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Lost += r.requested - len(r.delivered)
	return nil
}

// stepRun is the trainer's state of one step.
type stepRun struct {
	groups    []Group
	requested int
	ack       uint64
	delivered map[int]bool
	pending   Batch  // the last batch received, not acknowledged yet
	published uint64 // newest published version when pending was requested
}

// fetch acknowledges the pending batch and fetches the next one. The samples of a batch count once its
// acknowledgement is accepted: if part of the batch was withdrawn in the meantime, the acknowledgement
// is rejected as a conflict and the batch is fetched again.
func (t *Trainer) fetch(ctx context.Context, id string, r *stepRun) (Batch, error) {
	t.mu.Lock()
	// A version published after this point may race with the fetch, so it does not count towards the
	// staleness of the batch.
	published := t.published
	t.mu.Unlock()
	var b Batch
	began := time.Now()
	f := FetchRequest{Ack: r.ack, AckRevision: r.pending.Revision, Max: t.opts.FetchMax, Version: published, WaitMS: t.opts.FetchWait.Milliseconds()}
	err := t.postWithRetry(ctx, "/v1/steps/"+url.PathEscape(id)+"/fetch", f, &b)
	if errs.CodeOf(err) == errs.CodeConflict && err != nil && r.pending.Revision > 0 {
		r.ack--
		r.pending = Batch{}
		return Batch{}, nil
	}
	if err != nil {
		return Batch{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Withdrawn += len(b.Withdrawn)
	if len(b.Samples) == 0 {
		t.stats.IdleTime += time.Since(began)
	}
	for _, s := range r.pending.Samples {
		t.checkSample(s, r, r.published)
	}
	r.pending = Batch{}
	if b.Batch == 0 {
		return b, nil
	}
	if b.Batch != r.ack+1 {
		t.stats.OutOfOrder++
	}
	r.ack, r.pending, r.published = b.Batch, b, published
	return b, nil
}

func (t *Trainer) checkSample(s Sample, r *stepRun, published uint64) {
	if r.delivered[s.Slot] {
		t.stats.Duplicated++
		return
	}
	r.delivered[s.Slot] = true
	t.stats.Delivered++
	oldest := published
	for _, v := range s.Versions {
		oldest = min(oldest, v)
	}
	t.stats.Staleness = append(t.stats.Staleness, published-oldest)
	if published-oldest > t.opts.StalenessBound {
		t.stats.Stale++
	}
	if !t.opts.VersionRecorder.Matches(RequestIDOf(s.Output), s.Tokens, s.Versions) || len(s.Versions) == 0 {
		t.stats.Mislabelled++
	}
	if s.Group < 0 || s.Group >= len(r.groups) || s.Slot < 0 || s.Slot >= r.requested ||
		!IsCompleteOutput(r.groups[s.Group].Prompt, r.groups[s.Group].MaxTokens, s.Output, s.Tokens) {
		t.stats.Wrong++
	}
}

// postWithRetry repeats a request until a host answers it, at most maxAttempts times. It returns
// permanent errors at once.
func (t *Trainer) postWithRetry(ctx context.Context, path string, in, out any) error {
	var err error
	for range maxAttempts {
		var raw json.RawMessage
		err = t.client.post(ctx, path, nil, in, &raw)
		if err == nil && !t.loseAnswer() {
			return decodeAnswer(path, raw, out)
		}
		if err != nil && isPermanent(err) {
			return err
		}
		t.mu.Lock()
		t.stats.Resent++
		t.mu.Unlock()
		if err := sleep(ctx, max(retryPause, errs.RetryAfterOf(err))); err != nil {
			return &errs.Deadline{Operation: path, Outcome: errs.Unknown}
		}
	}
	return err
}

func (t *Trainer) loseAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opts.AnswerLossRate > 0 && t.rand.Float64() < t.opts.AnswerLossRate
}

// isPermanent reports whether a repetition of the request would fail with the same error.
func isPermanent(err error) bool {
	switch errs.CodeOf(err) {
	case errs.CodeInvalid, errs.CodeUnauthenticated, errs.CodeForbidden, errs.CodeNotFound, errs.CodeConflict, errs.CodeTooLarge:
		return true
	}
	return false
}
