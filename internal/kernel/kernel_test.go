package kernel

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"fuchsiaflow/errs"
)

type recordingService struct {
	name     string
	events   *[]string
	startErr error
}

func (r *recordingService) Start(context.Context, *Kernel) error {
	*r.events = append(*r.events, "start "+r.name)
	return r.startErr
}

func (r *recordingService) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

func discardLogger() *slog.Logger { return slog.New(slog.NewJSONHandler(io.Discard, nil)) }

// Guards against a service that still runs after one that it depends on was stopped, and against
// services left running after a failed start.
func TestStopsInReverseOrderAfterFailedStart(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New(discardLogger())
	var events []string
	for _, r := range []*recordingService{{"a", &events, nil}, {"b", &events, nil}, {"c", &events, &errs.Unavailable{Resource: "c"}}} {
		if err := k.Register(r.name, r); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err == nil {
		t.Fatal("start succeeded although a service failed")
	}
	want := []string{"start a", "start b", "start c", "stop b", "stop a"}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Error(diff)
	}
}

// Guards against the panic of a task that goes unreported.
func TestPanicIsReported(t *testing.T) {
	k := New(discardLogger())
	k.Go("broken", func(context.Context) error { panic("boom") })
	select {
	case err := <-k.Failed():
		if _, ok := err.(*TaskPanicked); !ok {
			t.Errorf("failure is a %T, want *TaskPanicked", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no failure reported")
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against a full ring that drops the newest elements or does not count what it drops.
func TestRingDropsOldest(t *testing.T) {
	r := NewRing[int]("r", 2, DropOldest)
	for i := range 4 {
		if err := r.Push(t.Context(), i); err != nil {
			t.Fatal(err)
		}
	}
	if got := []int{<-r.C(), <-r.C()}; !cmp.Equal(got, []int{2, 3}) || r.Dropped() != 2 {
		t.Errorf("kept %v, dropped %d, want [2 3] and 2", got, r.Dropped())
	}
}
