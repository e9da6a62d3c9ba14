package jobs

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func newJob(id string, minVersion uint64, items ...string) Job {
	j := Job{ID: id, Host: "h", Path: "/p/", MinVersion: minVersion}
	for _, it := range items {
		j.Items = append(j.Items, Item{ID: it, Body: []byte("body of " + it)})
	}
	return j
}

// Guards, for random sequences of commands and restores, against results that change, move, are
// duplicated or leave a gap, against lost bodies of accepted items, and against texts of versions
// that the job does not accept.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable()
		type jobModel struct{ results []Result }
		submitted := make(map[string]*jobModel)
		items := []string{"a", "b", "c", "d"}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job"))
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				isNew := b.Submit(newJob(id, rapid.Uint64Range(0, 3).Draw(t, "min version"), items...))
				if isNew != (submitted[id] == nil) {
					t.Fatalf("step %d: Submit(%s) returned %v", step, id, isNew)
				}
				if isNew {
					submitted[id] = &jobModel{}
				}
			case 1, 2:
				r := Result{ID: rapid.SampledFrom(items).Draw(t, "item"), State: Completed, Text: NewText([]byte(fmt.Sprint(step))),
					Versions: []uint64{rapid.Uint64Range(0, 5).Draw(t, "version")}}
				b.Finish(Key{ID: id}, Prefix{}, r)
			case 3:
				if b.End(Key{ID: id}) != (submitted[id] != nil) {
					t.Fatalf("End(%s) misreports whether the job exists", id)
				}
			case 4:
				b = Restore(b.Snapshot())
			}
			for id, model := range submitted {
				p, err := b.Read(Key{ID: id}, 0, 1<<20)
				if err != nil || p.Total != len(items) || p.Next != len(p.Results) || len(p.Results) < len(model.results) {
					t.Fatalf("page of job %s: %+v, error %v", id, p, err)
				}
				if d := cmp.Diff(model.results, p.Results[:len(model.results)]); len(model.results) > 0 && d != "" {
					t.Fatalf("results of job %s changed: %s", id, d)
				}
				model.results = p.Results
				e, _ := b.Entry(Key{ID: id})
				for _, r := range p.Results {
					if r.State == Completed && !e.AllowsVersions(r.Versions) {
						t.Fatalf("job %s has a result of versions %v, minimum %d", id, r.Versions, e.MinVersion)
					}
				}
				for _, it := range items {
					body, err := b.Body(Key{ID: id}, it)
					if e.HasResult(it) != (err != nil) || err == nil && string(body) != "body of "+it {
						t.Fatalf("body of item %s in job %s: %q, error %v", it, id, body, err)
					}
				}
			}
		}
	})
}

// Guards against an item that runs again although an earlier job completed it.
func TestSubmitReusesResults(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j1", 3, "a", "b"))
	b.Finish(Key{ID: "j1"}, Prefix{}, Result{ID: "a", State: Completed, Text: NewText([]byte("x")), Versions: []uint64{3}})
	b.End(Key{ID: "j1"})
	b.Submit(newJob("j2", 3, "a", "b"))
	b.Submit(newJob("j3", 4, "a", "b"))
	if p, _ := b.Read(Key{ID: "j2"}, 0, 100); len(p.Results) != 1 || p.Results[0].ID != "a" {
		t.Errorf("results of the job with the same minimum version: %+v", p.Results)
	}
	if p, _ := b.Read(Key{ID: "j3"}, 0, 100); len(p.Results) != 0 {
		t.Errorf("a text of version 3 was reused by a job that requires version 4: %+v", p.Results)
	}
}

// Guards against a page above the size that clients accept, and against an empty page when the next
// result alone exceeds that size.
func TestReadLimitsPageSize(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j", 0, "a", "b", "c"))
	for _, it := range []string{"a", "b", "c"} {
		b.Finish(Key{ID: "j"}, Prefix{}, Result{ID: it, State: Completed, Text: NewText(make([]byte, 1000))})
	}
	if p, _ := b.Read(Key{ID: "j"}, 0, 10); len(p.Results) != 1 || p.Next != 1 {
		t.Errorf("page of %d results, next %d", len(p.Results), p.Next)
	}
	if p, _ := b.Read(Key{ID: "j"}, 1, 2400); len(p.Results) != 2 || p.Next != 3 {
		t.Errorf("page of %d results, next %d", len(p.Results), p.Next)
	}
}

// Guards against a text with a missing or duplicated part, which arises when the stored part belongs
// to another run than the rest.
func TestTextContinuesAtOffset(t *testing.T) {
	b := NewTable()
	b.Submit(newJob("j1", 0, "a", "b"))
	partial := func(s string) PartialText { return PartialText{Text: NewText([]byte(s)), Versions: []uint64{1}} }
	if !b.AppendText(Key{ID: "j1"}, "a", Prefix{}, partial("one ")) || !b.AppendText(Key{ID: "j1"}, "a", Prefix{Len: 4}, partial("two ")) {
		t.Fatal("a continuation at the right offset was rejected")
	}
	if b.AppendText(Key{ID: "j1"}, "a", Prefix{Len: 4}, partial("two ")) {
		t.Error("a part was appended twice")
	}
	if b.Finish(Key{ID: "j1"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Text: NewText([]byte("end"))}) {
		t.Error("a result that does not continue the stored text was accepted")
	}
	b.End(Key{ID: "j1"})
	b.Submit(newJob("j2", 0, "a"))
	if p, ok := b.PartialText(Key{ID: "a"}); !ok || mustUnpack(t, p.Text) != "one two " {
		t.Errorf("stored text of a carried over item: %q", mustUnpack(t, p.Text))
	}
	if !b.Finish(Key{ID: "j2"}, Prefix{Len: 8}, Result{ID: "a", State: Completed, Text: NewText([]byte("end"))}) {
		t.Fatal("a result that continues the stored text was rejected")
	}
	if p, _ := b.Read(Key{ID: "j2"}, 0, 100); mustUnpack(t, p.Results[0].Text) != "one two end" {
		t.Errorf("text of the result: %q", mustUnpack(t, p.Results[0].Text))
	}
	if _, ok := b.PartialText(Key{ID: "a"}); ok {
		t.Error("the partial text is still stored after the item got its result")
	}
}
