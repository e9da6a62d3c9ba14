// Package notice records what targets state about themselves in their answers: that they leave, and how many requests
// they take. It counts the departures and tells the state group, which acts on what several hosts have seen.
package notice

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
)

// The sources of notices: the kinds of answers that carry them.
const (
	SourceRequest = "request"
	SourceStream  = "stream"
	SourceItem    = "item"
	SourceScoring = "scoring call"
)

const (
	// queueSize is the number of notices that wait to be told. If more wait, the oldest are dropped: others learn
	// from their own answers.
	queueSize = 64
	// tellTimeout bounds the attempts to tell the state group of one notice.
	tellTimeout = 3 * time.Second
)

// Answer is a response of a target that was found to be the answer to a request.
type Answer struct {
	Source      string
	Target      string
	Incarnation int64 // incarnation that the request was sent to
	RequestID   string
	Status      int
	Header      http.Header
}

// Record records what a target states in an answer. An answer that does not carry the ID of its request, or that
// comes from another instance, says nothing about the target.
func Record(h *dialect.Headers, v *clusterview.View, log *slog.Logger, a *Answer) {
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get(h.RequestID) != a.RequestID {
		return
	}
	recordDeparture(h, v, log, a)
	recordRateLimit(h, v, log, a)
}

func recordDeparture(h *dialect.Headers, v *clusterview.View, log *slog.Logger, a *Answer) {
	leaving, unknown := h.AnnouncesDeparture(a.Header)
	if unknown != "" {
		log.Warn("departure notice ignored", "target", a.Target, "source", a.Source, "request", a.RequestID, "value", unknown)
	}
	if leaving {
		v.RecordNotice(fleet.Departure{Target: a.Target, Incarnation: a.Incarnation}, a.Source)
	}
}

// recordRateLimit records the limit in an answer. An answer without one ends the limit.
func recordRateLimit(h *dialect.Headers, v *clusterview.View, log *slog.Logger, a *Answer) {
	rate, stated, invalid := h.StatedRate(a.Header)
	switch {
	case invalid != "":
		log.Warn("limit of target ignored", "target", a.Target, "source", a.Source, "request", a.RequestID, "value", invalid)
		return
	case stated:
		rate = max(rate, fleet.MinRate)
	}
	v.RecordRateLimit(fleet.RateLimit{Target: a.Target, Incarnation: a.Incarnation, Rate: rate}, a.Source)
}

// Reporter tells the state group of the notices that a host records. It implements kernel.Service.
type Reporter struct {
	view    *clusterview.View
	tell    func(context.Context, fleet.Departure) error
	queue   *kernel.Ring[fleet.Departure]
	log     *slog.Logger
	counter *observe.Counter
}

// NewReporter returns a reporter of the notices of a view. tell sends one notice to the state group.
func NewReporter(v *clusterview.View, tell func(context.Context, fleet.Departure) error, log *slog.Logger, m *observe.Metrics) *Reporter {
	r := &Reporter{view: v, tell: tell, log: log, queue: kernel.NewRing[fleet.Departure]("notices", queueSize, kernel.DropOldest)}
	r.counter = m.Counter("departure_notices_total", "Targets that announced in an answer to this host that they leave, by kind of answer.",
		observe.Label{Name: "source", Values: []string{SourceRequest, SourceStream, SourceItem, SourceScoring}})
	v.OnNotice = r.enqueue
	return r
}

func (r *Reporter) enqueue(d fleet.Departure, source string) {
	r.counter.Inc(source)
	_ = r.queue.Push(context.Background(), d) // never blocks
}

// Start implements kernel.Service.
func (r *Reporter) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("notices", func(ctx context.Context) error { return r.queue.Consume(ctx, r.report) })
	return nil
}

// Stop implements kernel.Service.
func (r *Reporter) Stop(context.Context) error { return nil }

// report tells the state group of a notice unless the departure is known meanwhile.
func (r *Reporter) report(ctx context.Context, d fleet.Departure) {
	if r.view.HasDeparted(d) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := r.tell(ctx, d); err != nil {
		r.log.Warn("departure notice not stored", "target", d.Target, "incarnation", d.Incarnation, "error", err.Error())
	}
}
