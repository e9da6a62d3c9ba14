package duty

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/usage"
)

const (
	// sealInterval is how often the leader looks for windows to seal.
	sealInterval = 200 * time.Millisecond
	// sendInterval is how often the leader looks for a report to send. A backlog of an hour is sent in little more than a
	// minute.
	sendInterval = 100 * time.Millisecond
	// commitTimeout bounds one attempt to commit a command; the next round repeats it.
	commitTimeout = 3 * time.Second
)

// Results of reports, in metrics and logs.
const (
	resultAccepted = "accepted"
	resultBusy     = "busy"    // the platform accepts no more calls now
	resultFenced   = "fenced"  // a newer holder has made a call
	resultUnknown  = "unknown" // no answer, or an unexpected one
)

// State is the replicated state on this host.
type State interface {
	View(fn func(*storestate.State))
}

// UsageOptions configures a UsageReporter. All fields are required.
type UsageOptions struct {
	Usage settings.Usage
	// CallsPerSecond is the number of calls that the platform accepts from all hosts together; 0 if it is not known.
	CallsPerSecond float64
	Tenure         Tenure
	// Leads reports whether this replica leads the state group.
	Leads func() bool
	State State
	// Propose commits a command on the leader.
	Propose func(ctx context.Context, command []byte) ([]byte, error)
	// HasAccounts reports whether the configuration in force has client accounts.
	HasAccounts func() bool
	Platform    dialect.PlatformClient
	// ReadClocks reads the time of day and the clock of the tenure.
	ReadClocks func() usage.Reading
	Rand       *rand.Rand
	Log        *slog.Logger
	Metrics    *observe.Metrics
}

// UsageReporter reports the usage of client accounts to the platform while this host has tenure. It seals each window once
// its counts are final, and sends the sealed reports, the oldest first, until the platform has them. Package usage decides.
// It implements kernel.Service.
type UsageReporter struct {
	opts  UsageOptions
	pacer *usage.Pacer // used by the task that sends

	clockMu sync.Mutex
	clock   usage.Clock

	// The fields below are used by the task that sends.
	refusedFence uint64 // fencing token that the platform has refused; 0 if none
	// acceptedWindow is the window of the last report that the platform has accepted; anyAccepted is false if there is none.
	acceptedWindow uint64
	anyAccepted    bool

	reports, sealed, dropped *observe.Counter
}

// NewUsageReporter returns a reporter that is not started.
func NewUsageReporter(o UsageOptions) *UsageReporter {
	u := &UsageReporter{opts: o, pacer: usage.NewPacer(o.CallsPerSecond, o.Rand)}
	u.reports = o.Metrics.Counter("usage_reports_total", "Reports of usage sent to the platform by result.",
		observe.Label{Name: "result", Values: []string{resultAccepted, resultBusy, resultFenced, resultUnknown}})
	u.sealed = o.Metrics.Counter("usage_windows_sealed_total", "Windows of usage that this host has sealed.")
	u.dropped = o.Metrics.Counter("usage_windows_dropped_total", "Unsent windows of usage that were dropped because too many were kept.")
	o.Metrics.GaugeFunc("usage_oldest_unsent_seconds", "Time since the end of the oldest sealed window whose report the platform does not have; 0 if there is none.", u.oldestAge)
	return u
}

// Start implements kernel.Service.
func (u *UsageReporter) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("usage/seal", sealInterval, u.seal)
	k.Every("usage/send", sendInterval, u.sendOldest)
	return nil
}

// Stop implements kernel.Service. What is not sent is sent by the next leader.
func (u *UsageReporter) Stop(context.Context) error { return nil }

// now returns true time and the time of the clock of the tenure.
func (u *UsageReporter) now() (trueTime, steady time.Time) {
	r := u.opts.ReadClocks()
	u.clockMu.Lock()
	defer u.clockMu.Unlock()
	return u.clock.At(r), r.Steady
}

// seal fixes the reports of the windows whose counts are final. The first window is the one after the first configuration
// with accounts.
func (u *UsageReporter) seal(ctx context.Context) {
	now, steady := u.now()
	var next uint64
	var started bool
	u.opts.State.View(func(s *storestate.State) { next, started = s.Usage().Next() })
	if !started {
		u.start(ctx, usage.WindowAt(now, u.opts.Usage.Window)+1)
		return
	}
	last, ok := usage.Sealable(now, u.opts.Usage.Window, u.opts.Usage.DueAfter)
	if !ok || last < next {
		return
	}
	if _, ok := u.opts.Tenure.Token(steady); !ok {
		return
	}
	reply, err := u.commit(ctx, &storestate.Command{SealUsage: &storestate.UsageWindow{Window: last}})
	if err != nil {
		u.opts.Log.Warn("usage not sealed", "window", last, "error", err.Error())
		return
	}
	u.sealed.Add(float64(reply.SealedWindows))
	if reply.DroppedWindows > 0 {
		u.dropped.Add(float64(reply.DroppedWindows))
		u.opts.Log.Error("unsent usage dropped", "windows", reply.DroppedWindows, "sealed", reply.SealedWindows, "newest", last)
	}
}

