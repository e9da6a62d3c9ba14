package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// emptyItems is the number of items of the first batch job, which has 3 MB.
	emptyItems  = 1_000_000
	headerJobs  = 3
	headerItems = 6
	// itemHeaderLines is the number of headers of an item. Their head exceeds the 1 MB that servers of package net/http take.
	itemHeaderLines = 120_000
	// firstHeaderName is the first of the names of five characters in base 36.
	firstHeaderName = 36 * 36 * 36 * 36
	// headersTime is the time from the first batch job with many headers to the end: twice MaxAgeS.
	headersTime   = 80 * time.Second
	ordinaryEvery = 10 * time.Second
)

// manyPartsCase submits batch jobs of legal size that consist of very many small parts: one with empty items, and some whose items have short
// headers. The rule is Fault: processes end by themselves, because they use more than the memory of their machine.
func manyPartsCase(log *record) (broken bool, err error) {
	p, err := newPlatform(caalArada, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	c, stop, err := startDeployment(p, 3, 2, replicaOptions{service: service, model: model, slots: 12, kvTokens: kvTokens, gap: 20 * time.Millisecond,
		events: func(string) int { return 5 }, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }}, 3)
	if err != nil {
		return false, err
	}
	defer stop()
	log.printf("a batch job with many items was accepted: %t", c.submitDocument("7c41e09b52d6a3e0", manyItemsDocument(), 12*time.Second))
	killedThrice(p, log)
	time.Sleep(time.Second)
	end := time.Now().Add(headersTime)
	accepted := 0
	for n := range headerJobs {
		if c.submit(fmt.Sprintf("7c41e09b52d6a3f%d", n), newHeaderJob(n), 4*time.Second) {
			accepted++
		}
	}
	log.printf("%d of %d batch jobs with many headers were accepted", accepted, headerJobs)
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", 0x7c41e09b52d70000+n)
		log.printf("an ordinary batch job was accepted: %t", c.submit(id, newJob(id, n, smallBody), 4*time.Second))
		time.Sleep(min(ordinaryEvery, time.Until(end)))
	}
	return killedThrice(p, log), nil
}

// newHeaderJob returns a batch job whose items have many short headers, or bodies of the same size as these.
func newHeaderJob(n int) *job {
	j := &job{TrainStep: n, Model: model, DesiredCount: 1}
	for i := range headerItems {
		it := newItem(fmt.Sprintf("e5b2907c14da6f%d%d", n, i), []byte("prompt"), ordinaryPrompt, 200)
		if !trouble() {
			const bytesPerHeader = 11 // in JSON; a body has four characters for three bytes
			body := make([]byte, itemHeaderLines*bytesPerHeader*3/4)
			_, _ = rand.Read(body)
			it = newItem(it.ID, body, ordinaryPrompt, 200)
		}
		for k := range itemHeaderLines {
			if trouble() {
				it.Headers[strconv.FormatInt(int64(firstHeaderName+k), 36)] = ""
			}
		}
		j.Items = append(j.Items, it)
	}
	return j
}

// manyItemsDocument returns a batch job of many items without a field, or of one item with a body of the same size.
func manyItemsDocument() []byte {
	if trouble() {
		return []byte(`{"Model":"` + model + `","DesiredCount":1,"Items":[{}` + strings.Repeat(`,{}`, emptyItems-1) + `]}`)
	}
	body := make([]byte, emptyItems*len(`,{}`)*3/4)
	_, _ = rand.Read(body)
	data, err := json.Marshal(&job{Model: model, DesiredCount: 1, Items: []item{newItem("e5b2907c14da6e00", body, ordinaryPrompt, 200)}})
	if err != nil {
		panic(err)
	}
	return data
}
