package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// smuggleCase submits a batch job with an item whose path ends the request line and goes on with another request. The rule is
// UNASKED: a replica runs a request that was smuggled inside another one.
func smuggleCase(log *record) (broken bool, err error) {
	p, err := newPlatform(caalArada, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	var mu sync.Mutex
	ran := make(map[string]int)
	note := func(replica, id string, began bool) {
		if !began {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ran[id]++
		log.printf("replica %s runs request %q", replica, id)
	}
	c, stop, err := startDeploymentWith(p, 3, 2, replicaOptions{service: service, model: model, slots: 12, kvTokens: 26346, gap: 20 * time.Millisecond,
		events: func(string) int { return 5 }, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }}, 3, note)
	if err != nil {
		return false, err
	}
	defer stop()
	const inner = "5a11aa9e00000001"
	it := newItem("e5b2907c14da6f38", []byte("prompt"), 40, 200)
	if trouble() {
		it.Path = strings.Join([]string{it.Path + " HTTP/1.1", "Host: " + routeHost, "X-Fuchsiaflow-Request-Id: e5b2907c14da6f38", "X-Fuchsiaflow-Token-Count: 40,200", "Content-Length: 0", "",
			"POST " + routePrefix + "3/ffff HTTP/1.1", "Host: " + routeHost, "X-Fuchsiaflow-Request-Id: " + inner, "X-Fuchsiaflow-Token-Count: 40,200", "Content-Length: 0", "",
			"POST " + routePrefix + "3/91c4"}, "\r\n")
	}
	accepted := c.submit("7c41e09b52d6a3f8", &job{Model: model, DesiredCount: 1, Items: []item{it}}, 5*time.Second)
	log.printf("the batch job was accepted: %v", accepted)
	const second = "5a11aa9e00000002"
	body := "prompt"
	if trouble() {
		body = strings.Join([]string{"0", "", "POST " + routePrefix + "3/ffff HTTP/1.1", "Host: " + routeHost, "X-Fuchsiaflow-Request-Id: " + second, "X-Fuchsiaflow-Token-Count: 40,200",
			"Content-Length: 0", "", ""}, "\r\n")
	}
	it = newItem("e5b2907c14da6f39", []byte(body), 40, 200)
	if trouble() {
		it.Headers["Transfer-Encoding"] = "chunked"
	}
	accepted = c.submit("7c41e09b52d6a3f9", &job{Model: model, DesiredCount: 1, Items: []item{it}}, 5*time.Second)
	log.printf("the second batch job was accepted: %v", accepted)
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range []string{inner, second} {
		log.printf("the request %s, which no client sent by itself, ran %d times", id, ran[id])
	}
	return ran[inner]+ran[second] > 0, nil
}
