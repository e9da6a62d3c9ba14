package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

// Guards against store hosts that accept jobs until they exceed their memory limit and lose them.
// Simulates trainers that submit one job with 1 MB of results per second, each readable for 140 s, on
// hosts that admit about 50 MB; without admission control they would hold 140 MB. A refused trainer
// retries after the announced delay and is then accepted.
func TestAdmissionBoundsMemory(t *testing.T) {
	const (
		memoryBytes = 150 << 20
		jobBytes    = 1 << 20
		retention   = 140 * time.Second
	)
	a := newAdmission(memoryBytes)
	limit := int(jobMemoryShare * memoryBytes)
	var accepted []time.Duration // submission times of the jobs that are held
	held := func(now time.Duration) int {
		for len(accepted) > 0 && now-accepted[0] > retention {
			accepted = accepted[1:]
		}
		return len(accepted) * jobBytes
	}
	refused, total := 0, 0
	retryAt := time.Duration(0) // time of the refused trainer's next attempt
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		if now < retryAt {
			continue
		}
		heldBytes := held(now)
		nextDrop := time.Duration(0)
		if len(accepted) > 0 {
			nextDrop = accepted[0] + retention - now
		}
		err := a.admit(heldBytes, jobBytes, nextDrop)
		if err == nil {
			accepted = append(accepted, now)
			total++
			if held(now) > limit {
				t.Fatalf("%d bytes are held at %s, limit %d", held(now), now, limit)
			}
			continue
		}
		var full *errs.Full
		if !errors.As(err, &full) || full.After <= 0 || full.After > retention {
			t.Fatalf("refused with %v", err)
		}
		if retryAt != 0 && now-retryAt < time.Second && heldBytes+jobBytes > limit {
			t.Fatalf("refused at %s although the trainer retried after the announced delay", now)
		}
		refused++
		retryAt = now + full.After + time.Second // the drop happens within a second
	}
	if refused == 0 || total < 10*60*52/141 {
		t.Errorf("%d jobs accepted, %d refused; want some refused and the memory limit used", total, refused)
	}
}

// Guards against a refusal, as not run, of a repeated submission of an accepted job, and against
// refusals of other commands while the memory is full.
func TestAdmissionRefusesOnlyNewJobs(t *testing.T) {
	st := mustNewStore(t, t.TempDir(), observe.NewMetrics())
	submit := func(id string) []byte {
		return storestate.EncodeCommand(&storestate.Command{SubmitJob: &jobs.Job{ID: id, Items: []jobs.Item{{ID: id + "-item", Body: make([]byte, 1000)}}}})
	}
	st.stateMachine.Apply(1, submit("known"))
	if err := st.admitCommand(submit("new")); err != nil {
		t.Errorf("refused without a limit: %v", err)
	}
	st.admission = admission{limitBytes: 1200}
	for name, c := range map[string]struct {
		command []byte
		refused bool
	}{
		"new job":       {submit("new"), true},
		"known job":     {submit("known"), false},
		"end":           {storestate.EncodeCommand(&storestate.Command{EndJob: &storestate.EndJob{Job: "known"}}), false},
		"configuration": {storestate.EncodeCommand(&storestate.Command{PutConfig: &storestate.PutConfig{Version: 3, Source: make([]byte, 2000)}}), false},
		"corrupt":       {[]byte("damaged"), false},
	} {
		err := st.admitCommand(c.command)
		if (err != nil) != c.refused || err != nil && (errs.OutcomeOf(err) != errs.NotRun || errs.RetryAfterOf(err) <= 0) {
			t.Errorf("%s: %v", name, err)
		}
	}
	st.stateMachine.Apply(2, storestate.EncodeCommand(&storestate.Command{DropJob: &storestate.DropJob{Job: "known"}}))
	if err := st.admitCommand(submit("new")); err != nil {
		t.Errorf("refused after a drop: %v", err)
	}
}

// Guards against an estimate of the job memory that omits bodies, results or partial texts.
func TestJobMemoryEstimate(t *testing.T) {
	b := jobs.NewTable()
	text := make([]byte, 5000)
	for i := range text {
		text[i] = byte(i * i)
	}
	for j := range 3 {
		id := fmt.Sprint(j)
		b.Submit(jobs.Job{ID: id, Items: []jobs.Item{{ID: id + "a", Body: text}, {ID: id + "b", Body: text}}})
		b.Finish(jobs.Key{ID: id}, jobs.Prefix{}, jobs.Result{ID: id + "a", State: jobs.Completed, Text: jobs.NewText(text)})
		b.AppendText(jobs.Key{ID: id}, id+"b", jobs.Prefix{}, jobs.PartialText{Text: jobs.NewText(text[:100])})
	}
	packedLen := jobs.NewText(text).PackedLen()
	if got, content := b.MemoryBytes(), 3*(packedLen+5000+100); got < content || got > content+3*2000 {
		t.Errorf("estimate of %d bytes for %d bytes of content", got, content)
	}
	for j := range 3 {
		b.Drop(jobs.Key{ID: fmt.Sprint(j)})
	}
	if b.MemoryBytes() != 0 {
		t.Errorf("estimate of %d bytes without jobs", b.MemoryBytes())
	}
}
