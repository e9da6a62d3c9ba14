// Package jobs implements batch jobs: sets of generation requests that a trainer submits at once
// and whose results it reads by position. It is a deterministic state machine for replication:
// replicas that apply the same commands in the same order hold the same state.
//
// Invariants:
//   - An item of a job has at most one result, and a recorded result never changes.
//   - Positions of results start at 0 and have no gaps.
//   - An accepted job keeps the body of each item until the item has a result or the job is
//     dropped.
package jobs

import (
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"fuchsiaflow/errs"
)

// Item is one generation request of a job.
type Item struct {
	ID      string            `cbor:"1,keyasint"`
	Path    string            `cbor:"2,keyasint"`
	Headers map[string]string `cbor:"3,keyasint,omitempty"`
	Body    []byte            `cbor:"4,keyasint,omitempty"`
	// MaxTotalTokens is the sum of the prompt tokens and the maximum output tokens.
	MaxTotalTokens int `cbor:"5,keyasint,omitempty"`
	// PromptTokens is the number of prompt tokens; 0 when unknown.
	PromptTokens int `cbor:"8,keyasint,omitempty"`
	// ExpectedOutputTokens is the client's estimate of the number of output tokens; 0 if it gave none.
	ExpectedOutputTokens int `cbor:"6,keyasint,omitempty"`
	// Group identifies the items that share a prompt.
	Group string `cbor:"7,keyasint,omitempty"`
	// Scoring is the request that scores the complete text; nil if the item is not scored.
	Scoring *ScoringRequest `cbor:"9,keyasint,omitempty"`
}

// ScoringRequest is a request that is sent to a scoring service once the text of an item is complete.
// The signature of the answer is the score of the item.
type ScoringRequest struct {
	ID string `cbor:"1,keyasint"`
	// Host and Path are matched against the routes.
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// sameAs reports whether both are nil or identify the same request.
func (s *ScoringRequest) sameAs(other *ScoringRequest) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.ID == other.ID && s.Host == other.Host && s.Path == other.Path
}

