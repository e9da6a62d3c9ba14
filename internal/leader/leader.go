// Package leader locates the leader of a consensus group among the candidate hosts and calls it.
// It retries only calls that are safe to repeat, and its errors report whether a command may
// have run.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// RetryDelay is the delay between two rounds over all candidates, so that an election can finish.
const RetryDelay = 50 * time.Millisecond

// Call sends a request to one host. It returns errs.NotLeader when the host does not lead the group.
type Call func(ctx context.Context, host string) ([]byte, error)

// Finder locates and caches the leaders of groups. Its exported fields must be set before the first
// call.
type Finder struct {
	// KnownLeader returns the group's leader as known to this host from another source, or "".
	KnownLeader func(group string) string
	// Candidates returns the hosts to try in a round, in addition to the known leader.
	Candidates func(group string, round int) []string
	// AttemptTimeout limits one call, so that an unresponsive host does not use up the caller's
	// deadline.
	AttemptTimeout time.Duration

	mu      sync.Mutex
	leaders map[string]string
}

// Leader returns the known leader, else the cached one, else "".
func (f *Finder) Leader(group string) string {
	if host := f.KnownLeader(group); host != "" {
		return host
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaders[group]
}

// SetLeader caches the leader of a group.
func (f *Finder) SetLeader(group, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaders == nil {
		f.leaders = make(map[string]string)
	}
	f.leaders[group] = host
}

// forgetLeader drops the cached leader if it is host.
func (f *Finder) forgetLeader(group, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaders[group] == host {
		delete(f.leaders, group)
	}
}

// Do calls the group's leader. It tries the known leader, then the candidates, and follows each
// redirect to another leader, until ctx ends. A call that is not idempotent returns the first
// error after which it may have run. If an earlier attempt of an idempotent command may have
// run, the returned error does not report it as not run.
func (f *Finder) Do(ctx context.Context, group string, idempotent bool, call Call) ([]byte, error) {
	mayHaveRun := false
	for round := 0; ; round++ {
		var lastErr error = &errs.Unavailable{Resource: "group " + group, Reason: "no member is known"}
		tried := make(map[string]bool)
		queue := f.hostsToTry(group, round)
		for len(queue) > 0 && ctx.Err() == nil {
			host := queue[0]
			queue = queue[1:]
			if tried[host] {
				continue
			}
			tried[host] = true
			result, redirect, err := f.attempt(ctx, host, call)
			if err == nil {
				f.SetLeader(group, host)
				return result, nil
			}
			if isFinal(err, idempotent) {
				return nil, finalError(group, err, mayHaveRun)
			}
			lastErr = err
			mayHaveRun = mayHaveRun || errs.OutcomeOf(err) != errs.NotRun
			// A removed replica may redirect to a former leader, so a redirect to a host that
			// was already tried in this round is ignored.
			if redirect != "" && !tried[redirect] {
				f.SetLeader(group, redirect)
				queue = append([]string{redirect}, queue...)
			} else {
				f.forgetLeader(group, host)
			}
		}
		select {
		case <-ctx.Done():
			return nil, finalError(group, &errs.Unavailable{Resource: "group " + group, Reason: lastErr.Error()}, mayHaveRun)
		case <-time.After(RetryDelay):
		}
	}
}

// finalError returns the error for a command after its last attempt. If an earlier attempt may have
// run, an error with the outcome errs.NotRun describes the last attempt only and is replaced by
// errs.Interrupted.
func finalError(group string, err error, mayHaveRun bool) error {
	if mayHaveRun && errs.OutcomeOf(err) == errs.NotRun {
		return &errs.Interrupted{Operation: "command to group " + group, Reason: err.Error()}
	}
	return err
}

// hostsToTry returns the hosts of a round in the order in which they are tried.
func (f *Finder) hostsToTry(group string, round int) []string {
	var hosts []string
	if host := f.Leader(group); host != "" {
		hosts = append(hosts, host)
	}
	return append(hosts, f.Candidates(group, round)...)
}

// attempt calls one host. If the host is not the leader, redirect is the leader that it names, or "".
func (f *Finder) attempt(ctx context.Context, host string, call Call) (result []byte, redirect string, err error) {
	callCtx, cancel := context.WithTimeout(ctx, f.AttemptTimeout)
	defer cancel()
	result, err = call(callCtx, host)
	var notLeader *errs.NotLeader
	if errors.As(err, &notLeader) {
		redirect = notLeader.Leader
	}
	return result, redirect, err
}

// isFinal reports whether an error must be returned to the caller instead of trying another
// host.
func isFinal(err error, idempotent bool) bool {
	switch errs.CodeOf(err) {
	case errs.CodeNotLeader, errs.CodeUnavailable, errs.CodeOverloaded, errs.CodeDeadline, errs.CodeInterrupted:
		return !idempotent && errs.OutcomeOf(err) != errs.NotRun
	default:
		return true
	}
}
