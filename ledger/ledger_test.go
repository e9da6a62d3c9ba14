package ledger

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

func openStepCommand(step string, bound uint64, groups ...Group) Command {
	return Command{OpenStep: &OpenStep{Tenancy: "kolfe", Step: step, Model: "sorter", StalenessBound: bound, DeadlineMs: 1000, Groups: groups}}
}

func publishCommand(v uint64) Command {
	return Command{Publish: &Publish{Tenancy: "kolfe", Model: "sorter", Version: v}}
}

func newOutput(step string, slot int, attempt uint64, versions ...uint64) AttemptOutput {
	return AttemptOutput{Tenancy: "kolfe", Step: step, Slot: slot, Attempt: attempt, Versions: versions,
		Digest: Digest{byte(slot), byte(attempt)}, Tokens: 10, Holders: []string{"h1", "h2"}}
}

func acceptCommand(p ...AttemptOutput) Command { return Command{Accept: &Accept{Produced: p}} }

func fetchCommand(step string, ack uint64, limit int) Command {
	return Command{Fetch: &Fetch{Tenancy: "kolfe", Step: step, Ack: ack, MaxSamples: limit}}
}

// Guards against wrong verdicts, which would break version labels, the staleness bound or
// exactly-once delivery.
func TestVerdicts(t *testing.T) {
	l := New()
	l.Apply(openStepCommand("s", 1, Group{Prompt: "p", Samples: 8, MaxTokens: 10}))
	l.Apply(publishCommand(5))
	got := l.Apply(acceptCommand(
		newOutput("s", 0, 1, 5), newOutput("s", 0, 1, 5), newOutput("s", 0, 2, 5), newOutput("s", 1, 1), newOutput("s", 1, 1, 0),
		newOutput("s", 1, 1, 5, 6), newOutput("s", 1, 1, 3, 5), newOutput("s", 9, 1, 5), newOutput("x", 1, 1, 5), newOutput("s", 1, 0, 5),
	)).Verdicts
	want := []Verdict{Accepted, Repeated, Duplicate, NoLabels, NoLabels, NotPublished, TooOld, UnknownSlot, UnknownSlot, Superseded}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if n := l.Counters().Verdicts[Duplicate]; n != 1 {
		t.Errorf("duplicates counted = %d, want 1", n)
	}
}

