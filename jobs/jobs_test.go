package jobs

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func newJob(id string, min uint64, items ...string) Job {
	j := Job{ID: id, Host: "h", Path: "/p/", MinVersion: min}
	for _, it := range items {
		j.Items = append(j.Items, Item{ID: it, Body: []byte("body of " + it)})
	}
	return j
}

// Guards against results that change, move, stand twice or leave a gap, against accepted bodies
// that are lost, texts outside the bounds of a job, and against a restored book that differs,
// whatever the order of commands.
func TestBookAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable()
		type listed struct{ results []Result }
		seen := make(map[string]*listed)
		items := []string{"a", "b", "c", "d"}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job"))
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				fresh := b.Submit(newJob(id, rapid.Uint64Range(0, 3).Draw(t, "bound"), items...))
				if fresh != (seen[id] == nil) {
					t.Fatalf("step %d: job %s fresh=%v", step, id, fresh)
				}
				if fresh {
					seen[id] = &listed{}
				}
			case 1, 2:
				r := Result{ID: rapid.SampledFrom(items).Draw(t, "item"), State: Completed, Text: NewText([]byte(fmt.Sprint(step))),
					Versions: []uint64{rapid.Uint64Range(0, 5).Draw(t, "version")}}
				b.Finish(id, 0, r)
			case 3:
				if b.End(id) != (seen[id] != nil) {
					t.Fatalf("end of job %s", id)
				}
			case 4:
				b = Load(b.Image())
			}
			for id, old := range seen {
				p, err := b.Read(id, 0, 1<<20)
				if err != nil || p.Total != len(items) || p.Next != len(p.Results) || len(p.Results) < len(old.results) {
					t.Fatalf("job %s: %+v, %v", id, p, err)
				}
				if d := cmp.Diff(old.results, p.Results[:len(old.results)]); len(old.results) > 0 && d != "" {
					t.Fatalf("results of job %s changed: %s", id, d)
				}
				old.results = p.Results
				e, _ := b.Entry(id)
				for _, r := range p.Results {
					if r.State == Completed && !e.AllowsVersions(r.Versions) {
						t.Fatalf("job %s lists a text of versions %v below %d", id, r.Versions, e.MinVersion)
					}
				}
				for _, it := range items {
					body, err := b.Body(id, it)
					if e.HasResult(it) != (err != nil) || err == nil && string(body) != "body of "+it {
						t.Fatalf("body of %s in job %s: %q, %v", it, id, body, err)
					}
				}
			}
		}
	})
}

// Guards against an item that runs again although an earlier job completed it.
func TestCarriedItemsAreListedAtOnce(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j1", 3, "a", "b"))
	b.Finish("j1", 0, Result{ID: "a", State: Completed, Text: NewText([]byte("x")), Versions: []uint64{3}})
	b.End("j1")
	b.Submit(newJob("j2", 3, "a", "b"))
	b.Submit(newJob("j3", 4, "a", "b"))
	if p, _ := b.Read("j2", 0, 100); len(p.Results) != 1 || p.Results[0].ID != "a" {
		t.Errorf("results of the job with the same bound: %+v", p.Results)
	}
	if p, _ := b.Read("j3", 0, 100); len(p.Results) != 0 {
		t.Errorf("a text of version 3 was taken over by a job that asks for version 4: %+v", p.Results)
	}
}

// Guards against an answer above the size that clients accept, and against one without a result.
func TestReadBoundsThePage(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j", 0, "a", "b", "c"))
	for _, it := range []string{"a", "b", "c"} {
		b.Finish("j", 0, Result{ID: it, State: Completed, Text: NewText(make([]byte, 1000))})
	}
	if p, _ := b.Read("j", 0, 10); len(p.Results) != 1 || p.Next != 1 {
		t.Errorf("page of %d results, next %d", len(p.Results), p.Next)
	}
	if p, _ := b.Read("j", 1, 2400); len(p.Results) != 2 || p.Next != 3 {
		t.Errorf("page of %d results, next %d", len(p.Results), p.Next)
	}
}

// Guards against a text that lacks a part or has one twice, because a stored part is of another
// run than the rest.
func TestStoredTextsContinueExactly(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j1", 0, "a", "b"))
	part := func(s string) PartialText { return PartialText{Text: NewText([]byte(s)), Versions: []uint64{1}} }
	if !b.Progress("j1", "a", 0, part("one ")) || !b.Progress("j1", "a", 4, part("two ")) {
		t.Fatal("text is not taken")
	}
	if b.Progress("j1", "a", 4, part("two ")) {
		t.Error("a part was taken twice")
	}
	if b.Finish("j1", 4, Result{ID: "a", State: Completed, Text: NewText([]byte("end"))}) {
		t.Error("a result was taken that does not continue the stored text")
	}
	b.End("j1")
	b.Submit(newJob("j2", 0, "a"))
	if p, ok := b.PartialText("a"); !ok || unpacked(t, p.Text) != "one two " {
		t.Errorf("the text of a carried item: %q", unpacked(t, p.Text))
	}
	if !b.Finish("j2", 8, Result{ID: "a", State: Completed, Text: NewText([]byte("end"))}) {
		t.Fatal("a result that continues the stored text is not taken")
	}
	if p, _ := b.Read("j2", 0, 100); unpacked(t, p.Results[0].Text) != "one two end" {
		t.Errorf("text %q", unpacked(t, p.Results[0].Text))
	}
	if _, ok := b.PartialText("a"); ok {
		t.Error("the text of a listed item is kept twice")
	}
}