// Job is a batch job as a client submits it.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Host and Path are matched against the routes.
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	// Model is empty for a job without weights.
	Model string `cbor:"4,keyasint,omitempty"`
	// TrainStep is the training step for which the trainer submitted the job.
	TrainStep uint64 `cbor:"5,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may generate tokens of the job.
	MinVersion uint64 `cbor:"6,keyasint,omitempty"`
	// SingleVersion requires that a single weight version generates the whole text of an item.
	SingleVersion bool `cbor:"7,keyasint,omitempty"`
	// WantedGroups is the number of complete groups that the client waits for; 0 means all items.
	WantedGroups int    `cbor:"8,keyasint,omitempty"`
	Items        []Item `cbor:"9,keyasint"`
	// Owner is the client account that submitted the job; empty if no key was needed.
	Owner string `cbor:"10,keyasint,omitempty"`
}

// Key identifies a job, or an item, among those of all client accounts: clients choose IDs independently.
type Key struct {
	Owner string // client account; empty for a job without one
	ID    string
}

// LogArgs returns the arguments of a log line about the job: its ID, its account if it has one, and args.
func (k Key) LogArgs(args ...any) []any {
	out := []any{"job", k.ID}
	if k.Owner != "" {
		out = append(out, "account", k.Owner)
	}
	return append(out, args...)
}

// Key returns the key of the job.
func (j *Job) Key() Key { return Key{j.Owner, j.ID} }

// ItemKey returns the key of an item of the job. Jobs of one owner that have an item with the same ID share its texts.
func (j *Job) ItemKey(item string) Key { return Key{j.Owner, item} }

// Validate returns errs.Invalid if the job cannot be accepted.
func (j *Job) Validate() error {
	if j.ID == "" {
		return &errs.Invalid{Path: "$.id", Want: "an id", Got: "an empty string"}
	}
	for _, s := range []string{j.ID, j.Host, j.Path, j.Owner} {
		if !utf8.ValidString(s) {
			return &errs.Invalid{Path: "$", Want: "an id, host, path and owner in UTF-8", Got: strconv.Quote(s)}
		}
	}
	seen := make(map[string]bool, len(j.Items))
	for _, it := range j.Items {
		if it.ID == "" || seen[it.ID] {
			return &errs.Invalid{Path: "$.items.id", Want: "a unique id", Got: it.ID}
		}
		if it.Scoring != nil && it.Scoring.ID == "" {
			return &errs.Invalid{Path: "$.items.scoring.id", Want: "an id", Got: "an empty string"}
		}
		seen[it.ID] = true
	}
	return nil
}

// ValidatePaths returns errs.Invalid if the path of an item, or of its scoring request, holds a control character. Such a path
// can end the request line that a target gets and continue with headers, for example with one that names another account.
func (j *Job) ValidatePaths() error {
	for _, it := range j.Items {
		if strings.ContainsFunc(it.Path, unicode.IsControl) {
			return &errs.Invalid{Path: "$.items.path", Want: "a path without control characters", Got: strconv.Quote(it.Path)}
		}
		if it.Scoring != nil && strings.ContainsFunc(it.Scoring.Path, unicode.IsControl) {
			return &errs.Invalid{Path: "$.items.scoring.path", Want: "a path without control characters", Got: strconv.Quote(it.Scoring.Path)}
		}
	}
	return nil
}

// AllowsVersions reports whether the job accepts a text generated by these weight versions.
func (j *Job) AllowsVersions(versions []uint64) bool {
	if j.SingleVersion && len(versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(versions, func(v uint64) bool { return v < j.MinVersion })
}

// ItemState is the final state of an item.
type ItemState string

// The final states of an item.
const (
	Completed  ItemState = "completed"
	Terminated ItemState = "terminated"
)

// Result is the recorded result of an item.
type Result struct {
	ID    string    `cbor:"1,keyasint"`
	State ItemState `cbor:"2,keyasint"`
	// Text is the concatenated data of all events, separated by line feeds.
	Text Text `cbor:"3,keyasint,omitempty"`
	// Versions are the weight versions that generated events of the text, in ascending order.
	Versions []uint64 `cbor:"4,keyasint,omitempty"`
	// Score is the signature of the answer to the item's scoring request; empty if it has none.
	Score string `cbor:"5,keyasint,omitempty"`
}

// PartialText is the text that an unfinished item has generated so far.
type PartialText struct {
	Text Text `cbor:"1,keyasint,omitempty"`
	// LastEventID is the ID of the last event, EventCount the number of events.
	LastEventID uint64   `cbor:"2,keyasint,omitempty"`
	EventCount  int      `cbor:"3,keyasint,omitempty"`
	Versions    []uint64 `cbor:"4,keyasint,omitempty"`
	// Complete is set when the text is whole and only its score is missing.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Revision identifies the text among all texts that were ever stored for the item. It is chosen by
	// the writer; 0 if the text was not stored by AppendText.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// Release is the software version of the engines that generated the text. Only engines of the same version may
	// continue it.
	Release string `cbor:"7,keyasint,omitempty"`
	// Writer and WriterIncarnation name the engine that generated the last part, in an answer that began at
	// WriterAnsweredAt, in Unix milliseconds.
	Writer            string `cbor:"8,keyasint,omitempty"`
	WriterIncarnation int64  `cbor:"9,keyasint,omitempty"`
	WriterAnsweredAt  int64  `cbor:"10,keyasint,omitempty"`
}

// Prefix identifies the stored text that a new part continues. The zero Prefix is empty: the part is the
// whole text. The length alone does not identify a text, because several runs of an item can store texts
// of the same length while more than one open job contains the item.
type Prefix struct {
	Revision uint64 // PartialText.Revision of the stored text
	Len      int    // length of the stored text in bytes
}

// matches reports whether the prefix is the stored text p, which may be nil.
func (prefix Prefix) matches(p *PartialText) bool {
	return p != nil && p.Revision == prefix.Revision && p.Text.Len() == prefix.Len
}

// Entry is a job with its results and status.
type Entry struct {
	Job     `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	Ended   bool     `cbor:"3,keyasint"`
	// Sequence is the sequence number of the job in the order of acceptance, starting at 1.
	Sequence uint64 `cbor:"4,keyasint"`
	// Failures is the number of failed runs of each item without a result that has any.
	Failures map[string]int `cbor:"5,keyasint,omitempty"`

	resultIndex map[string]int // position in Results by item ID
}

// IsOpen reports whether the job is not ended and has items without a result.
func (e *Entry) IsOpen() bool { return !e.Ended && len(e.Results) < len(e.Items) }

// HasResult reports whether the item has a result.
func (e *Entry) HasResult(item string) bool {
	_, ok := e.resultIndex[item]
	return ok
}

// Table is the set of all jobs. The zero value is not usable; call NewTable.
type Table struct {
	entries map[Key]*Entry
	inOrder []*Entry // in the order of acceptance
	// completedIn maps an item to the job that last recorded it as completed, so that a later job of the
	// same owner with the same item can reuse the text.
	completedIn map[Key]Key
	// partials holds the texts of items without a result. They are not bound to a job, so that a later job
	// of the same owner with the same item can continue them.
	partials     map[Key]*PartialText
	lastSequence uint64
}

// NewTable returns an empty set of jobs.
func NewTable() *Table {
	return &Table{entries: make(map[Key]*Entry), completedIn: make(map[Key]Key), partials: make(map[Key]*PartialText)}
}

