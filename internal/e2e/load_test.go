package e2e

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/fakes"
)

const (
	// loadInterval is the interval between requests of the background load.
	loadInterval = 50 * time.Millisecond
	// requestTimeout is the timeout of desk requests.
	requestTimeout = 15 * time.Second
)

// backgroundLoad sends safe requests to the engines and unsafe requests to the services.
type backgroundLoad struct {
	safe, unsafe *fakes.Desk
	stop         chan struct{}
	senders      sync.WaitGroup
	calls        sync.WaitGroup
}

// startLoad sends requests through the given hosts until finishLoad is called.
func (c *cluster) startLoad(name string, urls []string) *backgroundLoad {
	l := &backgroundLoad{safe: c.newDesk(demo.DeskToken, "sorting", urls), unsafe: c.newDesk(demo.DeskToken, "intake-log", urls), stop: make(chan struct{})}
	l.senders.Go(func() {
		for i := 0; ; i++ {
			l.calls.Go(func() { _, _ = l.safe.Do(c.ctx, safeRequest(fmt.Sprintf("%s arrival %d", name, i))) })
			l.calls.Go(func() { _, _ = l.unsafe.Do(c.ctx, unsafeRequest(fmt.Sprintf("%s-%d", name, i))) })
			select {
			case <-l.stop:
				return
			case <-time.After(loadInterval):
			}
		}
	})
	return l
}

// safeRequest returns a safe generation request to the engines.
func safeRequest(prompt string) fakes.DeskRequest {
	return fakes.DeskRequest{Model: "sorter", Prompt: prompt, MaxTokens: 24, Timeout: requestTimeout}
}

// unsafeRequest returns an unsafe request to the services with an idempotency key.
func unsafeRequest(key string) fakes.DeskRequest {
	body, _ := json.Marshal(map[string]string{"drum_head": key})
	return fakes.DeskRequest{Body: body, IdempotencyKey: key, Unsafe: true, Timeout: requestTimeout}
}

// promptGroups returns n groups of a step with 8 samples each.
func promptGroups(step string, n, tokens int) []fakes.Group {
	list := make([]fakes.Group, n)
	for i := range list {
		list[i] = fakes.Group{Prompt: fmt.Sprintf("%s drum head %d", step, i), Samples: 8, MaxTokens: uint32(tokens)}
	}
	return list
}

// finishLoad stops the load, checks the answers and requires that both kinds were served.
func (c *cluster) finishLoad(l *backgroundLoad) (safe, unsafe fakes.DeskStats) {
	c.t.Helper()
	close(l.stop)
	l.senders.Wait()
	l.calls.Wait()
	safe, unsafe = c.checkDesk(l.safe), c.checkDesk(l.unsafe)
	if safe.Answers == 0 || unsafe.Answers == 0 {
		c.t.Errorf("the load was not served: %+v, %+v", safe, unsafe)
	}
	return safe, unsafe
}

// watchConfig polls the configuration in force on the hosts. It fails the test if a host reverts
// to an older version or reports two digests for one version (P9). The returned function stops
// the polling.
func (c *cluster) watchConfig(names ...string) (stop func()) {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, name := range names {
		watchers.Go(func() {
			version, digest := uint64(0), ""
			for {
				v, d := c.activeConfig(name)
				if v != 0 {
					if v < version || v == version && d != digest {
						c.t.Errorf("P9: %s went from version %d %s to %d %s", name, version, digest, v, d)
					}
					version, digest = v, d
				}
				select {
				case <-done:
					return
				case <-time.After(pollInterval):
				}
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
	}
}
