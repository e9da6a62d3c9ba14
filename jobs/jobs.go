// Package jobs holds batch jobs: many generation requests that a trainer submits at once and
// whose results it reads by position. It is a deterministic state machine for replication:
// every replica that applies the same commands in the same order holds the same state.
//
// Invariants:
//   - An item of a job is listed at most once, and a listed result never changes.
//   - Positions of results start at 0 and have no gaps.
//   - A job that was accepted keeps the bodies of its items until they are listed or the job
//     is dropped.
package jobs

import (
	"maps"
	"slices"

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
	// ExpectedOutputTokens is the client's estimate of the output tokens; 0 without one.
	ExpectedOutputTokens int `cbor:"6,keyasint,omitempty"`
	// Group names the items that share a prompt.
	Group string `cbor:"7,keyasint,omitempty"`
}

// Job is what a client submits.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Host and Path select the route.
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	// Model is empty for a job without weights.
	Model     string `cbor:"4,keyasint,omitempty"`
	TrainStep uint64 `cbor:"5,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may generate its tokens.
	MinVersion uint64 `cbor:"6,keyasint,omitempty"`
	// SingleVersion requires that one version generates the whole text of an item.
	SingleVersion bool `cbor:"7,keyasint,omitempty"`
	// WantedGroups is the number of complete groups that the client waits for; 0 for all items.
	WantedGroups int    `cbor:"8,keyasint,omitempty"`
	Items        []Item `cbor:"9,keyasint"`
}

// Validate reports a job that cannot be accepted.
func (j *Job) Validate() error {
	if j.ID == "" {
		return &errs.Invalid{Path: "$.id", Want: "an id", Got: "an empty string"}
	}
	seen := make(map[string]bool, len(j.Items))
	for _, it := range j.Items {
		if it.ID == "" || seen[it.ID] {
			return &errs.Invalid{Path: "$.items.id", Want: "a unique id", Got: it.ID}
		}
		seen[it.ID] = true
	}
	return nil
}

// AllowsVersions tells whether a text made by these versions may be a result of the job.
func (j *Job) AllowsVersions(versions []uint64) bool {
	if j.SingleVersion && len(versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(versions, func(v uint64) bool { return v < j.MinVersion })
}

// ItemState is the end of an item.
type ItemState string

// The ends of an item.
const (
	Completed  ItemState = "completed"
	Terminated ItemState = "terminated"
)

// Result is a listed item.
type Result struct {
	ID    string    `cbor:"1,keyasint"`
	State ItemState `cbor:"2,keyasint"`
	// Text is the data of all events, separated by line feeds.
	Text Text `cbor:"3,keyasint,omitempty"`
	// Versions are the weight versions that generated events of the text, in rising order.
	Versions []uint64 `cbor:"4,keyasint,omitempty"`
}

// PartialText is the text of an item so far.
type PartialText struct {
	Text Text `cbor:"1,keyasint,omitempty"`
	// LastEventID is the id of the last event and Events the number of events.
	LastEventID uint64   `cbor:"2,keyasint,omitempty"`
	EventCount  int      `cbor:"3,keyasint,omitempty"`
	Versions    []uint64 `cbor:"4,keyasint,omitempty"`
}

// Entry is a job with what happened to it.
type Entry struct {
	Job     `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	Ended   bool     `cbor:"3,keyasint"`
	// Sequence is the rank of the job's acceptance.
	Sequence uint64 `cbor:"4,keyasint"`

	listed map[string]int // item to position
}

// IsOpen tells whether the job still needs work.
func (e *Entry) IsOpen() bool { return !e.Ended && len(e.Results) < len(e.Items) }

// HasResult tells whether an item has a result.
func (e *Entry) HasResult(item string) bool {
	_, ok := e.listed[item]
	return ok
}

// Table is the set of jobs. The zero value is not usable; call NewBook.
type Table struct {
	entries map[string]*Entry
	ordered []*Entry // by acceptance
	// source finds the job that last listed an item as completed, so that a later job that
	// carries the item over can use the text.
	source map[string]string
	// partials has the texts of items that are not listed, by item: a later job may carry the
	// item over.
	partials map[string]*PartialText
	next     uint64
}

// NewTable returns a book without jobs.
func NewTable() *Table {
	return &Table{entries: make(map[string]*Entry), source: make(map[string]string), partials: make(map[string]*PartialText)}
}

// Submit accepts a job once. It reports whether the job is new. Items that an earlier job
// completed, with versions that fit, are listed at once.
func (b *Table) Submit(j Job) bool {
	if b.entries[j.ID] != nil {
		return false
	}
	b.next++
	e := &Entry{Job: j, Sequence: b.next, listed: make(map[string]int, len(j.Items))}
	b.entries[j.ID] = e
	b.ordered = append(b.ordered, e)
	for i := range e.Items {
		if r, ok := b.carried(e, e.Items[i].ID); ok {
			b.list(e, r)
		}
	}
	return true
}

func (b *Table) carried(e *Entry, item string) (Result, bool) {
	old := b.entries[b.source[item]]
	if old == nil || old == e {
		return Result{}, false
	}
	r := old.Results[old.listed[item]]
	return r, e.AllowsVersions(r.Versions)
}

func (b *Table) list(e *Entry, r Result) {
	e.listed[r.ID] = len(e.Results)
	e.Results = append(e.Results, r)
	if r.State == Completed {
		b.source[r.ID] = e.ID
	}
	for i := range e.Items {
		if e.Items[i].ID == r.ID {
			delete(b.partials, r.ID)
			e.Items[i].Body, e.Items[i].Headers = nil, nil // no longer needed
		}
	}
}