// Submit adds a job unless its owner has one with the same ID, and reports whether it did. Items that an earlier job of the owner
// completed with weight versions that the new job accepts get that result at once. If such an item is
// to be scored by another request than before, only its text is reused.
func (b *Table) Submit(j Job) bool {
	if b.entries[j.Key()] != nil {
		return false
	}
	b.lastSequence++
	e := &Entry{Job: j, Sequence: b.lastSequence, resultIndex: make(map[string]int, len(j.Items))}
	b.entries[j.Key()] = e
	b.inOrder = append(b.inOrder, e)
	for i := range e.Items {
		r, sameScoring, ok := b.reusableResult(e, &e.Items[i])
		switch {
		case ok && sameScoring:
			b.addResult(e, r)
		case ok:
			b.partials[e.ItemKey(r.ID)] = &PartialText{Text: r.Text, Versions: r.Versions, EventCount: 1, Complete: true}
		}
	}
	return true
}

// reusableResult returns the result of an item from an earlier job if e accepts its versions, and whether
// the same request scored it.
func (b *Table) reusableResult(e *Entry, it *Item) (r Result, sameScoring, ok bool) {
	earlier := b.entries[b.completedIn[e.ItemKey(it.ID)]]
	if earlier == nil || earlier == e {
		return Result{}, false, false
	}
	r = earlier.Results[earlier.resultIndex[it.ID]]
	return r, it.Scoring.sameAs(earlier.scoring(it.ID)), e.AllowsVersions(r.Versions)
}

// scoring returns the scoring request of an item, or nil if it has none.
func (e *Entry) scoring(item string) *ScoringRequest {
	for i := range e.Items {
		if e.Items[i].ID == item {
			return e.Items[i].Scoring
		}
	}
	return nil
}

func (b *Table) addResult(e *Entry, r Result) {
	e.resultIndex[r.ID] = len(e.Results)
	e.Results = append(e.Results, r)
	delete(e.Failures, r.ID)
	if r.State == Completed {
		b.completedIn[e.ItemKey(r.ID)] = e.Key()
	}
	for i := range e.Items {
		if e.Items[i].ID == r.ID {
			delete(b.partials, e.ItemKey(r.ID))
			e.Items[i].releaseContent()
		}
	}
}

// releaseContent drops what is no longer needed once the item has a result. The identity of the scoring
// request is kept, so that a later job with the same item can tell whether the score applies to it.
func (it *Item) releaseContent() {
	it.Body, it.Headers = nil, nil
	if it.Scoring != nil {
		it.Scoring = &ScoringRequest{ID: it.Scoring.ID, Host: it.Scoring.Host, Path: it.Scoring.Path}
	}
}

// AppendText appends to the stored text of an item if that is the given prefix; an empty prefix replaces the
// stored text, unless that is complete and accepted by the job. It reports whether the text was stored.
func (b *Table) AppendText(job Key, item string, prefix Prefix, p PartialText) bool {
	e := b.entries[job]
	if !e.acceptsResult(item) {
		return false
	}
	key := e.ItemKey(item)
	stored := b.partials[key]
	if stored != nil && p.Revision > 0 && p.Revision == stored.Revision {
		return true // the command is repeated
	}
	if stored != nil && stored.Complete && e.AllowsVersions(stored.Versions) {
		return p.Complete && p.Revision == stored.Revision && stored.Text.Len() == prefix.Len+p.Text.Len() && slices.Equal(stored.Versions, p.Versions)
	}
	if prefix.Len > 0 {
		if !prefix.matches(stored) {
			return false
		}
		p.Text = slices.Concat(stored.Text, p.Text)
	}
	b.partials[key] = &p
	return true
}

// PartialText returns the stored text of an item without a result.
func (b *Table) PartialText(item Key) (PartialText, bool) {
	p := b.partials[item]
	if p == nil {
		return PartialText{}, false
	}
	return *p, true
}

// acceptsResult reports whether a result of the item can still be recorded. e may be nil.
func (e *Entry) acceptsResult(item string) bool {
	return e != nil && !e.Ended && !e.HasResult(item) && slices.ContainsFunc(e.Items, func(it Item) bool { return it.ID == item })
}

// Finish records the result of an item. If the prefix is not empty, the text of the result is appended
// to the stored text of the item, which must be that prefix. Finish reports whether the result
// was recorded. It is rejected if the job is unknown or ended, if the item is not part of the job
// or has a result, if it is completed with versions that the job does not accept or that are not those of a
// complete stored text, or if it is completed without the score that it needs.
func (b *Table) Finish(job Key, prefix Prefix, r Result) bool {
	e := b.entries[job]
	if !e.acceptsResult(r.ID) || r.State == Completed && !e.AllowsVersions(r.Versions) {
		return false
	}
	if r.State == Completed && r.Score == "" && e.scoring(r.ID) != nil {
		return false
	}
	if prefix.Len > 0 {
		stored := b.partials[e.ItemKey(r.ID)]
		if !prefix.matches(stored) || stored.Complete && !slices.Equal(stored.Versions, r.Versions) {
			return false
		}
		r.Text = slices.Concat(stored.Text, r.Text)
	}
	b.addResult(e, r)
	return true
}

