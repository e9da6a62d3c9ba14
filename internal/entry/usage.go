package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/usage"
)

const (
	// usageInterval is the time between two messages with counts. What a host that is killed has not sent is missing in
	// the reports.
	usageInterval = 2 * time.Second
	// usageTimeout bounds the attempts to send counts. The next message replaces one that fails.
	usageTimeout = 1800 * time.Millisecond
	// lastUsageTimeout and minLastUsageTimeout bound the attempts of a host that stops. It makes the shorter one also if
	// the time to stop is up, which leaves a reserve for the process to exit.
	lastUsageTimeout    = time.Second
	minLastUsageTimeout = 300 * time.Millisecond
)

// usageService counts the requests of client accounts on this host and sends the counts to the state group. It implements
// forward.UsageCounter and kernel.Service, and is safe for concurrent use.
type usageService struct {
	source usage.Source
	length time.Duration // of a window
	send   func(context.Context, storestate.RecordUsage) error
	read   func() usage.Reading
	log    *slog.Logger

	mu      sync.Mutex
	clock   usage.Clock
	counter *usage.Counter

	sending sync.Mutex // held while counts are sent, so that the last ones follow the others
}

// newUsageService returns the counter of a host. send stores counts in the state group, and read reads the clocks.
func newUsageService(host string, length time.Duration, send func(context.Context, storestate.RecordUsage) error, read func() usage.Reading, log *slog.Logger) *usageService {
	return &usageService{source: usage.Source{Host: host, Incarnation: read().Wall.UnixNano()}, length: length, send: send, read: read, log: log,
		counter: usage.NewCounter()}
}

// Start implements kernel.Service. Hosts that start together send at different times.
func (u *usageService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("usage", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rand.N(usageInterval)):
		}
		u.flush(ctx, usageTimeout)
		k.Every("usage/send", usageInterval, func(ctx context.Context) { u.flush(ctx, usageTimeout) })
		return nil
	})
	return nil
}

// Stop implements kernel.Service. It sends the last counts; no request is in progress any more.
func (u *usageService) Stop(ctx context.Context) error {
	timeout := lastUsageTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(min(timeout, time.Until(deadline)), minLastUsageTimeout)
	}
	u.flush(context.WithoutCancel(ctx), timeout)
	return nil
}

// Window implements forward.UsageCounter.
func (u *usageService) Window() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.window()
}

// window returns the current window. The caller holds mu.
func (u *usageService) window() uint64 { return usage.WindowAt(u.clock.At(u.read()), u.length) }

// Add implements forward.UsageCounter.
func (u *usageService) Add(window uint64, account string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Add(window, account)
}

// Remove implements forward.UsageCounter.
func (u *usageService) Remove(window uint64, account string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Remove(window, account)
}

// unsent returns the counts that have changed since the state group has acknowledged them. It also lets the clock see
// steps while there are no requests.
func (u *usageService) unsent() []usage.WindowCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Forget(u.window())
	return u.counter.Unsent()
}

// flush sends the counts that have changed, if any.
func (u *usageService) flush(ctx context.Context, timeout time.Duration) {
	u.sending.Lock()
	defer u.sending.Unlock()
	list := u.unsent()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := u.send(ctx, storestate.RecordUsage{Source: u.source, Windows: list}); err != nil {
		u.log.Warn("usage not stored", "windows", len(list), "oldest", list[0].Window, "error", err.Error())
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Acknowledge(list)
}
