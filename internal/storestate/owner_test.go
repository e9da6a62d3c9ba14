package storestate

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/jobs"
)

// Guards against owners that are lost in a command, a query or a snapshot, so that after a change of the leader or a restart a
// job is readable by all, or by nobody, and against another encoding of what has no owner, which hosts of an earlier build read.
func TestOwnersAreDurable(t *testing.T) {
	s := populatedState(t, 3, 10) // jobs without an owner
	apply := func(c *Command) Reply { return mustApply(t, s, c) }
	for _, owner := range []string{"a", "b", "c"} {
		job := jobs.Job{ID: "j2", Owner: owner, Host: "h", Path: "/p/", Items: []jobs.Item{{ID: "j2-0", Body: []byte(owner)}, {ID: "j2-4"}, {ID: "j2-5"}}}
		submit := EncodeCommand(&Command{SubmitJob: &job})
		if key, ok := SubmittedJob(submit); !ok || key != job.Key() {
			t.Errorf("the command submits job %+v, want %+v", key, job.Key())
		}
		s.Apply(s.Index()+1, submit)
		apply(&Command{Progress: &Progress{Items: []ItemProgress{{Job: "j2", Owner: owner, Item: "j2-4", Partial: jobs.PartialText{Text: jobs.NewText([]byte(owner))}}}}})
		apply(&Command{ItemFailures: &ItemFailures{Job: "j2", Owner: owner, Item: "j2-5", Count: len(owner)}})
	}
	apply(&Command{FinishItem: &FinishItem{Job: "j2", Owner: "b", Result: jobs.Result{ID: "j2-5", State: jobs.Completed, Text: jobs.NewText([]byte("b"))}}})
	apply(&Command{EndJob: &EndJob{Job: "j2", Caller: "b"}})
	if r := apply(&Command{EndJob: &EndJob{Job: "j9", Caller: "b"}}); !r.NotFound {
		t.Errorf("end of a job that the caller does not have: %+v", r)
	}
	apply(&Command{DropJob: &DropJob{Job: "j2", Owner: "c"}})
	data := encodeSnapshot(t, s)
	restored := New()
	if err := restored.ReadSnapshot(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	if again := encodeSnapshot(t, restored); !bytes.Equal(data, again) {
		t.Error("a snapshot with owners differs after a restore")
	}
	for caller, want := range map[string]int{"a": 0, "b": 1, "c": 2, "": 2} { // "c" reaches the job without an owner
		answer := restored.Answer(&Query{Results: &ReadPage{Job: "j2", Caller: caller, MaxBytes: 1 << 20}})
		if answer.NotFound || len(answer.Page.Results) != want {
			t.Errorf("caller %q reads %d results, want %d", caller, len(answer.Page.Results), want)
		}
	}
	if body := restored.Answer(&Query{Body: &ReadBody{Job: "j2", Item: "j2-0", Caller: "a"}}); string(body.Body) != "a" {
		t.Errorf("body %q, want that of account a", body.Body)
	}
	for owner, wantText := range map[string]bool{"a": true, "b": true, "c": false} {
		if _, ok := restored.Jobs().PartialText(jobs.Key{Owner: owner, ID: "j2-4"}); ok != wantText {
			t.Errorf("stored text of account %s: %t, want %t", owner, ok, wantText)
		}
	}
	b, _ := restored.Jobs().Entry(jobs.Key{Owner: "b", ID: "j2"})
	a, _ := restored.Jobs().Entry(jobs.Key{Owner: "a", ID: "j2"})
	if !b.Ended || a.Ended || a.Failures["j2-5"] != 1 {
		t.Errorf("ended: b %t, a %t; failures of a %v", b.Ended, a.Ended, a.Failures)
	}
	if old, _ := restored.Jobs().Entry(jobs.Key{ID: "j2"}); old == nil || old.Ended {
		t.Error("the job without an owner is gone or ended")
	}
	checkWithoutOwner(t)
}

// checkWithoutOwner checks that what has no owner is encoded as by builds that know none. The keys are the fields of the owner.
func checkWithoutOwner(t *testing.T) {
	t.Helper()
	for v, field := range map[any]int{EndJob{Job: "j"}: 2, DropJob{Job: "j"}: 2, &FinishItem{Job: "j"}: 5, &ItemProgress{Job: "j"}: 6, ItemFailures{Job: "j"}: 4,
		ReadPage{Job: "j"}: 5, ReadBody{Job: "j"}: 3, &jobs.Job{ID: "j"}: 10} {
		var fields map[int]cbor.RawMessage
		if err := cbor.Unmarshal(Encode(v), &fields); err != nil || len(fields) == 0 || fields[field] != nil {
			t.Errorf("%T without an owner has the fields %v, error %v", v, fields, err)
		}
	}
}
