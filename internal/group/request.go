package group

import (
	"context"
	"sync/atomic"
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
)

type requestKind uint8

const (
	requestPropose requestKind = iota
	requestBarrier
	requestConfChange
	requestTransfer
	requestBootstrap
)

func (k requestKind) String() string {
	return [...]string{"propose", "barrier", "membership change", "leadership transfer", "bootstrap"}[k]
}

// request is a call that waits to be processed by Run.
type request struct {
	kind   requestKind
	cmd    []byte
	change consensus.ConfChange
	voters []string // of a bootstrap

	// claimed is set once: by Run when it starts the request, or by the caller when it gives up
	// before that. In the second case the request never runs.
	claimed atomic.Bool
	done    chan reply // buffered, so that Run never blocks on a reply

	term     uint64    // term of the appended entry
	deadline time.Time // of a leadership transfer
}

type reply struct {
	result []byte
	err    error
}

func (r *request) finish(result []byte, err error) { r.done <- reply{result, err} }

// submit queues a request and waits for its reply.
func (g *Group) submit(ctx context.Context, r *request) ([]byte, error) {
	select {
	case <-g.stopped:
		return nil, g.stoppedError()
	default:
	}
	r.done = make(chan reply, 1)
	if err := g.requests.Push(ctx, r); err != nil {
		return nil, err
	}
	select {
	case rep := <-r.done:
		return rep.result, rep.err
	case <-ctx.Done():
		if !r.claimed.Swap(true) {
			return nil, &errs.Deadline{Operation: r.kind.String(), Outcome: errs.NotRun}
		}
		return r.replyOr(&errs.Deadline{Operation: r.kind.String(), Outcome: errs.Unknown})
	case <-g.stopped:
		if !r.claimed.Swap(true) {
			return nil, g.stoppedError()
		}
		return r.replyOr(&errs.Interrupted{Operation: r.kind.String(), Reason: "the replica stopped"})
	}
}

// replyOr returns the reply if it has arrived, and err otherwise.
func (r *request) replyOr(err error) ([]byte, error) {
	select {
	case rep := <-r.done:
		return rep.result, rep.err
	default:
		return nil, err
	}
}

func (g *Group) stoppedError() error {
	return &errs.Unavailable{Resource: "group " + g.opt.Group, Reason: "the replica has stopped"}
}
