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

// DeskRequest is a request of a desk. Either Prompt or Body is set. For the audit, each
// request needs a prompt or body of its own.
type DeskRequest struct {
	Model     string          `json:"model,omitempty"`
	Prompt    string          `json:"prompt,omitempty"`
	MaxTokens uint32          `json:"max_tokens,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	Key       string          `json:"-"` // Idempotency-Key, optional
	Unsafe    bool            `json:"-"`
	Timeout   time.Duration   `json:"-"`
}

// DeskAnswer is the answer to a DeskRequest.
type DeskAnswer struct {
	RequestID string          `json:"request_id"`
	Output    string          `json:"output"`
	Body      json.RawMessage `json:"body"`
	Versions  []uint64        `json:"versions"`
	Tokens    uint32          `json:"tokens"`
}

// DeskTally counts what a desk received. Wrong, Mislabelled, UnsafeTwice and RanAfterNotRun
// must stay zero.
type DeskTally struct {
	Requests       int
	Answers        int
	Wrong          int // not the whole answer to the request
	Mislabelled    int
	NotRun         int // requests that ended as not_run
	Unknown        int // requests that ended as unknown
	Resent         int
	UnsafeTwice    int // by Audit: unsafe requests that ran more than once
	RanAfterNotRun int // by Audit: requests that ended as not_run but ran
}

// DeskOptions configures a Desk.
type DeskOptions struct {
	Hosts []string // base URLs, used in turn
	Token string
	Pool  string
	Truth *Truth // optional
	// Resends is how often a request is repeated that did not run, that is safe, or that has
	// a key. Zero means 5.
	Resends int
}

const deskResends = 5

// Desk is a client of the desk interface. It is safe for concurrent use.
type Desk struct {
	o      DeskOptions
	caller *caller

	mu     sync.Mutex
	tally  DeskTally
	unsafe []string
	notRun []string
}

// NewDesk returns a desk.
func NewDesk(o DeskOptions) *Desk {
	if o.Resends == 0 {
		o.Resends = deskResends
	}
	return &Desk{o: o, caller: newCaller(o.Hosts, o.Token)}
}

// Close closes the desk's connections.
func (d *Desk) Close() { d.caller.close() }

// Tally returns a copy of the counts.
func (d *Desk) Tally() DeskTally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tally
}

// Do sends a request, resends it after a lost answer where that is safe, and checks the
// answer.
func (d *Desk) Do(ctx context.Context, r DeskRequest) (DeskAnswer, error) {
	d.mu.Lock()
	d.tally.Requests++
	if r.Unsafe {
		d.unsafe = append(d.unsafe, r.input())
	}
	d.mu.Unlock()
	var a DeskAnswer
	mayHaveRun := false
	var err error
	for i := range d.o.Resends + 1 {
		if i > 0 {
			d.mu.Lock()
			d.tally.Resent++
			d.mu.Unlock()
			if pause(ctx, max(retryPause, errs.RetryAfterOf(err))) != nil {
				break
			}
		}
		a = DeskAnswer{}
		err = d.caller.post(ctx, "/v1/desk/"+url.PathEscape(d.o.Pool), r.header(), r, &a)
		notRun := err != nil && errs.OutcomeOf(err) == errs.NotRun
		mayHaveRun = mayHaveRun || !notRun
		if err == nil || final(err) || !notRun && r.Unsafe && r.Key == "" {
			break
		}
	}
	d.count(r, a, err, mayHaveRun)
	return a, err
}

func (r DeskRequest) header() map[string]string {
	h := make(map[string]string)
	if r.Key != "" {
		h["Idempotency-Key"] = r.Key
	}
	if r.Unsafe {
		h["X-Unsafe"] = "true"
	}
	if r.Timeout > 0 {
		h["X-Timeout-Ms"] = strconv.FormatInt(r.Timeout.Milliseconds(), 10)
	}
	return h
}

func (r DeskRequest) input() string {
	if r.Body != nil {
		return string(r.Body)
	}
	return r.Prompt
}

func (d *Desk) count(r DeskRequest, a DeskAnswer, err error, mayHaveRun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if mayHaveRun {
			d.tally.Unknown++
			return
		}
		d.tally.NotRun++
		d.notRun = append(d.notRun, r.input())
		return
	}
	d.tally.Answers++
	if r.Body != nil {
		if !WholeAnswer(r.Body, a.Body) {
			d.tally.Wrong++
		}
		return
	}
	if !Whole(r.Prompt, r.MaxTokens, a.Output, a.Tokens) {
		d.tally.Wrong++
	}
	if len(a.Versions) == 0 || !d.o.Truth.Matches(RequestOf(a.Output), a.Tokens, a.Versions) {
		d.tally.Mislabelled++
	}
}

// Audit compares what the desk was told with what ran. The function returns how often a
// prompt or body ran, over all targets; see target.ExecutionsOf.
func (d *Desk) Audit(executions func(input string) int) DeskTally {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.UnsafeTwice, d.tally.RanAfterNotRun = 0, 0
	for _, input := range d.unsafe {
		if executions(input) > 1 {
			d.tally.UnsafeTwice++
		}
	}
	for _, input := range d.notRun {
		if executions(input) > 0 {
			d.tally.RanAfterNotRun++
		}
	}
	return d.tally
}
