// Package kernel is the micro-kernel of a host: a registry of named services, ordered
// start and stop, and duties (one goroutine each) joined by bounded rings.
package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"fuchsiaflow/errs"
)

// Service is a part of a host that the kernel starts and stops. Start must return once
// the service is usable; long-running work belongs in duties started with Kernel.Go.
type Service interface {
	Start(ctx context.Context, k *Kernel) error
	Stop(ctx context.Context) error
}

// Kernel holds the services of one host. Services start in the order of registration and
// stop in the reverse order. The zero value is not usable; call New.
type Kernel struct {
	log *slog.Logger

	mu       sync.Mutex
	services map[string]any
	order    []string
	started  []string
	failed   chan error

	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// New returns an empty kernel.
func New(log *slog.Logger) *Kernel {
	ctx, cancel := context.WithCancel(context.Background())
	return &Kernel{
		log:      log,
		services: make(map[string]any),
		failed:   make(chan error, 1),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Duplicate reports a second service registered under one name.
type Duplicate struct{ Name string }

func (e *Duplicate) Error() string {
	return fmt.Sprintf("service %q is registered twice", e.Name)
}

// FailureCode implements errs.Failure.
func (e *Duplicate) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *Duplicate) FailureOutcome() errs.Outcome { return errs.NotRun }

// WrongType reports a service that does not have the type asked for.
type WrongType struct{ Name, Have, Want string }

func (e *WrongType) Error() string {
	return fmt.Sprintf("service %q is a %s, not a %s", e.Name, e.Have, e.Want)
}

// FailureCode implements errs.Failure.
func (e *WrongType) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *WrongType) FailureOutcome() errs.Outcome { return errs.NotRun }

// Panicked reports a duty that ended with a panic.
type Panicked struct {
	Duty  string
	Value string
	Stack string
}

func (e *Panicked) Error() string { return fmt.Sprintf("duty %q panicked: %s", e.Duty, e.Value) }

// FailureCode implements errs.Failure.
func (e *Panicked) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *Panicked) FailureOutcome() errs.Outcome { return errs.Unknown }

// Register adds a service. A value that does not implement Service is a passive service:
// it can be looked up but is neither started nor stopped.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return &Duplicate{Name: name}
	}
	k.services[name] = service
	k.order = append(k.order, name)
	return nil
}

// Lookup returns the service registered under name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, &errs.NotFound{Kind: "service", ID: name}
	}
	t, ok := s.(T)
	if !ok {
		return zero, &WrongType{Name: name, Have: fmt.Sprintf("%T", s), Want: fmt.Sprintf("%T", zero)}
	}
	return t, nil
}

// Start starts all services in order. When one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	k.mu.Lock()
	order := append([]string(nil), k.order...)
	k.mu.Unlock()
	for _, name := range order {
		s, ok := k.service(name)
		if !ok {
			continue
		}
		if err := s.Start(ctx, k); err != nil {
			k.log.Error("service failed to start", "service", name, "error", err)
			_ = k.Stop(ctx)
			return err
		}
		k.mu.Lock()
		k.started = append(k.started, name)
		k.mu.Unlock()
	}
	return nil
}

func (k *Kernel) service(name string) (Service, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.services[name].(Service)
	return s, ok
}

// Stop stops the started services in reverse order, then cancels the duties and waits for
// them until ctx ends. It returns the first failure.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		s, ok := k.service(started[i])
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	k.cancel()
	done := make(chan struct{})
	go func() {
		k.duties.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		if first == nil {
			first = &errs.Deadline{Operation: "kernel stop", Result: errs.Ran}
		}
	}
	return first
}

// Go starts a duty in its own goroutine. The context passed to it ends when the kernel
// stops. A duty that panics or returns a failure before that is reported by Failed.
func (k *Kernel) Go(name string, duty func(ctx context.Context) error) {
	k.duties.Go(func() {
		defer func() {
			if v := recover(); v != nil {
				k.fail(&Panicked{Duty: name, Value: fmt.Sprint(v), Stack: string(debug.Stack())})
			}
		}()
		err := duty(k.ctx)
		if err != nil && k.ctx.Err() == nil {
			k.fail(err)
		}
	})
}

// Every starts a duty that calls fn at the given interval until the kernel stops.
func (k *Kernel) Every(name string, interval time.Duration, fn func(ctx context.Context)) {
	k.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				fn(ctx)
			}
		}
	})
}

func (k *Kernel) fail(err error) {
	k.log.Error("duty failed", "error", err)
	select {
	case k.failed <- err:
	default:
	}
}

// Failed delivers the first failure of a duty.
func (k *Kernel) Failed() <-chan error { return k.failed }

// Context ends when the kernel stops its duties.
func (k *Kernel) Context() context.Context { return k.ctx }
