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
	// loadPause separates two requests of the background load.
	loadPause = 50 * time.Millisecond
	// requestTimeout is the deadline that desk requests state.
	requestTimeout = 15 * time.Second
)

// load is a stream of desk requests: safe generations and unsafe calls.
type load struct {
	safe, unsafe *fakes.Desk
	stop         chan struct{}
	sender       sync.WaitGroup
	calls        sync.WaitGroup
}

// startLoad sends requests through the given hosts until finish.
func (c *cluster) startLoad(name string, urls []string) *load {
	l := &load{safe: c.desk(demo.DeskToken, "sorting", urls), unsafe: c.desk(demo.DeskToken, "intake-log", urls), stop: make(chan struct{})}
	l.sender.Go(func() {
		for i := 0; ; i++ {
			l.calls.Go(func() { _, _ = l.safe.Do(c.ctx, generation(fmt.Sprintf("%s arrival %d", name, i))) })
			l.calls.Go(func() { _, _ = l.unsafe.Do(c.ctx, entry(fmt.Sprintf("%s-%d", name, i))) })
			select {
			case <-l.stop:
				return
			case <-time.After(loadPause):
			}
		}
	})
	return l
}

// generation is a safe request to the engines.
func generation(prompt string) fakes.DeskRequest {
	return fakes.DeskRequest{Model: "sorter", Prompt: prompt, MaxTokens: 24, Timeout: requestTimeout}
}

// entry is an unsafe request with a key to the services.
func entry(key string) fakes.DeskRequest {
	body, _ := json.Marshal(map[string]string{"drum_head": key})
	return fakes.DeskRequest{Body: body, IdempotencyKey: key, Unsafe: true, Timeout: requestTimeout}
}

// groups returns n prompts of a step with 8 samples each.
func groups(step string, n, tokens int) []fakes.Group {
	list := make([]fakes.Group, n)
	for i := range list {
		list[i] = fakes.Group{Prompt: fmt.Sprintf("%s drum head %d", step, i), Samples: 8, MaxTokens: uint32(tokens)}
	}
	return list
}

// finish ends the load and checks what was answered.
func (c *cluster) finish(l *load) (safe, unsafe fakes.DeskStats) {
	c.t.Helper()
	close(l.stop)
	l.sender.Wait()
	l.calls.Wait()
	safe, unsafe = c.checkDesk(l.safe), c.checkDesk(l.unsafe)
	if safe.Answers == 0 || unsafe.Answers == 0 {
		c.t.Errorf("the load was not served: %+v, %+v", safe, unsafe)
	}
	return safe, unsafe
}

// watchConfig polls the configuration in force on the hosts. The function that it returns
// ends the watch and fails the test if a host went back to an older version or showed two
// contents of one version (P9).
func (c *cluster) watchConfig(names ...string) (stop func()) {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, name := range names {
		watchers.Go(func() {
			version, digest := uint64(0), ""
			for {
				v, d := c.inForce(name)
				if v != 0 {
					if v < version || v == version && d != digest {
						c.t.Errorf("P9: %s went from version %d %s to %d %s", name, version, digest, v, d)
					}
					version, digest = v, d
				}
				select {
				case <-done:
					return
				case <-time.After(pollPause):
				}
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
	}
}
