// Package kernel manages the services of a host: a registry by name, ordered start and stop,
// background tasks (one goroutine each) and the bounded rings between them.
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

// Service is a component of a host that is started and stopped. Start must return once the service
// is usable; long-running work belongs in tasks started with Kernel.Go.
type Service interface {
	Start(ctx context.Context, k *Kernel) error
	Stop(ctx context.Context) error
}

// Kernel manages the services and tasks of one host. Services start in the order of registration and
// stop in the reverse order. The zero value is not usable; call New.
type Kernel struct {
	log *slog.Logger

	mu       sync.Mutex
	services map[string]any
	order    []string
	started  []string
	failures chan error

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a Kernel without services.
func New(log *slog.Logger) *Kernel {
	ctx, cancel := context.WithCancel(context.Background())
	return &Kernel{
		log:      log,
		services: make(map[string]any),
		failures: make(chan error, 1),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// DuplicateService reports a second registration under the same name.
type DuplicateService struct{ Name string }

func (e *DuplicateService) Error() string {
	return fmt.Sprintf("service %q is registered twice", e.Name)
}

// FailureCode implements errs.Failure.
func (e *DuplicateService) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *DuplicateService) FailureOutcome() errs.Outcome { return errs.NotRun }

// ServiceTypeMismatch reports a service that does not have the requested type.
type ServiceTypeMismatch struct{ Name, Have, Want string }

func (e *ServiceTypeMismatch) Error() string {
	return fmt.Sprintf("service %q is a %s, not a %s", e.Name, e.Have, e.Want)
}

// FailureCode implements errs.Failure.
func (e *ServiceTypeMismatch) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *ServiceTypeMismatch) FailureOutcome() errs.Outcome { return errs.NotRun }

// TaskPanicked reports a task that ended with a panic.
type TaskPanicked struct {
	Task  string
	Value string
	Stack string
}

func (e *TaskPanicked) Error() string { return fmt.Sprintf("task %q panicked: %s", e.Task, e.Value) }

// FailureCode implements errs.Failure.
func (e *TaskPanicked) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *TaskPanicked) FailureOutcome() errs.Outcome { return errs.Unknown }

// Register adds a service. A value that does not implement Service can be looked up, but is neither
// started nor stopped.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return &DuplicateService{Name: name}
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
		return zero, &ServiceTypeMismatch{Name: name, Have: fmt.Sprintf("%T", s), Want: fmt.Sprintf("%T", zero)}
	}
	return t, nil
}

// Start starts all services in the order of registration. If one fails, those already started are
// stopped.
func (k *Kernel) Start(ctx context.Context) error {
	k.mu.Lock()
	order := append([]string(nil), k.order...)
	k.mu.Unlock()
	for _, name := range order {
		s, ok := k.startable(name)
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

// startable returns the service under name if it implements Service.
func (k *Kernel) startable(name string) (Service, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.services[name].(Service)
	return s, ok
}

// Stop stops the started services in reverse order, then cancels the tasks and waits until they
// return or ctx ends. It returns the first failure.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	var firstErr error
	for i := len(started) - 1; i >= 0; i-- {
		s, ok := k.startable(started[i])
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	k.cancel()
	done := make(chan struct{})
	go func() {
		k.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		if firstErr == nil {
			firstErr = &errs.Deadline{Operation: "stop of services", Outcome: errs.Ran}
		}
	}
	return firstErr
}

// Go runs a task in its own goroutine. The task's context ends once Stop has stopped the services. If
// the task panics, or returns an error before its context ends, Failed delivers the failure.
func (k *Kernel) Go(name string, task func(ctx context.Context) error) {
	k.tasks.Go(func() {
		defer func() {
			if v := recover(); v != nil {
				k.reportFailure(&TaskPanicked{Task: name, Value: fmt.Sprint(v), Stack: string(debug.Stack())})
			}
		}()
		err := task(k.ctx)
		if err != nil && k.ctx.Err() == nil {
			k.reportFailure(err)
		}
	})
}

// Every starts a task that calls fn at the given interval until its context ends.
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

func (k *Kernel) reportFailure(err error) {
	k.log.Error("task failed", "error", err)
	select {
	case k.failures <- err:
	default:
	}
}

// Failed delivers the first failure of a task.
func (k *Kernel) Failed() <-chan error { return k.failures }

// Context returns the context of the tasks. It ends once Stop has stopped the services.
func (k *Kernel) Context() context.Context { return k.ctx }
