package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["promise"] = promiseCase }

const (
	// onceRequests is the number of requests that may run once at most, and oncePause the pause between two.
	onceRequests = 300
	oncePause    = 100 * time.Millisecond
	// greyShare is the share of its requests that the grey replica fails, as in the list of kinds.
	greyShare = 0.4
)

// promises are the statuses that say that a request has not run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// promiseCase sends requests that may run once at most. One replica of three fails a part of its requests after it has run them, with
// status 503 and without the header that says that it has not run them.
func promiseCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(binary, dir, rec, 3, usualStatusS)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var replicas []*replica
	for i := range 3 {
		r, err := newReplica(ctx, c, plainName, fmt.Sprintf("i-desk%d", i), zones[i], 100+i, nil, 6)
		if err != nil {
			return nil, err
		}
		defer r.stop()
		replicas = append(replicas, r)
	}
	if trouble {
		replicas[0].plain = failSome
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * beatInterval) // all entry hosts know all replicas
	var broken []string
	for k := range onceRequests {
		id := fmt.Sprintf("confirm%03d", k)
		e := c.entries[k%len(c.entries)]
		rec.add("sent", "id", id, "entry", e.name)
		r := call(ctx, frontClient, http.MethodPost, "http://"+e.addr(frontPort)+oncePrefix+"lodge", map[string]string{"Host": hostName, headerID: id, headerDeadline: "2000"}, []byte("entry form "+id))
		runs := 0
		for _, s := range replicas {
			runs += s.countRuns(id)
		}
		rec.add("answered", "id", id, "status", strconv.Itoa(r.status), "stamp", r.header.Get(headerStamp), "runs", strconv.Itoa(runs))
		for _, status := range promises {
			if r.status == status && runs > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: request %s, which may run once, is answered %d and has run %d time(s)", id, r.status, runs))
			}
		}
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s has run %d times", id, runs))
		}
		time.Sleep(oncePause)
	}
	return broken, nil
}

// failSome fails a part of the requests after they have run.
func failSome(w http.ResponseWriter, r *http.Request, body []byte) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Header.Get(headerID)))
	if float64(h.Sum32()%100) < 100*greyShare {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("the record was written, its index was not"))
		return
	}
	_, _ = w.Write(append([]byte("done "), body...))
}
