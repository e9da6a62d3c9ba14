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

type recorder struct {
	name   string
	events *[]string
	fail   error
}

func (r *recorder) Start(context.Context, *Kernel) error {
	*r.events = append(*r.events, "start "+r.name)
	return r.fail
}

func (r *recorder) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

func quiet() *slog.Logger { return slog.New(slog.NewJSONHandler(io.Discard, nil)) }

// Guards against a service outliving one that it depends on.
func TestStopsInReverseOrderAfterFailedStart(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New(quiet())
	var events []string
	for _, r := range []*recorder{{"a", &events, nil}, {"b", &events, nil}, {"c", &events, &errs.Unavailable{Resource: "c"}}} {
		if err := k.Register(r.name, r); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err == nil {
		t.Fatal("start succeeded")
	}
	want := []string{"start a", "start b", "start c", "stop b", "stop a"}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Error(diff)
	}
}

// Guards against a panicking duty being lost silently.
func TestPanicIsReported(t *testing.T) {
	k := New(quiet())
	k.Go("broken", func(context.Context) error { panic("boom") })
	select {
	case err := <-k.Failed():
		if _, ok := err.(*Panicked); !ok {
			t.Errorf("failure is a %T", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no failure reported")
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestRingDropsOldest(t *testing.T) {
	r := NewRing[int]("r", 2, DropOldest)
	for i := range 4 {
		if err := r.Push(t.Context(), i); err != nil {
			t.Fatal(err)
		}
	}
	if got := []int{<-r.C(), <-r.C()}; !cmp.Equal(got, []int{2, 3}) || r.Dropped() != 2 {
		t.Errorf("kept %v, dropped %d", got, r.Dropped())
	}
}
