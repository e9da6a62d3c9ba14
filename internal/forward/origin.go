package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/origins"
)

// What two software versions of a service write does not fit together. A stream is bound to the version of the target
// that makes its first event, and goes on only there: within one request, and when its caller takes it up at any host.
// For the latter the state group stores the origin of each resumable stream before its first event is passed on.

// Times of the binding of streams.
const (
	// recordPatience is how long the first event waits until the origin of its stream is stored. Beyond it the event is
	// passed on: a stream whose origin is not known is refused when it is taken up, never mixed.
	recordPatience = 250 * time.Millisecond
	// recordTimeout bounds the attempts to store an origin; it exceeds an election.
	recordTimeout = 3 * time.Second
	// originTimeout bounds the read of an origin; it exceeds an election.
	originTimeout = 1500 * time.Millisecond
	// releasePatience is how long a stream that is bound to a version waits for a target of it that is free. Callers
	// abandon a stream after a gap of two seconds.
	releasePatience = time.Second
	// releaseRetryDelay is the delay between two choices in that time.
	releaseRetryDelay = 30 * time.Millisecond
)

// StreamOrigins stores what began a stream, for all hosts.
type StreamOrigins interface {
	RecordOrigin(ctx context.Context, o origins.Origin) error
	// Origin returns what began a stream; known is false if that is not stored.
	Origin(ctx context.Context, stream string) (o origins.Origin, known bool, err error)
}

// UseIdentities lets streams go on only at targets, and after targets, that have not started anew with another version
// meanwhile. It must be called before the first request.
func (f *Forwarder) UseIdentities(c *identity.Checker) { f.identities = c }

// UseStreamOrigins lets callers take streams up. It must be called before the first request; without it, streams go on
// within one request only.
func (f *Forwarder) UseStreamOrigins(o StreamOrigins) { f.origins = o }

// binding is the software version that a stream is bound to.
type binding struct {
	bound   bool
	release string
}

// allows reports whether a target of a software version may continue the stream.
func (b *binding) allows(release string) bool { return !b.bound || b.release == release }

// resumesStream reports whether the request takes up a stream of which its caller has events.
func (s *eventStream) resumesStream() bool {
	return s.lastEventID > 0 && s.route.Resumable && s.forwarder.origins != nil
}

// bindToOrigin binds a stream that its caller takes up. If the version that began it is in doubt, it refuses the
// request and returns false.
func (s *eventStream) bindToOrigin(ctx context.Context) bool {
	first := firstHeader(s.req.Header, s.forwarder.headers.Resumes)
	if first == "" {
		release, ok := s.onlyRelease()
		if !ok {
			s.refuse(retryAfterNoTarget, "several versions of "+s.service+" serve, and the first request of the stream is not named")
			return false
		}
		s.bind(release, "only version", first)
		return true
	}
	o, known, err := s.readOrigin(ctx, first)
	switch {
	case err != nil:
		s.refuse(retryAfterUnreachable, "the origin of the stream cannot be read: "+err.Error())
		return false
	case !known:
		s.refuse(retryAfterNoTarget, "the version that began the stream is not known; it has to begin anew")
		return false
	case o.Service == "", !s.forwarder.identities.Confirms(ctx, identity.Claim{Target: o.Target, Incarnation: o.Incarnation, Release: o.Release, AnsweredAt: o.AnsweredAt}):
		s.refuse(retryAfterNoTarget, "the target that began the stream has started anew, perhaps with another version; the stream has to begin anew")
		return false
	case !s.route.LeadsTo(o.Service):
		s.refuse(retryAfterNoTarget, "the route no longer leads to the service that began the stream; it has to begin anew")
		return false
	}
	s.service = o.Service
	s.bind(o.Release, "origin", first)
	return true
}

// firstHeader returns the value of the first of the named headers that is set, or "".
func firstHeader(h http.Header, names []string) string {
	for _, name := range names {
		if value := h.Get(name); value != "" {
			return value
		}
	}
	return ""
}

