package jobs

import "testing"

// scoredJob returns a job with one item that is scored by the given request.
func scoredJob(id, item, call string, minVersion uint64) Job {
	j := newJob(id, minVersion, item)
	j.Items[0].Scoring = &ScoringRequest{ID: call, Host: "h", Path: "/score", Body: []byte("b")}
	return j
}

func completeText(s string, versions ...uint64) PartialText {
	return PartialText{Text: NewText([]byte(s)), Versions: versions, LastEventID: 2, EventCount: 2, Complete: true}
}

// Guards against a result that is listed as completed without the score that its trainer asked for.
func TestCompletedResultNeedsScore(t *testing.T) {
	b := NewTable()
	b.Submit(scoredJob("j", "a", "c1", 1))
	if !b.AppendText(Key{ID: "j"}, "a", Prefix{}, completeText("text", 1)) {
		t.Fatal("the complete text was rejected")
	}
	if b.Finish(Key{ID: "j"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Versions: []uint64{1}}) {
		t.Fatal("a result without a score was recorded")
	}
	if body, err := b.Body(Key{ID: "j"}, "a"); err != nil || len(body) == 0 {
		t.Errorf("body of an item that waits for its score: %q, %v", body, err)
	}
	if !b.Finish(Key{ID: "j"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Versions: []uint64{1}, Score: "s"}) {
		t.Fatal("the scored result was rejected")
	}
	page, _ := b.Read(Key{ID: "j"}, 0, 100)
	if r := page.Results[0]; r.Score != "s" || mustUnpack(t, r.Text) != "text" {
		t.Errorf("result %+v, want the committed text and the score", r)
	}
}

// Guards against a score of one request that is listed for another: a later job asks for the same item
// under a new scoring request.
func TestCarriedOverItemIsScoredByItsOwnRequest(t *testing.T) {
	b := NewTable()
	b.Submit(scoredJob("j1", "a", "c1", 1))
	b.AppendText(Key{ID: "j1"}, "a", Prefix{}, completeText("text", 2))
	b.Finish(Key{ID: "j1"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Versions: []uint64{2}, Score: "s1"})
	b.End(Key{ID: "j1"})
	b.Submit(scoredJob("j2", "a", "c2", 2))
	if p, _ := b.Read(Key{ID: "j2"}, 0, 100); len(p.Results) != 0 {
		t.Fatalf("the score of call c1 is listed for call c2: %+v", p.Results)
	}
	if p, ok := b.PartialText(Key{ID: "a"}); !ok || !p.Complete || mustUnpack(t, p.Text) != "text" {
		t.Errorf("stored text %+v, %v; want the complete text of the earlier job", p, ok)
	}
	b.Submit(scoredJob("j3", "a", "c1", 2))
	if p, _ := b.Read(Key{ID: "j3"}, 0, 100); len(p.Results) != 1 || p.Results[0].Score != "s1" {
		t.Errorf("results under the same request: %+v, want the earlier one", p.Results)
	}
	b.Submit(scoredJob("j4", "a", "c3", 3))
	if p, _ := b.Read(Key{ID: "j4"}, 0, 100); len(p.Results) != 0 {
		t.Errorf("a text of version 2 is listed in a job that requires 3: %+v", p.Results)
	}
}

// Guards against a late proposal of a part of a text that replaces the complete text, and against a
// repeated proposal of the complete text that is reported as lost.
func TestCompleteTextIsKept(t *testing.T) {
	b := NewTable()
	b.Submit(scoredJob("j", "a", "c1", 1))
	b.AppendText(Key{ID: "j"}, "a", Prefix{}, completeText("text", 1))
	if b.AppendText(Key{ID: "j"}, "a", Prefix{}, PartialText{Text: NewText([]byte("te")), Versions: []uint64{1}}) {
		t.Error("a part replaced the complete text")
	}
	if !b.AppendText(Key{ID: "j"}, "a", Prefix{}, completeText("text", 1)) {
		t.Error("the repeated command is reported as rejected")
	}
	if b.AppendText(Key{ID: "j"}, "a", Prefix{}, completeText("text", 2)) {
		t.Error("the same text of another version is reported as stored")
	}
	b.End(Key{ID: "j"})
	b.Submit(scoredJob("j2", "a", "c2", 3))
	if !b.AppendText(Key{ID: "j2"}, "a", Prefix{}, PartialText{Text: NewText([]byte("te")), Versions: []uint64{3}}) {
		t.Error("a text that the job does not accept blocks a new run")
	}
}

// Guards against a snapshot that loses the scoring request, the complete text or the score.
func TestRestoreKeepsScoring(t *testing.T) {
	b := NewTable()
	b.Submit(scoredJob("j", "a", "c1", 1))
	b.AppendText(Key{ID: "j"}, "a", Prefix{}, completeText("text", 1))
	b = Restore(b.Snapshot())
	if b.Finish(Key{ID: "j"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Versions: []uint64{1}}) {
		t.Error("the restored item needs no score")
	}
	if !b.Finish(Key{ID: "j"}, Prefix{Len: 4}, Result{ID: "a", State: Completed, Versions: []uint64{1}, Score: "s"}) {
		t.Error("the restored text is not complete")
	}
}
