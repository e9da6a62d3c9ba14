package runner

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

// Guards against more items at an engine than it takes, and against items that are lost while they wait for it.
func TestItemsKeepToTheLimitOfAnEngine(t *testing.T) {
	const rate, items = 10, 30
	c := newTestCluster(t)
	c.view.MarkTargetGone("e")
	var mu sync.Mutex
	var runs []time.Time
	c.addTarget("a", "engines", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs = append(runs, time.Now())
		mu.Unlock()
		w.Header().Set("Limit", fmt.Sprint(rate))
		(&fakeEngine{totalEvents: 3, version: 1}).ServeHTTP(w, r)
	})
	var list []jobs.Item
	for n := range items {
		list = append(list, jobs.Item{ID: fmt.Sprint("i", n), Path: "/gen/1", Group: "g"})
	}
	c.propose(&storestate.Command{SubmitJob: &jobs.Job{ID: "j", Host: "h", Path: "/gen/j", Model: "m", MinVersion: 1, WantedGroups: 1, Items: list}})
	c.await("results", func() bool { return len(c.results()) == items })
	mu.Lock()
	defer mu.Unlock()
	// The slots of the engine may be in use before its first answer; then comes what it takes in two seconds.
	const slots = 2
	early := 0
	for _, at := range runs {
		if at.Sub(runs[0]) < 1500*time.Millisecond {
			early++
		}
	}
	if early > slots+2*rate || len(runs) != items {
		t.Errorf("%d of %d runs in the first 1.5 s at an engine that takes %d a second", early, len(runs), rate)
	}
}