// readOrigin reads the origin of a stream from the state group. A host that is cut off fails at once.
func (s *eventStream) readOrigin(ctx context.Context, first string) (origins.Origin, bool, error) {
	if s.forwarder.view.IsIsolated() {
		return origins.Origin{}, false, &errs.Unavailable{Resource: "state group", Reason: "this host hears no majority of the voters", Outcome: errs.NotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	return s.forwarder.origins.Origin(ctx, s.originKey(first))
}

// onlyRelease returns the software version of the service if all its targets have the same, and this host is not cut
// off.
func (s *eventStream) onlyRelease() (release string, ok bool) {
	list := s.forwarder.view.Serving(s.service)
	for _, t := range list {
		if t.Release != list[0].Release {
			return "", false
		}
	}
	if len(list) == 0 || s.forwarder.view.IsIsolated() {
		return "", false
	}
	return list[0].Release, true
}

// bind binds the stream to a software version. source names what it follows from, first the request that began it.
func (s *eventStream) bind(release, source, first string) {
	s.binding = binding{bound: true, release: release}
	s.forwarder.log.Info("stream bound", "request", s.id, "service", s.service, "release", release, "source", source, "resumes", first, "last_event", s.lastEventID)
}

// bindToTarget binds the stream to the version of the target that has begun to answer, and starts to store its origin.
func (s *eventStream) bindToTarget(cand *choice) {
	if !s.route.Resumable {
		return
	}
	if !s.bound {
		s.bind(cand.Release, "answer", "")
	}
	if s.forwarder.origins == nil || s.forwarder.view.IsIsolated() {
		return
	}
	s.recorded = s.record(origins.Origin{Stream: s.originKey(s.id), Service: s.service, Release: s.release, Target: cand.ID, Incarnation: cand.Incarnation,
		AnsweredAt: s.answeredAt.UnixMilli()})
}

// originKey returns the ID under which the origin of a stream is stored. Accounts choose the IDs of requests independently.
// Neither an ID nor the name of an account contains a zero byte.
func (s *eventStream) originKey(id string) string {
	if s.caller.Account == "" || id == "" {
		return id
	}
	return s.caller.Account + "\x00" + id
}

// record starts to store the origin of a stream. The returned channel is closed when that has ended.
func (s *eventStream) record(o origins.Origin) <-chan struct{} {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.req.Context()), recordTimeout)
		defer cancel()
		if err := s.forwarder.origins.RecordOrigin(ctx, o); err != nil {
			s.forwarder.log.Warn("origin of a stream not stored", "request", s.id, "release", o.Release, "error", err.Error())
		}
	}()
	return recorded
}

// confirms reports whether a target is still the incarnation that it was chosen as.
func (s *eventStream) confirms(cand *choice) bool {
	return s.forwarder.identities.Confirms(s.req.Context(), newClaim(cand))
}

func newClaim(cand *choice) identity.Claim {
	return identity.Claim{Target: cand.ID, Incarnation: cand.Incarnation, Release: cand.Release}
}

// checkWriter asks the target of a broken attempt whether it was the incarnation that it was chosen as. If not, nobody can
// tell which version made its events: the stream ends, and is not taken up.
func (s *eventStream) checkWriter(cand *choice) {
	claim := newClaim(cand)
	claim.AnsweredAt = s.answeredAt.UnixMilli()
	if !s.route.Resumable || s.callerHasLeft() || s.forwarder.identities.Confirms(s.req.Context(), claim) {
		return
	}
	s.inDoubt = true
	if s.forwarder.origins != nil {
		s.record(origins.Origin{Stream: s.originKey(s.id)}) // of no service
	}
}

// awaitRecord waits until the origin is stored, or for recordPatience. It does nothing after the first event.
func (s *eventStream) awaitRecord() {
	if s.recorded == nil {
		return
	}
	timer := time.NewTimer(recordPatience)
	defer timer.Stop()
	select {
	case <-s.recorded:
	case <-timer.C:
		s.forwarder.log.Warn("event passed on before the origin of its stream is stored", "request", s.id, "release", s.release)
	case <-s.req.Context().Done():
	}
	s.recorded = nil
}

// awaitRelease waits for a target of the version that the stream is bound to, and chooses it. It gives up after
// releasePatience without progress, or at once if none serves.
func (s *eventStream) awaitRelease(ctx context.Context) (choice, bool) {
	if !s.bound {
		return choice{}, false
	}
	if s.waitsUntil.IsZero() {
		s.waitsUntil = bootclock.Now().Add(releasePatience)
	}
	for s.releaseServes() && bootclock.Now().Before(s.waitsUntil) {
		select {
		case <-ctx.Done():
			return choice{}, false
		case <-time.After(releaseRetryDelay):
		}
		s.tried = nil
		if cand, ok := s.pickTarget(ctx); ok {
			return cand, true
		}
	}
	return choice{}, false
}

// releaseServes reports whether a target of the version that the stream is bound to accepts new work.
func (s *eventStream) releaseServes() bool {
	return slices.ContainsFunc(s.forwarder.view.Serving(s.service), func(t fleet.Target) bool { return s.allows(t.Release) })
}