// Progress stores more text of an item. from is the length of the text that must be stored
// before; 0 starts anew. It reports whether the text was taken.
func (b *Table) Progress(job, item string, from int, p PartialText) bool {
	e := b.entries[job]
	if !e.waitsFor(item) {
		return false
	}
	old := b.partials[item]
	if from == 0 {
		old = &PartialText{}
	}
	if old == nil || old.Text.Len() != from {
		return false
	}
	b.partials[item] = &PartialText{Text: slices.Concat(old.Text, p.Text), LastEventID: p.LastEventID, EventCount: p.EventCount, Versions: p.Versions}
	return true
}

// PartialText returns the stored text of an item that is not listed.
func (b *Table) PartialText(item string) (PartialText, bool) {
	p := b.partials[item]
	if p == nil {
		return PartialText{}, false
	}
	return *p, true
}

// waitsFor tells whether a result of the item can still be listed.
func (e *Entry) waitsFor(item string) bool {
	return e != nil && !e.Ended && !e.HasResult(item) && slices.ContainsFunc(e.Items, func(it Item) bool { return it.ID == item })
}

// Finish lists a result, whose text goes on after from bytes of the stored text of the item. It
// reports whether the result was taken: the job is open, the item belongs to it and is not
// listed yet, and the job's bounds allow the versions of a text.
func (b *Table) Finish(job string, from int, r Result) bool {
	e := b.entries[job]
	if !e.waitsFor(r.ID) || r.State == Completed && !e.AllowsVersions(r.Versions) {
		return false
	}
	if from > 0 {
		p := b.partials[r.ID]
		if p == nil || p.Text.Len() != from {
			return false
		}
		r.Text = slices.Concat(p.Text, r.Text)
	}
	b.list(e, r)
	return true
}

// End ends a job. What is listed stays listed. It reports whether the job exists.
func (b *Table) End(job string) bool {
	e := b.entries[job]
	if e == nil {
		return false
	}
	e.Ended = true
	return true
}

// Drop forgets a job whose results are no longer needed.
func (b *Table) Drop(job string) {
	e := b.entries[job]
	if e == nil {
		return
	}
	delete(b.entries, job)
	b.ordered = slices.DeleteFunc(b.ordered, func(o *Entry) bool { return o == e })
	for _, r := range e.Results {
		if b.source[r.ID] == job {
			delete(b.source, r.ID)
		}
	}
	for _, it := range e.Items {
		if !e.HasResult(it.ID) {
			delete(b.partials, it.ID)
		}
	}
}

// Entry returns a job. The caller must not change it.
func (b *Table) Entry(job string) (*Entry, bool) {
	e, ok := b.entries[job]
	return e, ok
}

// Entries lists all jobs in the order of their acceptance. The caller must not change the list.
func (b *Table) Entries() []*Entry { return b.ordered }

// Page is a part of a job's results.
type Page struct {
	Total   int      `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	Next    int      `cbor:"3,keyasint"`
}

// Read returns results from a position on: at least one if there is one, and at most maxBytes
// of texts beyond the first.
func (b *Table) Read(job string, after, maxBytes int) (Page, error) {
	e := b.entries[job]
	if e == nil {
		return Page{}, &errs.NotFound{Kind: "batch job", ID: job}
	}
	p := Page{Total: len(e.Items), Next: after}
	size := 0
	for i := max(after, 0); i < len(e.Results); i++ {
		size += e.Results[i].Text.Len() + resultOverhead
		if len(p.Results) > 0 && size > maxBytes {
			break
		}
		p.Results = append(p.Results, e.Results[i])
		p.Next = i + 1
	}
	return p, nil
}

// resultOverhead approximates the encoded size of a result without its text, in bytes.
const resultOverhead = 128

// Body returns the body of an item that is not listed.
func (b *Table) Body(job, item string) ([]byte, error) {
	e := b.entries[job]
	if e == nil || e.HasResult(item) {
		return nil, &errs.NotFound{Kind: "item of a batch job", ID: item}
	}
	for _, it := range e.Items {
		if it.ID == item {
			return it.Body, nil
		}
	}
	return nil, &errs.NotFound{Kind: "item of a batch job", ID: item}
}

// itemBytes approximates the memory of an item or a result without its texts, body and headers, in
// bytes.
const itemBytes = 256

// Size approximates the memory of the book in bytes. Its cost is the number of items and results.
func (b *Table) Size() int {
	n := 0
	for _, e := range b.ordered {
		n += itemBytes * (len(e.Items) + len(e.Results))
		for i := range e.Items {
			n += e.Items[i].contentBytes()
		}
		for i := range e.Results {
			n += e.Results[i].Text.Stored()
		}
	}
	for _, p := range b.partials {
		n += itemBytes + p.Text.Stored()
	}
	return n
}

func (it *Item) contentBytes() int {
	n := len(it.Body)
	for name, value := range it.Headers {
		n += len(name) + len(value)
	}
	return n
}

// Image is the stored form of a book.
type Image struct {
	Entries  []*Entry                `cbor:"1,keyasint"`
	Next     uint64                  `cbor:"2,keyasint"`
	Partials map[string]*PartialText `cbor:"3,keyasint,omitempty"`
}

// Image returns the stored form. It shares memory with the book.
func (b *Table) Image() Image { return Image{Entries: b.ordered, Next: b.next, Partials: b.partials} }

// Load returns the book of an image.
func Load(im Image) *Table {
	b := NewTable()
	b.next = im.Next
	maps.Copy(b.partials, im.Partials)
	for _, e := range im.Entries {
		e.listed = make(map[string]int, len(e.Results))
		b.entries[e.ID] = e
		b.ordered = append(b.ordered, e)
		for i, r := range e.Results {
			e.listed[r.ID] = i
			if r.State == Completed {
				b.source[r.ID] = e.ID
			}
		}
	}
	return b
}
