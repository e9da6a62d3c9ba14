package fakes

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"sync"
	"time"

	"fuchsiaflow/errs"
)

// DeskRequest is the body of a desk request. Either Prompt or Body is set. Audit identifies
// requests by their prompt or body, so each one must be unique.
type DeskRequest struct {
	Model          string          `json:"model,omitempty"`
	Prompt         string          `json:"prompt,omitempty"`
	MaxTokens      uint32          `json:"max_tokens,omitempty"`
	Body           json.RawMessage `json:"body,omitempty"`
	IdempotencyKey string          `json:"-"` // value of the Idempotency-Key header, optional
	Unsafe         bool            `json:"-"`
	Timeout        time.Duration   `json:"-"`
}

// DeskAnswer is the answer to a DeskRequest.
type DeskAnswer struct {
	RequestID string          `json:"request_id"`
	Output    string          `json:"output"`
	Body      json.RawMessage `json:"body"`
	Versions  []uint64        `json:"versions"`
	Tokens    uint32          `json:"tokens"`
}

// DeskStats counts the requests of a desk and their outcomes. Wrong, Mislabelled, UnsafeTwice and
// RanAfterNotRun count violated guarantees and must stay zero.
type DeskStats struct {
	Requests       int
	Answers        int
	Wrong          int // incomplete output, or not the answer to the request
	Mislabelled    int // answers whose versions are not those that produced the output
	NotRun         int // requests that ended as not_run
	Unknown        int // requests that ended as unknown
	Resent         int // repetitions of requests
	UnsafeTwice    int // unsafe requests that ran more than once; set by Audit
	RanAfterNotRun int // requests that ended as not_run but ran; set by Audit
}

// DeskOptions configures a Desk.
type DeskOptions struct {
	Hosts           []string // base URLs, used in round-robin order
	Token           string
	Pool            string
	VersionRecorder *VersionRecorder // checks the versions of answers; optional
	// MaxResends bounds the repetitions of a request that did not run, that is safe, or that has an
	// idempotency key. Zero means 5.
	MaxResends int
}

const defaultMaxResends = 5

// Desk is a client of the desk interface. It is safe for concurrent use.
type Desk struct {
	opts   DeskOptions
	client *hostClient

	mu           sync.Mutex
	stats        DeskStats
	unsafeInputs []string
	notRunInputs []string
}

// NewDesk returns a client for the hosts and the pool in o.
func NewDesk(o DeskOptions) *Desk {
	if o.MaxResends == 0 {
		o.MaxResends = defaultMaxResends
	}
	return &Desk{opts: o, client: newHostClient(o.Hosts, o.Token)}
}

// Close closes the idle connections.
func (d *Desk) Close() { d.client.close() }

// Stats returns a copy of the counts.
func (d *Desk) Stats() DeskStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Do sends a request and checks the answer. It repeats a request that did not run, and repeats one
// that may have run only if it is safe or has an idempotency key.
func (d *Desk) Do(ctx context.Context, r DeskRequest) (DeskAnswer, error) {
	d.mu.Lock()
	d.stats.Requests++
	if r.Unsafe {
		d.unsafeInputs = append(d.unsafeInputs, r.input())
	}
	d.mu.Unlock()
	var a DeskAnswer
	mayHaveRun := false
	var err error
	for i := range d.opts.MaxResends + 1 {
		if i > 0 {
			d.mu.Lock()
			d.stats.Resent++
			d.mu.Unlock()
			if sleep(ctx, max(retryPause, errs.RetryAfterOf(err))) != nil {
				break
			}
		}
		a = DeskAnswer{}
		err = d.client.post(ctx, "/v1/desk/"+url.PathEscape(d.opts.Pool), r.header(), r, &a)
		notRun := err != nil && errs.OutcomeOf(err) == errs.NotRun
		mayHaveRun = mayHaveRun || !notRun
		if err == nil || isPermanent(err) || !notRun && r.Unsafe && r.IdempotencyKey == "" {
			break
		}
	}
	d.recordResult(r, a, err, mayHaveRun)
	return a, err
}

func (r DeskRequest) header() map[string]string {
	h := make(map[string]string)
	if r.IdempotencyKey != "" {
		h["Idempotency-Key"] = r.IdempotencyKey
	}
	if r.Unsafe {
		h["X-Unsafe"] = "true"
	}
	if r.Timeout > 0 {
		h["X-Timeout-Ms"] = strconv.FormatInt(r.Timeout.Milliseconds(), 10)
	}
	return h
}

// input returns the prompt or body, which identifies the request.
func (r DeskRequest) input() string {
	if r.Body != nil {
		return string(r.Body)
	}
	return r.Prompt
}

func (d *Desk) recordResult(r DeskRequest, a DeskAnswer, err error, mayHaveRun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if mayHaveRun {
			d.stats.Unknown++
			return
		}
		d.stats.NotRun++
		d.notRunInputs = append(d.notRunInputs, r.input())
		return
	}
	d.stats.Answers++
	if r.Body != nil {
		if !IsCorrectAnswer(r.Body, a.Body) {
			d.stats.Wrong++
		}
		return
	}
	if !IsCompleteOutput(r.Prompt, r.MaxTokens, a.Output, a.Tokens) {
		d.stats.Wrong++
	}
	if len(a.Versions) == 0 || !d.opts.VersionRecorder.Matches(RequestIDOf(a.Output), a.Tokens, a.Versions) {
		d.stats.Mislabelled++
	}
}

// Audit compares the reported outcomes with the executions on the targets. The function executions
// returns how often a prompt or body ran on all targets together; see target.ExecutionsOfInput.
func (d *Desk) Audit(executions func(input string) int) DeskStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.UnsafeTwice, d.stats.RanAfterNotRun = 0, 0
	for _, input := range d.unsafeInputs {
		if executions(input) > 1 {
			d.stats.UnsafeTwice++
		}
	}
	for _, input := range d.notRunInputs {
		if executions(input) > 0 {
			d.stats.RanAfterNotRun++
		}
	}
	return d.stats
}
