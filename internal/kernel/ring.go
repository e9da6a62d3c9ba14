package kernel

import (
	"context"
	"sync/atomic"

	"fuchsiaflow/errs"
)

// OverflowPolicy determines what a full ring does with a new element.
type OverflowPolicy int

// The overflow policies.
const (
	// Block makes Push wait until there is space or its context ends.
	Block OverflowPolicy = iota
	// Reject makes Push return errs.Overloaded.
	Reject
	// DropOldest drops the oldest element.
	DropOldest
)

// Ring is a bounded queue between tasks. It is safe for concurrent use.
type Ring[T any] struct {
	name    string
	policy  OverflowPolicy
	ch      chan T
	dropped atomic.Uint64
}

// NewRing returns a ring that holds up to size elements.
func NewRing[T any](name string, size int, policy OverflowPolicy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, ch: make(chan T, size)}
}

// Push adds v. A full ring is handled according to its overflow policy.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	default:
	}
	switch r.policy {
	case Reject:
		r.dropped.Add(1)
		return &errs.Overloaded{Resource: "ring " + r.name}
	case DropOldest:
		r.pushDroppingOldest(v)
		return nil
	}
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return &errs.Deadline{Operation: "push to ring " + r.name, Outcome: errs.NotRun}
	}
}

func (r *Ring[T]) pushDroppingOldest(v T) {
	for {
		select {
		case r.ch <- v:
			return
		default:
		}
		select {
		case <-r.ch:
			r.dropped.Add(1)
		default:
		}
	}
}

// C returns the channel from which the consumer receives.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Name returns the name of the ring, which labels its metrics.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of queued elements.
func (r *Ring[T]) Depth() int { return len(r.ch) }

// Dropped returns the number of elements that were rejected or dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Consume calls fn with each value of the ring until ctx is done. It is the body of a task that serves the ring alone.
func (r *Ring[T]) Consume(ctx context.Context, fn func(ctx context.Context, v T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-r.C():
			fn(ctx, v)
		}
	}
}
