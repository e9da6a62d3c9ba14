package kernel

import (
	"context"
	"sync/atomic"

	"fuchsiaflow/errs"
)

// Overflow tells what a full ring does with a new element.
type Overflow int

// The overflow policies.
const (
	// Block makes Push wait until there is room or its context ends.
	Block Overflow = iota
	// Refuse makes Push return errs.Overloaded.
	Refuse
	// DropOldest removes the oldest element to make room.
	DropOldest
)

// Ring is a bounded queue between duties. It is safe for concurrent use.
type Ring[T any] struct {
	name     string
	overflow Overflow
	ch       chan T
	dropped  atomic.Uint64
}

// NewRing returns a ring that holds up to size elements.
func NewRing[T any](name string, size int, overflow Overflow) *Ring[T] {
	return &Ring[T]{name: name, overflow: overflow, ch: make(chan T, size)}
}

// Push adds v according to the overflow policy.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	default:
	}
	switch r.overflow {
	case Refuse:
		r.dropped.Add(1)
		return &errs.Overloaded{Resource: "ring " + r.name}
	case DropOldest:
		r.pushDropping(v)
		return nil
	}
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return &errs.Deadline{Operation: "push to ring " + r.name, Result: errs.NotRun}
	}
}

func (r *Ring[T]) pushDropping(v T) {
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

// C returns the channel from which the consuming duty receives.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Name returns the name under which the ring's metrics appear.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of queued elements.
func (r *Ring[T]) Depth() int { return len(r.ch) }

// Dropped returns the number of elements that were refused or dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
