package jobs

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a client account that reads, ends or changes a job of another one with the same ID, or gets texts of its items
// with the same IDs: at once, through reuse, and after a restart. The job without an owner is that of all without their own.
func TestJobsOfOwnersAreKeptApart(t *testing.T) {
	table := NewTable()
	a, b, c, none := Key{"a", "j"}, Key{"b", "j"}, Key{"c", "j"}, Key{ID: "j"}
	submit := func(key Key, id string) bool {
		j := newJob(id, 0, "x", "y")
		j.Owner = key.Owner
		return table.Submit(j)
	}
	if !submit(a, "j") || submit(a, "j") {
		t.Fatal("the first submission is not new, or the second is")
	}
	if _, err := table.Read(b, 0, 100); err == nil || table.End(b) {
		t.Error("a caller of another account reaches the job")
	}
	if _, err := table.Body(none, "x"); err == nil {
		t.Error("a caller without an account reaches the job")
	}
	if !submit(b, "j") || !submit(none, "j") {
		t.Fatal("the same ID of another account is not new")
	}
	for _, key := range []Key{a, b, none} {
		text := NewText([]byte("of " + key.Owner))
		table.AppendText(key, "y", Prefix{}, PartialText{Text: text, Revision: 1})
		table.Finish(key, Prefix{}, Result{ID: "x", State: Completed, Text: text})
	}
	table.RecordFailures(b, "y", 2)
	table.End(a)
	table = Restore(table.Snapshot())
	submit(b, "j2")
	submit(c, "j2")
	texts := make(map[Key]string)
	for _, key := range []Key{a, b, c, none, {"b", "j2"}, {"c", "j2"}} {
		page, err := table.Read(key, 0, 100)
		if err != nil {
			t.Fatalf("%+v: %v", key, err)
		}
		for _, r := range page.Results {
			texts[key] += mustUnpack(t, r.Text)
		}
		if p, ok := table.PartialText(Key{key.Owner, "y"}); ok {
			texts[key] += ", " + mustUnpack(t, p.Text)
		}
	}
	want := map[Key]string{a: "of a, of a", b: "of b, of b", none: "of , of ", c: "of ", {"b", "j2"}: "of b, of b"}
	if d := cmp.Diff(want, texts); d != "" {
		t.Error(d)
	}
	stateOf := func(key Key) (ended bool, failures int) {
		e, _ := table.Entry(key)
		return e.Ended, e.Failures["y"]
	}
	for key, wantEnded := range map[Key]bool{a: true, b: false, none: false} {
		if ended, failures := stateOf(key); ended != wantEnded || (failures > 0) != (key == b) {
			t.Errorf("%+v: ended %t, %d failures", key, ended, failures)
		}
	}
	table.Drop(a)
	if _, ok := table.Entry(b); !ok || table.partials[Key{"a", "y"}] != nil || table.partials[Key{"b", "y"}] == nil {
		t.Error("the drop of a job takes the job or the text of another account, or leaves its own text")
	}
}