// RecordFailures records that runs of an item have failed n times in all. It reports whether that is news.
func (b *Table) RecordFailures(job Key, item string, n int) bool {
	e := b.entries[job]
	if !e.acceptsResult(item) || n <= e.Failures[item] {
		return false
	}
	if e.Failures == nil {
		e.Failures = make(map[string]int)
	}
	e.Failures[item] = n
	return true
}

// Find returns the job that a caller means: the one of its own account, or else the one without an owner. The caller must not
// change it.
func (b *Table) Find(job Key) (*Entry, bool) {
	if e, ok := b.entries[job]; ok {
		return e, true
	}
	e, ok := b.entries[Key{ID: job.ID}]
	return e, ok
}

// End ends the job that a caller means, which keeps its results. It reports whether there is one.
func (b *Table) End(job Key) bool {
	e, ok := b.Find(job)
	if !ok {
		return false
	}
	e.Ended = true
	return true
}

// Drop removes a job with its results and the stored texts of its items.
func (b *Table) Drop(job Key) {
	e := b.entries[job]
	if e == nil {
		return
	}
	delete(b.entries, job)
	b.inOrder = slices.DeleteFunc(b.inOrder, func(other *Entry) bool { return other == e })
	for _, r := range e.Results {
		if item := e.ItemKey(r.ID); b.completedIn[item] == job {
			delete(b.completedIn, item)
		}
	}
	for _, it := range e.Items {
		if !e.HasResult(it.ID) {
			delete(b.partials, e.ItemKey(it.ID))
		}
	}
}

// Entry returns a job. The caller must not change it.
func (b *Table) Entry(job Key) (*Entry, bool) {
	e, ok := b.entries[job]
	return e, ok
}

// Entries returns all jobs in the order of acceptance. The caller must not change the slice.
func (b *Table) Entries() []*Entry { return b.inOrder }

// Page is a range of a job's results.
type Page struct {
	// Total is the number of items of the job.
	Total   int      `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	// Next is the position that follows the last result of the page.
	Next int `cbor:"3,keyasint"`
}

// Read returns the results of the job that a caller means from a position on. A page has at least one result if there is one;
// further results are added while the page stays within maxBytes.
func (b *Table) Read(job Key, position, maxBytes int) (Page, error) {
	e, ok := b.Find(job)
	if !ok {
		return Page{}, &errs.NotFound{Kind: "batch job", ID: job.ID}
	}
	p := Page{Total: len(e.Items), Next: position}
	size := 0
	for i := max(position, 0); i < len(e.Results); i++ {
		size += e.Results[i].Text.Len() + resultOverheadBytes
		if len(p.Results) > 0 && size > maxBytes {
			break
		}
		p.Results = append(p.Results, e.Results[i])
		p.Next = i + 1
	}
	return p, nil
}

// resultOverheadBytes approximates the encoded size of a result without its text.
const resultOverheadBytes = 128

// Body returns the body of an item without a result, of the job that a caller means. It returns errs.NotFound for every other
// item.
func (b *Table) Body(job Key, item string) ([]byte, error) {
	e, ok := b.Find(job)
	if !ok || e.HasResult(item) {
		return nil, &errs.NotFound{Kind: "item of a batch job", ID: item}
	}
	for _, it := range e.Items {
		if it.ID == item {
			return it.Body, nil
		}
	}
	return nil, &errs.NotFound{Kind: "item of a batch job", ID: item}
}

// itemOverheadBytes approximates the memory of an item or a result without its text, body and headers.
const itemOverheadBytes = 256

// MemoryBytes approximates the memory that the jobs occupy. It visits every item and result.
func (b *Table) MemoryBytes() int {
	n := 0
	for _, e := range b.inOrder {
		n += itemOverheadBytes * (len(e.Items) + len(e.Results))
		for i := range e.Items {
			n += e.Items[i].contentBytes()
		}
		for i := range e.Results {
			n += e.Results[i].Text.PackedLen()
		}
	}
	for _, p := range b.partials {
		n += itemOverheadBytes + p.Text.PackedLen()
	}
	return n
}

// contentBytes returns the size of the body and the headers.
func (it *Item) contentBytes() int {
	n := len(it.Body)
	if it.Scoring != nil {
		n += len(it.Scoring.Body)
	}
	for name, value := range it.Headers {
		n += len(name) + len(value)
	}
	return n
}
