package ledger

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

func open(step string, bound uint64, groups ...Group) Command {
	return Command{OpenStep: &OpenStep{Tenancy: "kolfe", Step: step, Model: "sorter", StalenessBound: bound, DeadlineMs: 1000, Groups: groups}}
}

func publish(v uint64) Command {
	return Command{Publish: &Publish{Tenancy: "kolfe", Model: "sorter", Version: v}}
}

func produced(step string, slot int, attempt uint64, versions ...uint64) AttemptOutput {
	return AttemptOutput{Tenancy: "kolfe", Step: step, Slot: slot, Attempt: attempt, Versions: versions,
		Digest: Digest{byte(slot), byte(attempt)}, Tokens: 10, Holders: []string{"h1", "h2"}}
}

func accept(p ...AttemptOutput) Command { return Command{Accept: &Accept{Produced: p}} }

func fetch(step string, ack uint64, limit int) Command {
	return Command{Fetch: &Fetch{Tenancy: "kolfe", Step: step, Ack: ack, MaxSamples: limit}}
}

// Guards against every wrong verdict that would break labels (P1), staleness (P2) or
// exactly-once delivery (P3).
func TestVerdicts(t *testing.T) {
	l := New()
	l.Apply(open("s", 1, Group{Prompt: "p", Samples: 8, MaxTokens: 10}))
	l.Apply(publish(5))
	got := l.Apply(accept(
		produced("s", 0, 1, 5), produced("s", 0, 1, 5), produced("s", 0, 2, 5), produced("s", 1, 1), produced("s", 1, 1, 0),
		produced("s", 1, 1, 5, 6), produced("s", 1, 1, 3, 5), produced("s", 9, 1, 5), produced("x", 1, 1, 5), produced("s", 1, 0, 5),
	)).Verdicts
	want := []Verdict{Accepted, Repeated, Duplicate, NoLabels, NoLabels, NotPublished, TooOld, UnknownSlot, UnknownSlot, Superseded}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if n := l.Counters().Verdicts[Duplicate]; n != 1 {
		t.Errorf("duplicates counted = %d, want 1", n)
	}
}

// Guards against a cursor that skips or repeats a batch, and against a withdrawn sample
// that stays in the open batch.
func TestCursorAndWithdrawal(t *testing.T) {
	l := New()
	l.Apply(open("s", 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
	l.Apply(publish(1))
	l.Apply(accept(produced("s", 0, 1, 1), produced("s", 1, 1, 1)))
	first := l.Apply(fetch("s", 0, 1)).Batch
	if diff := cmp.Diff(first, l.Apply(fetch("s", 0, 9)).Batch); diff != "" {
		t.Errorf("the open batch changed on a repeated fetch: %s", diff)
	}
	var mismatch *CursorMismatch
	if err := l.Apply(fetch("s", 2, 1)).Failure; !errors.As(err, &mismatch) || mismatch.Behind() {
		t.Fatalf("ack ahead of the cursor: %v", err)
	}
	second := l.Apply(fetch("s", 1, 1)).Batch
	if second.Number != 2 || second.Samples[0].Slot != 1 {
		t.Fatalf("second batch = %+v", second)
	}
	if err := l.Apply(fetch("s", 0, 1)).Failure; !errors.As(err, &mismatch) || !mismatch.Behind() {
		t.Fatalf("ack behind the cursor: %v", err)
	}
	r := l.Apply(Command{Fetch: &Fetch{Tenancy: "kolfe", Step: "s", Ack: 1, TrainerVersion: 3}})
	if diff := cmp.Diff(Slots{1}, r.Batch.Withdrawn); diff != "" || len(r.ReopenedSlots) != 1 || len(r.Batch.Samples) != 0 {
		t.Errorf("withdrawal: %s, result %+v", diff, r)
	}
	if v := l.Apply(accept(produced("s", 1, 1, 3))).Verdicts[0]; v != Superseded {
		t.Errorf("repeated output of a withdrawn attempt: %s", v)
	}
	l.Apply(accept(produced("s", 1, 2, 3)))
	if l.Apply(fetch("s", 1, 1)).Batch.Revision == second.Revision {
		t.Error("batch 2 has other content under the same revision")
	}
	err := l.Apply(Command{Fetch: &Fetch{Tenancy: "kolfe", Step: "s", Ack: 2, AckRevision: second.Revision}}).Failure
	if errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("acknowledgement of an outdated answer: %v", err)
	}
}

// Guards against a step that is run again by a late repetition of OpenStep, and against
// memory that grows with the number of steps.
func TestCloseAndRetention(t *testing.T) {
	l := New()
	l.Apply(publish(1))
	for i := range KeepFinished + 2 {
		id := string(rune('a' + i))
		l.Apply(open(id, 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
		l.Apply(accept(produced(id, 1, 1, 1)))
		if err := l.Apply(Command{CloseStep: &CloseStep{Tenancy: "kolfe", Step: id, NowMs: 999}}).Failure; err == nil {
			t.Fatal("closed before the deadline")
		}
		r := l.Apply(Command{CloseStep: &CloseStep{Tenancy: "kolfe", Step: id, NowMs: 1000}})
		if diff := cmp.Diff(Slots{0, 2}, r.Closed.Missing); diff != "" {
			t.Fatal(diff)
		}
		l.Apply(fetch(id, 0, 0))
		if b := l.Apply(fetch(id, 1, 0)).Batch; !b.Complete || len(b.Missing) != 2 {
			t.Fatalf("last batch = %+v", b)
		}
	}
	if n := len(l.Steps()); n != KeepFinished {
		t.Errorf("%d steps are kept, want %d", n, KeepFinished)
	}
	r := l.Apply(open("a", 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
	if r.Opened == nil || !r.Opened.Finished {
		t.Errorf("late repetition of a removed step: %+v", r)
	}
	r = l.Apply(open("a", 2, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
	if errs.CodeOf(r.Failure) != errs.CodeConflict {
		t.Errorf("other content of a removed step: %v", r.Failure)
	}
}

// Guards against a field that is lost between the proposer and the replicas.
func TestCommandAndResultEncoding(t *testing.T) {
	l := New()
	for _, c := range []Command{open("s", 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}), publish(4),
		accept(produced("s", 0, 1, 4), produced("s", 2, 7, 3, 4)), fetch("s", 0, 1), fetch("s", 1, 5),
		{PayloadLost: &PayloadLost{Tenancy: "kolfe", Step: "s", Slot: 2}}, {CloseStep: &CloseStep{Tenancy: "kolfe", Step: "s", NowMs: 5000}}} {
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeCommand(b)
		if diff := cmp.Diff(c, back, ignoreMarkers); err != nil || diff != "" {
			t.Error(err, diff)
		}
		r := l.Apply(back)
		r.Released = nil // not encoded
		if b, err = r.Encode(); err != nil {
			t.Fatal(err)
		}
		again, err := DecodeResult(b)
		if diff := cmp.Diff(r, again, ignoreMarkers, cmpopts.EquateEmpty()); err != nil || diff != "" {
			t.Error(err, diff)
		}
	}
}

// Guards against a conflict for a step that is resent after a lost answer: the serving host
// computes another deadline each time.
func TestResentStepWithLaterDeadlineIsRepeated(t *testing.T) {
	l := New()
	first := open("s", 1, Group{Prompt: "p", Samples: 2, MaxTokens: 10})
	l.Apply(first)
	first.OpenStep.DeadlineMs += 250
	r := l.Apply(first)
	if r.Failure != nil || !r.Opened.Repeated {
		t.Errorf("resent step: %+v, %v", r.Opened, r.Failure)
	}
}
