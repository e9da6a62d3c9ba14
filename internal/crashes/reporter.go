// Package crashes keeps requests in quarantine on an entry host. It tells the state group of targets that crash while
// they run requests of this host and of the answers that clear such requests, and asks it for trials. Package
// quarantine decides.
package crashes

import (
	"context"
	"log/slog"
	"time"

	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/quarantine"
)

const (
	// reportTimeout bounds the attempts to tell the state group of a crash or an answer.
	reportTimeout = 3 * time.Second
	// suspectWait is how long a request waits after the first crash under it for the end of another run. Most requests
	// that crash a target do so sooner, and a sound one is answered sooner.
	suspectWait = 150 * time.Millisecond
	// trialTimeout bounds the wait for the grant of a trial.
	trialTimeout = 200 * time.Millisecond
	// answerQueueSize is the number of answers that wait to be told; the oldest are dropped, since a request that is
	// answered once is answered again.
	answerQueueSize = 256
)

// Group is the state group.
type Group interface {
	ReportCrash(ctx context.Context, c quarantine.Crash) error
	ReportAnswer(ctx context.Context, f quarantine.Fingerprint) error
	RequestTrial(ctx context.Context, f quarantine.Fingerprint, revision uint64) (granted bool, err error)
}

// Reporter is the quarantine of an entry host. It implements kernel.Service and is safe for concurrent use.
type Reporter struct {
	view    *clusterview.View
	group   Group
	log     *slog.Logger
	answers *kernel.Ring[quarantine.Fingerprint]

	crashes, judged *observe.Counter
}

// Results of requests under suspicion, in metrics.
const (
	resultRefused = "refused"
	resultTrial   = "trial"
	resultCareful = "careful"
	resultCleared = "cleared"
)

// NewReporter returns a reporter for the host of a view.
func NewReporter(v *clusterview.View, g Group, log *slog.Logger, m *observe.Metrics) *Reporter {
	r := &Reporter{view: v, group: g, log: log, answers: kernel.NewRing[quarantine.Fingerprint]("crashes/answers", answerQueueSize, kernel.DropOldest)}
	r.crashes = m.Counter("target_crashes_total", "Crashes of targets while they ran requests of this host, counted for each request.")
	r.judged = m.Counter("suspect_requests_total", "Requests under which targets have crashed before: refused, sent as a trial, sent carefully, or cleared by an answer.",
		observe.Label{Name: "result", Values: []string{resultRefused, resultTrial, resultCareful, resultCleared}})
	m.GaugeFunc("quarantined_requests", "Requests in quarantine, of which at least two targets have crashed.", func() float64 { return float64(v.CountQuarantined()) })
	return r
}

// Start implements kernel.Service.
func (r *Reporter) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("crashes/answers", func(ctx context.Context) error { return r.answers.Consume(ctx, r.reportAnswer) })
	return nil
}

// Stop implements kernel.Service.
func (r *Reporter) Stop(context.Context) error { return nil }

// HasSuspects reports whether any request is under suspicion. If not, no fingerprint is needed.
func (r *Reporter) HasSuspects() bool { return r.view.HasSuspects() }

// Judge returns the verdict on a request; a Trial has been granted. releases are the software versions of the targets
// that could run the request.
func (r *Reporter) Judge(ctx context.Context, f quarantine.Fingerprint, releases []string) quarantine.Judgement {
	e, j := r.awaitVerdict(ctx, f, releases)
	if j.Verdict == quarantine.Trial && !r.requestTrial(ctx, &e) {
		j.Verdict, j.Wait = quarantine.Refuse, trialTimeout
	}
	switch j.Verdict {
	case quarantine.Refuse:
		r.judged.Inc(resultRefused)
	case quarantine.Trial:
		r.judged.Inc(resultTrial)
	case quarantine.Careful:
		r.judged.Inc(resultCareful)
	}
	return j
}

// awaitVerdict returns what is known of a request and the verdict. If a target has crashed under it just now, the request
// may be in progress at another one, at whatever host: it waits until that one has crashed or answered, at most
// suspectWait.
func (r *Reporter) awaitVerdict(ctx context.Context, f quarantine.Fingerprint, releases []string) (quarantine.Entry, quarantine.Judgement) {
	for {
		changed := r.view.Changed()
		e, since, ok := r.view.QuarantineEntry(f)
		if !ok {
			return e, quarantine.Judgement{}
		}
		j := e.Judge(since, releases)
		if j.Verdict != quarantine.Careful || since >= suspectWait || ctx.Err() != nil {
			return e, j
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(suspectWait - since):
		}
	}
}

// requestTrial asks for a trial and reports whether it is granted.
func (r *Reporter) requestTrial(ctx context.Context, e *quarantine.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	granted, err := r.group.RequestTrial(ctx, e.Fingerprint, e.Revision)
	args := []any{"fingerprint", string(e.Fingerprint), "crashes", e.Crashes, "trials", e.Trials, "granted", granted}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	r.log.Info("trial of request in quarantine", args...)
	return granted
}

// Crashed tells the state group that a target has crashed while it ran a request. The returned channel is closed when
// the state group has stored it, or cannot be reached.
func (r *Reporter) Crashed(request string, c quarantine.Crash) <-chan struct{} {
	r.crashes.Inc()
	r.log.Warn("target crashed under a request", "request", request, "fingerprint", string(c.Fingerprint), "target", c.Instance.Target,
		"incarnation", c.Instance.Incarnation, "release", c.Instance.Release)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := r.group.ReportCrash(ctx, c); err != nil {
			r.log.Warn("crash of target not stored", "fingerprint", string(c.Fingerprint), "target", c.Instance.Target, "error", err.Error())
		}
	}()
	return done
}

// Answered tells the state group that a target has answered a request, unless that is not under suspicion.
func (r *Reporter) Answered(f quarantine.Fingerprint) {
	if e, _, ok := r.view.QuarantineEntry(f); ok && e.Crashes > 0 {
		_ = r.answers.Push(context.Background(), f) // never blocks
	}
}

// reportAnswer tells the state group of one answer unless the request is cleared meanwhile.
func (r *Reporter) reportAnswer(ctx context.Context, f quarantine.Fingerprint) {
	if e, _, ok := r.view.QuarantineEntry(f); !ok || e.Crashes == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := r.group.ReportAnswer(ctx, f); err != nil {
		r.log.Warn("answer to a request under suspicion not stored", "fingerprint", string(f), "error", err.Error())
		return
	}
	r.judged.Inc(resultCleared)
}
