package storestate

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/jobs"
)

func apply(t *testing.T, s *State, c *Command) Reply {
	t.Helper()
	r, err := DecodeReply(s.Apply(s.Index()+1, EncodeCommand(c)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an older or equal configuration version that takes effect, and against other
// content under a stored version.
func TestHighestConfigurationWins(t *testing.T) {
	s := New()
	for _, c := range []struct {
		version uint64
		source  string
		changed bool
		force   uint64
	}{{5, "five", true, 5}, {4, "four", false, 5}, {5, "other", false, 5}, {9, "nine", true, 9}} {
		r := apply(t, s, &Command{PutConfig: &PutConfig{Version: c.version, Source: []byte(c.source)}})
		if r.Changed != c.changed || r.Version != c.force {
			t.Errorf("version %d (%s): %+v", c.version, c.source, r)
		}
	}
	if a := s.Answer(&Query{Config: true}); string(a.Config.Source) != "nine" {
		t.Errorf("stored %q", a.Config.Source)
	}
}

// Guards against texts that are exchanged, cut or lost by the encoding of commands and snapshots.
func TestTextsSurviveCommandAndSnapshot(t *testing.T) {
	s := New()
	apply(t, s, &Command{SubmitJob: &jobs.Job{ID: "j", Items: []jobs.Item{{ID: "a"}, {ID: "b"}, {ID: "c"}}}})
	want := map[string]string{"a": "first\nsecond", "b": "", "c": "third"}
	apply(t, s, &Command{Progress: &Progress{Items: []ItemProgress{
		{Job: "j", Item: "a", Partial: jobs.PartialText{Text: jobs.NewText([]byte("fir")), LastEventID: 1, EventCount: 1, Versions: []uint64{2}}},
		{Job: "j", Item: "c", Partial: jobs.PartialText{Text: jobs.NewText([]byte("th")), LastEventID: 1, EventCount: 1, Versions: []uint64{3}}},
	}}})
	r := apply(t, s, &Command{Progress: &Progress{Items: []ItemProgress{
		{Job: "j", Item: "a", Offset: 3, Partial: jobs.PartialText{Text: jobs.NewText([]byte("st\n")), LastEventID: 2, EventCount: 2, Versions: []uint64{2}}},
		{Job: "j", Item: "c", Offset: 1, Partial: jobs.PartialText{Text: jobs.NewText([]byte("x")), LastEventID: 2, EventCount: 2, Versions: []uint64{3}}},
	}}})
	if d := cmp.Diff([]bool{true, false}, r.Stored); d != "" {
		t.Error(d)
	}
	for _, f := range []FinishItem{
		{Job: "j", Offset: 6, Result: jobs.Result{ID: "a", State: jobs.Completed, Text: jobs.NewText([]byte("second")), Versions: []uint64{2, 3}}},
		{Job: "j", Result: jobs.Result{ID: "b", State: jobs.Terminated}},
		{Job: "j", Result: jobs.Result{ID: "c", State: jobs.Completed, Text: jobs.NewText([]byte("third")), Versions: []uint64{3}}},
	} {
		if r := apply(t, s, &Command{FinishItem: &f}); !r.Changed {
			t.Errorf("result of %s is not taken", f.Result.ID)
		}
	}
	restored := New()
	if err := restored.ReadSnapshot(bytes.NewReader(snapshotOf(t, s))); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"applied": s, "restored": restored} {
		a := state.Answer(&Query{Results: &ReadPage{Job: "j", MaxBytes: 1000}})
		got := make(map[string]string)
		for _, r := range a.Page.Results {
			text, err := r.Text.Bytes()
			if err != nil {
				t.Fatal(err)
			}
			got[r.ID] = string(text)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// Guards against a damaged command that stops the replicas or changes their state.
func FuzzDamagedCommandChangesNothing(f *testing.F) {
	f.Add(EncodeCommand(&Command{PutVersion: &PutVersion{Model: "m", Version: 2}}), 3)
	f.Add(EncodeCommand(&Command{FinishItem: &FinishItem{Job: "j", Result: jobs.Result{ID: "a", Text: jobs.NewText([]byte("text"))}}}), 9)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		s := New()
		s.Apply(1, data[:max(0, min(cut, len(data)))])
		if len(s.Jobs().Entries()) > 1 {
			t.Error("a cut command made more than one job")
		}
	})
}
