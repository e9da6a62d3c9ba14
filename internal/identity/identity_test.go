package identity

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/observe"
)

// reporter is an engine that states an incarnation, or does not answer if that is negative.
type reporter struct {
	incarnation int64
	calls       int
	onCall      func()
}

func (r *reporter) FetchReport(context.Context, string, string) (dialect.EngineReport, error) {
	r.calls++
	if r.onCall != nil {
		r.onCall()
	}
	if r.incarnation < 0 {
		return dialect.EngineReport{}, errors.New("no answer")
	}
	return dialect.EngineReport{Incarnation: r.incarnation}, nil
}

func (r *reporter) SendOrder(context.Context, string, dialect.Order) (dialect.OrderResult, error) {
	return dialect.OrderUnknown, nil
}

// Guards against a target that is taken for an earlier start of another version, and against one that is refused although
// its version is known to be the same, or cannot be asked.
func TestCheckerFindsLaterStarts(t *testing.T) {
	const first, second = 1000, 2000
	claim := Claim{Target: "t", Incarnation: first, Release: "v1"}
	answered := func(at int64) Claim {
		c := claim
		c.AnsweredAt = at
		return c
	}
	for name, c := range map[string]struct {
		claim  Claim
		known  int64 // incarnation that the host knows; 0 if it does not know the target
		of     string
		says   int64  // incarnation that the target states; 0 if it states none, -1 if it does not answer
		learns string // version of the second start, of which the host learns during the check
		want   bool
		calls  int
	}{
		"the same start":                       {claim, first, "v1", first, "", true, 1},
		"a later start, not known yet":         {claim, first, "v1", second, "", false, 1},
		"a later start of the same version":    {claim, first, "v1", second, "v1", true, 1},
		"a later start of another version":     {claim, first, "v1", second, "v2", false, 1},
		"a known later start, same version":    {claim, second, "v1", second, "", true, 0},
		"a known later start, another version": {claim, second, "v2", second, "", false, 0},
		"it does not answer":                   {claim, first, "v1", -1, "", true, 1},
		"it states no start":                   {claim, first, "v1", 0, "", true, 1},
		"the host does not know it":            {claim, 0, "", second, "", true, 0},
		"answered before the later start":      {answered(second - 2*maxClockSkew.Milliseconds()), second, "v2", second, "", true, 0},
		"answered at about the later start":    {answered(second - 1), second, "v2", second, "", false, 0},
		"answered after the later start":       {answered(second + 2*maxClockSkew.Milliseconds()), first, "v1", second, "v2", false, 1},
		"no claim":                             {Claim{}, first, "v1", second, "", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			view := clusterview.NewView(slog.New(slog.DiscardHandler), nil)
			update := func(incarnation int64, release string) {
				view.UpdateTarget(fleet.Target{ID: "t", Service: "s", Address: "10.0.0.1:1", State: fleet.Ready, Slots: 1, Incarnation: incarnation, Sequence: 1, Release: release})
			}
			if c.known > 0 {
				update(c.known, c.of)
			}
			r := &reporter{incarnation: c.says}
			if c.learns != "" {
				r.onCall = func() { time.AfterFunc(checkTimeout/5, func() { update(second, c.learns) }) }
			}
			checker := NewChecker(view, r, slog.New(slog.DiscardHandler), observe.NewMetrics())
			begin := time.Now()
			if got := checker.Confirms(t.Context(), c.claim); got != c.want || r.calls != c.calls {
				t.Errorf("confirmed: %v after %d calls, want %v after %d", got, r.calls, c.want, c.calls)
			}
			if took := time.Since(begin); took > 4*checkTimeout {
				t.Errorf("took %s", took)
			}
		})
	}
	if !(*Checker)(nil).Confirms(t.Context(), claim) {
		t.Error("no checker refutes a target")
	}
}
