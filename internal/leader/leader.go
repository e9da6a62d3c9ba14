// Package leader finds the leader of a consensus group among the hosts that may have it, and
// calls it. It retries only what is safe to repeat and reports truthfully whether a command
// may have run.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// RetryDelay separates two rounds over all candidates, so that an election can finish.
const RetryDelay = 50 * time.Millisecond

// Call asks one host. It returns errs.NotLeader when the host does not lead the group.
type Call func(ctx context.Context, host string) ([]byte, error)

// Finder remembers the leaders of groups. Its fields are set before the first call.
type Finder struct {
	// KnownLeader returns the leader that this host has learned of by other means, or "".
	KnownLeader func(group string) string
	// Candidates lists the hosts to ask in a round, besides the known leader.
	Candidates func(group string, round int) []string
	// AttemptTimeout bounds one call, so that a silent host does not use up the deadline of
	// the caller.
	AttemptTimeout time.Duration

	mu      sync.Mutex
	leaders map[string]string
}

// Leader returns the leader that is known or remembered, or "".
func (f *Finder) Leader(group string) string {
	if id := f.KnownLeader(group); id != "" {
		return id
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaders[group]
}

// Remember stores the leader of a group.
func (f *Finder) Remember(group, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaders == nil {
		f.leaders = make(map[string]string)
	}
	f.leaders[group] = host
}

// forget drops the remembered leader if it is host.
func (f *Finder) forget(group, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaders[group] == host {
		delete(f.leaders, group)
	}
}

// Do calls the group's leader: first the known one, then the candidates, and each host that
// one of them names as the leader, until ctx ends. A call that is not idempotent ends with the
// first failure after which it may have run. When an earlier attempt of an idempotent command
// may have run, the final failure says so.
func (f *Finder) Do(ctx context.Context, group string, idempotent bool, call Call) ([]byte, error) {
	uncertain := false
	for round := 0; ; round++ {
		var last error = &errs.Unavailable{Resource: "group " + group, Reason: "no member is known"}
		tried := make(map[string]bool)
		queue := f.queue(group, round)
		for len(queue) > 0 && ctx.Err() == nil {
			host := queue[0]
			queue = queue[1:]
			if tried[host] {
				continue
			}
			tried[host] = true
			result, redirect, err := f.attempt(ctx, host, call)
			if err == nil {
				f.Remember(group, host)
				return result, nil
			}
			if final(err, idempotent) {
				return nil, truthful(group, err, uncertain)
			}
			last = err
			uncertain = uncertain || errs.OutcomeOf(err) != errs.NotRun
			// A removed replica may name a leader of the past; one that has failed in this
			// round is not remembered.
			if redirect != "" && !tried[redirect] {
				f.Remember(group, redirect)
				queue = append([]string{redirect}, queue...)
			} else {
				f.forget(group, host)
			}
		}
		select {
		case <-ctx.Done():
			return nil, truthful(group, &errs.Unavailable{Resource: "group " + group, Reason: last.Error()}, uncertain)
		case <-time.After(RetryDelay):
		}
	}
}

// truthful returns the final failure of a command. If an earlier attempt may have run, a failure that says
// that the command has not run speaks of the last attempt only.
func truthful(group string, err error, uncertain bool) error {
	if uncertain && errs.OutcomeOf(err) == errs.NotRun {
		return &errs.Interrupted{Operation: "command to group " + group, Reason: err.Error()}
	}
	return err
}

func (f *Finder) queue(group string, round int) []string {
	var list []string
	if id := f.Leader(group); id != "" {
		list = append(list, id)
	}
	return append(list, f.Candidates(group, round)...)
}

// attempt calls one host. redirect is the leader that it names if it is not the leader.
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

// final reports whether a failure must be returned to the caller instead of trying another
// host.
func final(err error, idempotent bool) bool {
	switch errs.CodeOf(err) {
	case errs.CodeNotLeader, errs.CodeUnavailable, errs.CodeOverloaded, errs.CodeDeadline, errs.CodeInterrupted:
		return !idempotent && errs.OutcomeOf(err) != errs.NotRun
	default:
		return true
	}
}
