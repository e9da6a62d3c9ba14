package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// ordinaryItems are run without a failure, so that the second copy is one answer in a hundred.
	ordinaryItems = 100
	// failingRuns is the number of runs of the item that fail; MaxAttempts of the route is 3.
	failingRuns = 2
	failingItem = "e5b2907c14da6f38"
)

// lateCopyCase plays both parts of the case.
func lateCopyCase(log *record) (broken bool, err error) {
	mixed, err := lateFailure(log)
	if err != nil {
		return false, err
	}
	log.printf("MIXED was broken: %t", mixed)
	twice, err := lateRejection(log)
	if err != nil {
		return false, err
	}
	log.printf("TWICE was broken: %t", twice)
	return mixed || twice, nil
}

// lateFailure runs an item whose first two runs fail with 500. The replica sends the answer to the first run once more, late. The rule is
// MIXED: a result is terminated before MaxAttempts answers of 500.
func lateFailure(log *record) (broken bool, err error) {
	p, err := newPlatform(caalArada, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	var mu sync.Mutex
	failures, runs := 0, 0
	fails := func(id string) (failed, repeats bool) {
		if id != failingItem {
			return false, false
		}
		mu.Lock()
		defer mu.Unlock()
		runs++
		if runs > failingRuns {
			return false, false
		}
		failures++
		return true, trouble() && runs == 1
	}
	note := func(replica, id string, began bool) {
		if id == failingItem && began {
			log.printf("replica %s runs %s", replica, id)
		}
	}
	c, stop, err := startDeploymentWith(p, 3, 2, replicaOptions{service: service, model: model, slots: 12, kvTokens: kvTokens, gap: 20 * time.Millisecond,
		events: func(string) int { return 5 }, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }, fails: fails}, 3, note)
	if err != nil {
		return false, err
	}
	defer stop()
	if err := runOrdinaryItems(c); err != nil {
		return false, err
	}
	if !c.submit("7c41e09b52d6a3f9", &job{TrainStep: 1, Model: model, DesiredCount: 1, Items: []item{newItem(failingItem, []byte("prompt"), 1016, 200)}}, 5*time.Second) {
		return false, fmt.Errorf("the second batch job was not accepted")
	}
	got, ok := c.read("7c41e09b52d6a3f9", 15*time.Second, true)
	if !ok {
		return false, fmt.Errorf("the second batch job was not done")
	}
	mu.Lock()
	defer mu.Unlock()
	log.printf("the result is %+v after %d runs with the answer 500; MaxAttempts is 3", got.Results[0], failures)
	return got.Results[0].State == "terminated" && failures < 3, nil
}

// runOrdinaryItems runs a batch job of ordinary items to its end.
func runOrdinaryItems(c *clients) error {
	first := &job{Model: model, DesiredCount: ordinaryItems}
	for k := range ordinaryItems {
		first.Items = append(first.Items, newItem(fmt.Sprintf("e5b2907c14da%04x", k), []byte("prompt"), 1016, 200))
	}
	if !c.submit("7c41e09b52d6a3f8", first, 5*time.Second) {
		return fmt.Errorf("the first batch job was not accepted")
	}
	if _, ok := c.read("7c41e09b52d6a3f8", 15*time.Second, true); !ok {
		return fmt.Errorf("the first batch job was not done")
	}
	return nil
}

// Times of the second part.
const (
	// loadTime is the time that a change of version takes.
	loadTime = 900 * time.Millisecond
	// twiceAfter is how long the replica before may still work on a request that goes on at another one.
	twiceAfter = 400 * time.Millisecond
	longEvents = 100
)

// workLog notes the replicas that work on the item.
type workLog struct {
	mu     sync.Mutex
	began  map[string]time.Time // by replica that works on it
	longer bool                 // a replica has worked on it for twiceAfter beside another one
}

func (l *workLog) note(log *record, replica string, began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began {
		l.began[replica] = time.Now()
		log.printf("replica %s runs %s", replica, failingItem)
		return
	}
	for other, at := range l.began {
		if other != replica {
			beside := time.Since(later(at, l.began[replica]))
			log.printf("replica %s ends its run of %s, on which %s has worked beside it for %.3f s", replica, failingItem, other, beside.Seconds())
			l.longer = l.longer || beside >= twiceAfter
		}
	}
	delete(l.began, replica)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateRejection runs an item that needs a new version of the weights, which two replicas load. The first rejection of the item is sent once more,
// late. The rule is TWICE: a request goes on at another replica while the replica before still works on it.
func lateRejection(log *record) (broken bool, err error) {
	p, err := newPlatform(caalArada, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	work := &workLog{began: make(map[string]time.Time)}
	var mu sync.Mutex
	rejections := 0
	repeats := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		if id != failingItem {
			return false
		}
		rejections++
		return trouble() && rejections == 1
	}
	note := func(replica, id string, began bool) {
		if id == failingItem {
			work.note(log, replica, began)
		}
	}
	events := func(id string) int {
		if id == failingItem {
			return longEvents
		}
		return 5
	}
	c, stop, err := startDeploymentWith(p, 3, 2, replicaOptions{service: service, model: model, slots: 12, kvTokens: kvTokens, gap: 43 * time.Millisecond, loadTime: loadTime,
		events: events, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }, repeatsRejection: repeats}, 2, note)
	if err != nil {
		return false, err
	}
	defer stop()
	if err := runOrdinaryItems(c); err != nil {
		return false, err
	}
	if err := nameVersion(p.hosts("store", "control"), 2, 5*time.Second); err != nil {
		return false, err
	}
	log.printf("version 2 is named")
	it := newItem(failingItem, []byte("prompt"), 1016, longEvents*43)
	if !c.submit("7c41e09b52d6a3f9", &job{TrainStep: 2, Model: model, MinVersion: 2, DesiredCount: 1, Items: []item{it}}, 5*time.Second) {
		return false, fmt.Errorf("the second batch job was not accepted")
	}
	if _, ok := c.read("7c41e09b52d6a3f9", 20*time.Second, true); !ok {
		return false, fmt.Errorf("the second batch job was not done")
	}
	time.Sleep(time.Second)
	work.mu.Lock()
	defer work.mu.Unlock()
	return work.longer, nil
}
