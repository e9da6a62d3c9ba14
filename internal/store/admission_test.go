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

// Guards against store hosts that accept work until they run into their memory and lose it. Plays
// trainers that submit a job of 1 MB of results each second, of which 140 s stay readable, against hosts
// with room for 50; without admission they hold 140 MB. A refused trainer comes back when it is told to
// and is then accepted.
func TestSubmissionsStayInsideTheMemory(t *testing.T) {
	const (
		memory   = 150 << 20
		jobBytes = 1 << 20
		keep     = 140 * time.Second
	)
	a := newAdmission(memory)
	limit := int(stateShare * memory)
	var accepted []time.Duration // of the jobs that are held
	held := func(now time.Duration) int {
		for len(accepted) > 0 && now-accepted[0] > keep {
			accepted = accepted[1:]
		}
		return len(accepted) * jobBytes
	}
	refused, total := 0, 0
	due := time.Duration(0) // when the refused trainer comes back
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		if now < due {
			continue
		}
		size := held(now)
		next := time.Duration(0)
		if len(accepted) > 0 {
			next = accepted[0] + keep - now
		}
		err := a.admit(size, jobBytes, next)
		if err == nil {
			accepted = append(accepted, now)
			total++
			if held(now) > limit {
				t.Fatalf("%d bytes are held at %s, limit %d", held(now), now, limit)
			}
			continue
		}
		var full *errs.Full
		if !errors.As(err, &full) || full.After <= 0 || full.After > keep {
			t.Fatalf("refused with %v", err)
		}
		if due != 0 && now-due < time.Second && size+jobBytes > limit {
			t.Fatalf("refused at %s although it came when it was told to", now)
		}
		refused++
		due = now + full.After + time.Second // the drop is noticed within a second
	}
	if refused == 0 || total < 10*60*52/141 {
		t.Errorf("%d accepted, %d refused; want some refused and the room used", total, refused)
	}
}

// Guards against a repeated submission of an accepted job that is refused as not run, and against other
// commands that are held up by a full store.
func TestOnlyNewJobsAreRefused(t *testing.T) {
	st := newStore(t, t.TempDir(), observe.NewMetrics())
	submit := func(id string) []byte {
		return storestate.EncodeCommand(&storestate.Command{SubmitJob: &jobs.Job{ID: id, Items: []jobs.Item{{ID: id + "-item", Body: make([]byte, 1000)}}}})
	}
	st.machine.Apply(1, submit("known"))
	if err := st.admit(submit("new")); err != nil {
		t.Errorf("a host without a limit refuses: %v", err)
	}
	st.admission = admission{limit: 1200}
	for name, c := range map[string]struct {
		command []byte
		refused bool
	}{
		"new job":       {submit("new"), true},
		"known job":     {submit("known"), false},
		"end":           {storestate.EncodeCommand(&storestate.Command{EndJob: &storestate.EndJob{Job: "known"}}), false},
		"configuration": {storestate.EncodeCommand(&storestate.Command{PutConfig: &storestate.PutConfig{Version: 3, Source: make([]byte, 2000)}}), false},
		"damaged":       {[]byte("damaged"), false},
	} {
		err := st.admit(c.command)
		if (err != nil) != c.refused || err != nil && (errs.OutcomeOf(err) != errs.NotRun || errs.RetryAfterOf(err) <= 0) {
			t.Errorf("%s: %v", name, err)
		}
	}
	st.machine.Apply(2, storestate.EncodeCommand(&storestate.Command{DropJob: &storestate.DropJob{Job: "known"}}))
	if err := st.admit(submit("new")); err != nil {
		t.Errorf("refused after a drop: %v", err)
	}
}

// Guards against a size that leaves out what fills the memory.
func TestSizeOfTheBook(t *testing.T) {
	b := jobs.NewTable()
	text := make([]byte, 5000)
	for i := range text {
		text[i] = byte(i * i)
	}
	for j := range 3 {
		id := fmt.Sprint(j)
		b.Submit(jobs.Job{ID: id, Items: []jobs.Item{{ID: id + "a", Body: text}, {ID: id + "b", Body: text}}})
		b.Finish(id, 0, jobs.Result{ID: id + "a", State: jobs.Completed, Text: jobs.NewText(text)})
		b.Progress(id, id+"b", 0, jobs.PartialText{Text: jobs.NewText(text[:100])})
	}
	stored := jobs.NewText(text).Stored()
	if got, least := b.Size(), 3*(stored+5000+100); got < least || got > least+3*2000 {
		t.Errorf("size %d of at least %d bytes of content", got, least)
	}
	for j := range 3 {
		b.Drop(fmt.Sprint(j))
	}
	if b.Size() != 0 {
		t.Errorf("size %d of an empty book", b.Size())
	}
}
