package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

const (
	logMemoryJobs     = 45
	logMemoryItems    = 4
	logMemoryInterval = 4 * time.Second / 3
	// largeBody is the size of the body of an item. A batch job of four has 8 MB, of the 33.5 MB that MaxBodyBytes allows.
	largeBody = 1_500_000
	smallBody = 600
	// recovery and finish are RecoveryS and FinishS.
	recovery = 12 * time.Second
	finish   = 10 * time.Second
)

// logMemory submits batch jobs one after the other. Each is done, read and ended before many others come, so that the work that is
// open stays small. The rule is Fault: processes end by themselves, because they use more than the memory of their machine.
func logMemory(log *record) (broken bool, err error) {
	p, err := newPlatform(caalArada, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	c, stop, err := startDeployment(p, 3, 2, replicaOptions{service: service, model: model, slots: 12, kvTokens: 26346, gap: 20 * time.Millisecond,
		events: func(string) int { return 5 }, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }}, 3)
	if err != nil {
		return false, err
	}
	defer stop()
	var mu sync.Mutex
	var accepted []string
	var work sync.WaitGroup
	for n := range logMemoryJobs {
		work.Go(func() {
			id := fmt.Sprintf("%016x", 0x7c41e09b52d60000+n)
			size := smallBody
			if trouble() {
				size = largeBody
			}
			if !c.submit(id, newJob(id, n, size), 12*time.Second) {
				return
			}
			mu.Lock()
			accepted = append(accepted, id)
			mu.Unlock()
			if _, done := c.read(id, 12*time.Second, true); done {
				c.end(id, 4*time.Second)
			}
		})
		time.Sleep(logMemoryInterval)
	}
	work.Wait()
	log.printf("%d of %d batch jobs were accepted; traffic has ended", len(accepted), logMemoryJobs)
	time.Sleep(finish)
	unreadable := 0
	var reads sync.WaitGroup
	for _, id := range accepted {
		reads.Go(func() {
			if _, ok := c.read(id, recovery, false); !ok {
				mu.Lock()
				unreadable++
				mu.Unlock()
			}
		})
	}
	reads.Wait()
	log.printf("%d of %d accepted batch jobs cannot be read", unreadable, len(accepted))
	return killedThrice(p, log), nil
}

// newJob returns a batch job whose items have bodies of a size.
func newJob(id string, step, size int) *job {
	j := &job{TrainStep: step, Model: model, MinVersion: 0, DesiredCount: logMemoryItems}
	for k := range logMemoryItems {
		body := make([]byte, size)
		_, _ = rand.Read(body)
		j.Items = append(j.Items, newItem(fmt.Sprintf("%s-%d", id, k), body, 40, 200))
	}
	return j
}