// start makes a window the first one that is reported, if the configuration has accounts. It makes no call and needs no
// tenure.
func (u *UsageReporter) start(ctx context.Context, window uint64) {
	if !u.opts.Leads() || !u.opts.HasAccounts() {
		return
	}
	reply, err := u.commit(ctx, &storestate.Command{StartUsage: &storestate.UsageWindow{Window: window}})
	if err == nil && reply.Changed {
		u.opts.Log.Info("usage reports begin", "window", window)
	}
}

// commit commits a command.
func (u *UsageReporter) commit(ctx context.Context, c *storestate.Command) (storestate.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := u.opts.Propose(ctx, storestate.EncodeCommand(c))
	if err != nil {
		return storestate.Reply{}, err
	}
	return storestate.DecodeReply(out)
}

// oldest returns the oldest report that is sealed and not sent.
func (u *UsageReporter) oldest() (r usage.WindowCounts, ok bool) {
	u.opts.State.View(func(s *storestate.State) {
		if list := s.Usage().Unsent(); len(list) > 0 {
			r, ok = list[0], true
		}
	})
	return r, ok
}

// sendOldest sends the oldest report. It does not send one again that the platform has accepted, if only its removal
// could not be committed.
func (u *UsageReporter) sendOldest(ctx context.Context) {
	r, ok := u.oldest()
	if !ok {
		return
	}
	if u.anyAccepted && u.acceptedWindow == r.Window {
		u.remove(ctx, r.Window)
		return
	}
	report := newReport(&r)
	_, now := u.now()
	token, ok := u.opts.Tenure.Token(now)
	if !ok || token.Fence == u.refusedFence {
		return
	}
	timeout, ok := u.pacer.Begin(now)
	if !ok {
		return
	}
	result, err := u.call(ctx, timeout, token, report)
	_, end := u.now()
	u.logReport(&r, token, result, end.Sub(now), err)
	switch result {
	case resultAccepted:
		u.pacer.Succeeded(end)
		u.acceptedWindow, u.anyAccepted = r.Window, true
		u.remove(ctx, r.Window)
		return
	case resultFenced:
		u.refusedFence = token.Fence
	}
	u.pacer.Failed(end)
}

// call sends a report and returns its result.
func (u *UsageReporter) call(ctx context.Context, timeout time.Duration, token dialect.DutyToken, report dialect.UsageReport) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := u.opts.Platform.ReportUsage(ctx, token, report)
	var rejected *dialect.CallRejected
	switch {
	case err == nil:
		return resultAccepted, nil
	case !errors.As(err, &rejected):
		return resultUnknown, err
	case rejected.Conflict:
		return resultFenced, err
	}
	return resultBusy, err
}

// remove commits that the platform has the report of a window.
func (u *UsageReporter) remove(ctx context.Context, window uint64) {
	if !u.opts.Leads() {
		return
	}
	if _, err := u.commit(ctx, &storestate.Command{UsageSent: &storestate.UsageWindow{Window: window}}); err != nil {
		u.opts.Log.Warn("sent usage not removed", "window", window, "error", err.Error())
	}
}

// newReport returns the report of a sealed window.
func newReport(r *usage.WindowCounts) dialect.UsageReport {
	report := dialect.UsageReport{Window: r.Window, Counts: make(map[string]uint64, len(r.Counts))}
	for _, c := range r.Counts {
		report.Counts[c.Account] = c.Count
	}
	return report
}

// logReport logs one attempt to send a report and counts it.
func (u *UsageReporter) logReport(r *usage.WindowCounts, token dialect.DutyToken, result string, took time.Duration, err error) {
	u.reports.Inc(result)
	args := []any{"window", r.Window, "accounts", len(r.Counts), "requests", r.Total(), "result", result, "fence", token.Fence, "took_ms", took.Milliseconds()}
	if err != nil {
		u.opts.Log.Warn("usage report", append(args, "error", err.Error())...)
		return
	}
	u.opts.Log.Info("usage report", args...)
}

// oldestAge returns the value of the gauge of the oldest report that is not sent.
func (u *UsageReporter) oldestAge() float64 {
	r, ok := u.oldest()
	if !ok {
		return 0
	}
	now, _ := u.now()
	return max(now.Sub(usage.WindowEnd(r.Window, u.opts.Usage.Window)).Seconds(), 0)
}
