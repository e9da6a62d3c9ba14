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

// lateCopyCase runs an item whose first two runs fail with 500. The replica sends the answer to the first run once more, late. The rule is
// MIXED: a result is terminated before MaxAttempts answers of 500.
func lateCopyCase(log *record) (broken bool, err error) {
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
	first := &job{Model: model, DesiredCount: ordinaryItems}
	for k := range ordinaryItems {
		first.Items = append(first.Items, newItem(fmt.Sprintf("e5b2907c14da%04x", k), []byte("prompt"), 1016, 200))
	}
	if !c.submit("7c41e09b52d6a3f8", first, 5*time.Second) {
		return false, fmt.Errorf("the first batch job was not accepted")
	}
	if _, ok := c.read("7c41e09b52d6a3f8", 15*time.Second, true); !ok {
		return false, fmt.Errorf("the first batch job was not done")
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