// Guards against a cursor that skips or repeats a batch, and against withdrawn samples that
// remain in the open batch.
func TestCursorAndWithdrawal(t *testing.T) {
	l := New()
	l.Apply(openStepCommand("s", 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
	l.Apply(publishCommand(1))
	l.Apply(acceptCommand(newOutput("s", 0, 1, 1), newOutput("s", 1, 1, 1)))
	first := l.Apply(fetchCommand("s", 0, 1)).Batch
	if diff := cmp.Diff(first, l.Apply(fetchCommand("s", 0, 9)).Batch); diff != "" {
		t.Errorf("the open batch changed on a repeated fetch: %s", diff)
	}
	var mismatch *CursorMismatch
	if err := l.Apply(fetchCommand("s", 2, 1)).Failure; !errors.As(err, &mismatch) || mismatch.AckBehind() {
		t.Fatalf("ack ahead of the cursor: %v", err)
	}
	second := l.Apply(fetchCommand("s", 1, 1)).Batch
	if second.Number != 2 || second.Samples[0].Slot != 1 {
		t.Fatalf("second batch = %+v", second)
	}
	if err := l.Apply(fetchCommand("s", 0, 1)).Failure; !errors.As(err, &mismatch) || !mismatch.AckBehind() {
		t.Fatalf("ack behind the cursor: %v", err)
	}
	r := l.Apply(Command{Fetch: &Fetch{Tenancy: "kolfe", Step: "s", Ack: 1, TrainerVersion: 3}})
	if diff := cmp.Diff(Slots{1}, r.Batch.Withdrawn); diff != "" || len(r.ReopenedSlots) != 1 || len(r.Batch.Samples) != 0 {
		t.Errorf("withdrawal: %s, result %+v", diff, r)
	}
	if v := l.Apply(acceptCommand(newOutput("s", 1, 1, 3))).Verdicts[0]; v != Superseded {
		t.Errorf("repeated output of a withdrawn attempt: %s", v)
	}
	l.Apply(acceptCommand(newOutput("s", 1, 2, 3)))
	if l.Apply(fetchCommand("s", 1, 1)).Batch.Revision == second.Revision {
		t.Error("batch 2 has different content under the same revision")
	}
	err := l.Apply(Command{Fetch: &Fetch{Tenancy: "kolfe", Step: "s", Ack: 2, AckRevision: second.Revision}}).Failure
	if errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("acknowledgement of an outdated answer: %v", err)
	}
}

// Guards against running a step again after a late retry of OpenStep, and against memory that
// grows with the number of steps.
func TestCloseAndRetention(t *testing.T) {
	l := New()
	l.Apply(publishCommand(1))
	for i := range MaxFinishedSteps + 2 {
		id := string(rune('a' + i))
		l.Apply(openStepCommand(id, 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
		l.Apply(acceptCommand(newOutput(id, 1, 1, 1)))
		if err := l.Apply(Command{CloseStep: &CloseStep{Tenancy: "kolfe", Step: id, NowMs: 999}}).Failure; err == nil {
			t.Fatal("the step was closed before its deadline")
		}
		r := l.Apply(Command{CloseStep: &CloseStep{Tenancy: "kolfe", Step: id, NowMs: 1000}})
		if diff := cmp.Diff(Slots{0, 2}, r.Closed.Missing); diff != "" {
			t.Fatal(diff)
		}
		l.Apply(fetchCommand(id, 0, 0))
		if b := l.Apply(fetchCommand(id, 1, 0)).Batch; !b.Complete || len(b.Missing) != 2 {
			t.Fatalf("last batch = %+v", b)
		}
	}
	if n := len(l.Steps()); n != MaxFinishedSteps {
		t.Errorf("%d steps are kept, want %d", n, MaxFinishedSteps)
	}
	r := l.Apply(openStepCommand("a", 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
	if r.Opened == nil || !r.Opened.Finished {
		t.Errorf("late retry of OpenStep for a removed step: %+v", r)
	}
	r = l.Apply(openStepCommand("a", 2, Group{Prompt: "p", Samples: 3, MaxTokens: 10}))
	if errs.CodeOf(r.Failure) != errs.CodeConflict {
		t.Errorf("OpenStep with different content for a removed step: %v", r.Failure)
	}
}

// Guards against fields that are lost in the encoding between the proposer and the replicas.
func TestCommandAndResultEncoding(t *testing.T) {
	l := New()
	for _, c := range []Command{openStepCommand("s", 1, Group{Prompt: "p", Samples: 3, MaxTokens: 10}), publishCommand(4),
		acceptCommand(newOutput("s", 0, 1, 4), newOutput("s", 2, 7, 3, 4)), fetchCommand("s", 0, 1), fetchCommand("s", 1, 5),
		{PayloadLost: &PayloadLost{Tenancy: "kolfe", Step: "s", Slot: 2}}, {CloseStep: &CloseStep{Tenancy: "kolfe", Step: "s", NowMs: 5000}}} {
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeCommand(b)
		if diff := cmp.Diff(c, decoded, ignoreBlankFields); err != nil || diff != "" {
			t.Error(err, diff)
		}
		r := l.Apply(decoded)
		r.Released = nil // not encoded
		if b, err = r.Encode(); err != nil {
			t.Fatal(err)
		}
		decodedResult, err := DecodeResult(b)
		if diff := cmp.Diff(r, decodedResult, ignoreBlankFields, cmpopts.EquateEmpty()); err != nil || diff != "" {
			t.Error(err, diff)
		}
	}
}

// Guards against a conflict when a step is resent after a lost answer. The serving host computes
// a different deadline each time.
func TestResentStepWithLaterDeadlineIsRepeated(t *testing.T) {
	l := New()
	first := openStepCommand("s", 1, Group{Prompt: "p", Samples: 2, MaxTokens: 10})
	l.Apply(first)
	first.OpenStep.DeadlineMs += 250
	r := l.Apply(first)
	if r.Failure != nil || !r.Opened.Repeated {
		t.Errorf("resent step: %+v, %v", r.Opened, r.Failure)
	}
}
