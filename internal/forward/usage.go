package forward

import "slices"

// UsageCounter counts the requests of client accounts that began to run. It must be safe for concurrent use.
type UsageCounter interface {
	// Window returns the window of the present moment.
	Window() uint64
	// Add counts a request of an account that began to run in a window, and Remove takes it back.
	Add(window uint64, account string)
	Remove(window uint64, account string)
}

// UseUsageCounter makes the forwarder count the requests that Serve gets for client accounts. It must be called before the
// first request.
func (f *Forwarder) UseUsageCounter(u UsageCounter) { f.usage = u }

// usageCount counts one request once: in the window in which the first attempt was sent that may have run it. The zero
// value counts nothing.
type usageCount struct {
	counter UsageCounter
	account string
	sent    []uint64 // windows of the attempts that may have run the request, in the order in which they were sent
	// streamed is set when the first event of a stream was counted.
	streamed bool
}

// newUsageCount returns the count of a request of an account; "" is none.
func (f *Forwarder) newUsageCount(account string) usageCount {
	if account == "" {
		return usageCount{}
	}
	return usageCount{counter: f.usage, account: account}
}

// attemptSent records that an attempt is sent and returns its window. Targets begin to run a request about when it
// arrives.
func (u *usageCount) attemptSent() (window uint64) {
	if u.counter == nil {
		return 0
	}
	window = u.counter.Window()
	u.sent = append(u.sent, window)
	if len(u.sent) == 1 {
		u.counter.Add(window, u.account)
	}
	return window
}

// attemptNotRun records that an attempt that was sent in a window has not run the request.
func (u *usageCount) attemptNotRun(window uint64) {
	i := slices.Index(u.sent, window)
	if u.counter == nil || i < 0 {
		return
	}
	u.sent = slices.Delete(u.sent, i, i+1)
	if i > 0 {
		return
	}
	u.counter.Remove(window, u.account)
	if len(u.sent) > 0 {
		u.counter.Add(u.sent[0], u.account)
	}
}

// countFirstEvent counts a stream when its first event arrives. A stream that its caller takes up was counted when it
// began.
func (s *eventStream) countFirstEvent() {
	u := &s.usage
	if u.counter == nil || u.streamed || s.lastEventID > 0 {
		return
	}
	u.streamed = true
	u.counter.Add(u.counter.Window(), u.account)
}
