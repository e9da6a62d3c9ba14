package jobs

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a text that joins parts of two runs of an item that is in two open jobs.
func TestTextsOfTwoRunsAreNotJoined(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j1", 0, "a"))
	b.Submit(newJob("j2", 0, "a"))
	part := func(revision uint64, s string) PartialText {
		return PartialText{Text: NewText([]byte(s)), Versions: []uint64{1}, Revision: revision}
	}
	b.AppendText(Key{ID: "j1"}, "a", Prefix{}, part(1, "x1 "))
	b.AppendText(Key{ID: "j2"}, "a", Prefix{}, part(2, "y1 "))
	if b.AppendText(Key{ID: "j1"}, "a", Prefix{Revision: 1, Len: 3}, part(3, "x2 ")) {
		p, _ := b.PartialText(Key{ID: "a"})
		t.Errorf("the text of run x continues the stored text of run y: %q", mustUnpack(t, p.Text))
	}
	if b.Finish(Key{ID: "j1"}, Prefix{Revision: 1, Len: 3}, Result{ID: "a", State: Completed, Text: NewText([]byte("x2")), Versions: []uint64{1}}) {
		p, _ := b.Read(Key{ID: "j1"}, 0, 100)
		t.Errorf("the result of run x is joined to the text of run y: %q", mustUnpack(t, p.Results[0].Text))
	}
	if !b.Finish(Key{ID: "j2"}, Prefix{Revision: 2, Len: 3}, Result{ID: "a", State: Completed, Text: NewText([]byte("y2")), Versions: []uint64{1}}) {
		t.Error("the run that stored the text cannot continue it")
	}
}

// Guards against a result whose prefix was generated under other weight versions than the result names:
// a later job replaced the complete text by another one of the same length.
func TestCompleteTextKeepsItsVersions(t *testing.T) {
	b := NewTable()
	b.Submit(scoredJob("j", "a", "c1", 1))
	b.AppendText(Key{ID: "j"}, "a", Prefix{}, completeText("text", 2))
	if b.Finish(Key{ID: "j"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Versions: []uint64{1}, Score: "s"}) {
		t.Error("a text of version 2 is recorded as one of version 1")
	}
}

// Guards against a repeated command that is reported as rejected: its writer would keep an outdated prefix.
func TestRepeatedAppendIsStored(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j", 0, "a"))
	first := PartialText{Text: NewText([]byte("x")), Revision: 1}
	second := PartialText{Text: NewText([]byte("y")), Revision: 2}
	b.AppendText(Key{ID: "j"}, "a", Prefix{}, first)
	for range 2 {
		if !b.AppendText(Key{ID: "j"}, "a", Prefix{Revision: 1, Len: 1}, second) {
			t.Error("the part was rejected")
		}
	}
	if p, _ := b.PartialText(Key{ID: "a"}); mustUnpack(t, p.Text) != "xy" {
		t.Errorf("stored text %q, want xy", mustUnpack(t, p.Text))
	}
}

// textWriter is a run of an item: it stores the text that it has generated in parts.
type textWriter struct {
	job       string
	text      string // what the run has generated, after the text that it resumed
	committed Prefix
}

// resume replaces the run by one that continues the stored text.
func (w *textWriter) resume(t rapid.TB, b *Table) {
	p, _ := b.PartialText(Key{ID: "a"})
	w.text, w.committed = mustUnpack(t, p.Text), Prefix{Revision: p.Revision, Len: p.Text.Len()}
}

// store stores the new part of the text, and checks the stored text if that is accepted.
func (w *textWriter) store(t rapid.TB, b *Table, revision uint64) {
	if !b.AppendText(Key{ID: w.job}, "a", w.committed, PartialText{Text: NewText([]byte(w.text[w.committed.Len:])), Revision: revision}) {
		return
	}
	w.committed = Prefix{Revision: revision, Len: len(w.text)}
	if p, _ := b.PartialText(Key{ID: "a"}); mustUnpack(t, p.Text) != w.text {
		t.Fatalf("stored text %q, the run has generated %q", mustUnpack(t, p.Text), w.text)
	}
}

// finish records the text as the result of the job, and checks it if that is accepted.
func (w *textWriter) finish(t rapid.TB, b *Table) {
	if !b.Finish(Key{ID: w.job}, w.committed, Result{ID: "a", State: Completed, Text: NewText([]byte(w.text[w.committed.Len:]))}) {
		return
	}
	page, _ := b.Read(Key{ID: w.job}, 0, 1<<20)
	if got := mustUnpack(t, page.Results[0].Text); got != w.text {
		t.Fatalf("result %q, the run has generated %q", got, w.text)
	}
}

// Guards, for random interleavings of runs of one item in several open jobs, against a stored text or a
// result that is not what a single run has generated.
func TestInterleavedRunsStoreTheirOwnText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable()
		var writers []*textWriter
		for i := range 4 {
			b.Submit(newJob(fmt.Sprint("j", i), 0, "a"))
			writers = append(writers, &textWriter{job: fmt.Sprint("j", i)})
		}
		for step := range 60 {
			k := rapid.IntRange(0, len(writers)-1).Draw(t, "run")
			w := writers[k]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				w.resume(t, b)
			case 1:
				w.finish(t, b)
			default:
				w.text += fmt.Sprintf("%d.%02d ", k, step)
				w.store(t, b, uint64(step+1))
			}
		}
	})
}
