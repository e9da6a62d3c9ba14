package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["seeds"] = seedsCase }

const (
	// trafficStart is the time from the start of the machines to that of the traffic, as in the sheet of the site.
	trafficStart = 10 * time.Second
	// trafficTime is how long plain requests are sent.
	trafficTime = 30 * time.Second
	// trafficPause is the pause between two of them.
	trafficPause = 200 * time.Millisecond
)

// seedsCase starts a deployment for the first time. All machines receive the same three seeds: edge machines, which serve control, or else
// the storage machines.
func seedsCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
	c, err := startCluster(&cluster{binary: binary, dir: dir, record: rec, statusS: usualStatusS, entrySeeds: trouble}, 3)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	for i := range 3 {
		r, err := newReplica(ctx, c, plainName, fmt.Sprintf("i-desk%d", i), zones[i], 100+i, nil, 6)
		if err != nil {
			return nil, err
		}
		defer r.stop()
	}
	acknowledged := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			r := c.control(ctx, http.MethodPost, "/Configuration.Replace", configuration(1), 1)
			rec.add("configuration", "status", strconv.Itoa(r.status))
			if r.ok() {
				close(acknowledged)
				return
			}
			time.Sleep(retryPause)
		}
	}()
	time.Sleep(trafficStart)
	served, sent := 0, 0
	for begin := time.Now(); time.Since(begin) < trafficTime && ctx.Err() == nil; time.Sleep(trafficPause) {
		id := fmt.Sprintf("lookup%04d", sent)
		e := c.entries[sent%len(c.entries)]
		r := call(ctx, frontClient, http.MethodPost, "http://"+e.addr(frontPort)+plainPrefix+"form", map[string]string{"Host": hostName, headerID: id, headerDeadline: "1500"}, []byte(id))
		rec.add("answered", "id", id, "entry", e.name, "status", strconv.Itoa(r.status))
		sent++
		if r.ok() {
			served++
		}
	}
	known := "was acknowledged"
	select {
	case <-acknowledged:
	default:
		known = "was never acknowledged"
	}
	rec.add("traffic", "sent", strconv.Itoa(sent), "served", strconv.Itoa(served), "configuration", known)
	if served == 0 {
		return []string{fmt.Sprintf("Fault: no request is served, of %d in %s from %s after the start on; the first configuration %s", sent, trafficTime, trafficStart, known)}, nil
	}
	return nil, nil
}
