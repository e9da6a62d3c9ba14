package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["headers"] = headersCase }

const (
	// headerJobBytes is the size of the batch job, a bit more than a quarter of MaxBodyBytes. Each of its items has some 95,000 headers.
	headerJobBytes = 9 << 20
	headerItems    = 9
	// headersWait is the time that the system gets after the batch job.
	headersWait = 30 * time.Second
)

// headersCase lets a client submit one batch job of legal size, whose items have very many short headers.
func headersCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(binary, dir, rec, 3, usualStatusS)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	for i := range 3 {
		e, err := newReplica(ctx, c, engineName, fmt.Sprintf("i-engine%d", i), zones[i], 100+i, []string{modelName}, 12)
		if err != nil {
			return nil, err
		}
		defer e.stop()
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	guard := newMemoryGuard(c)
	guardCtx, stopGuard := context.WithCancel(ctx)
	defer stopGuard()
	go guard.watch(guardCtx)

	// An ordinary trainer has a batch job, all of whose results are there.
	jobs := &acceptedJobs{}
	const ordinary = "ordinary"
	if r := c.submit(ctx, c.entries[0], ordinary, jobDocument(ordinary, groups, []byte("prompt"))); r.status != http.StatusAccepted {
		return nil, &unusable{"the ordinary batch job is not accepted"}
	}
	jobs.add(ordinary)
	c.readUntilWhole(ctx, ordinary)
	const odd = "odd"
	r := c.submit(ctx, c.entries[1], odd, oddJob(odd, headerJobBytes, trouble))
	if r.status == http.StatusAccepted {
		jobs.add(odd)
	}
	time.Sleep(headersWait)
	broken := guard.faults()
	broken = append(broken, c.readAll(ctx, jobs.list())...)
	guard.report()
	return broken, nil
}

// oddJob returns a batch job of a size. Its items have very many short headers, or else one long body.
func oddJob(job string, size int, manyHeaders bool) []byte {
	var items []any
	for i := range headerItems {
		id := fmt.Sprintf("%s-%d", job, i)
		headers := map[string]string{headerModel: modelName, "X-Fuchsiaflow-Token-Count": "100,300"}
		item := map[string]any{"Id": id, "Path": batchPrefix + "run/" + id, "Tokens": 400, "Group": job, "Headers": headers}
		if manyHeaders {
			const lineBytes = len(`"00000":"",`)
			for k := range size / headerItems / lineBytes {
				headers[fmt.Sprintf("%05s", strconv.FormatInt(int64(k), 36))] = ""
			}
		} else {
			item["Body"] = strings.Repeat("A", size/headerItems/4*4)
		}
		items = append(items, item)
	}
	data, _ := json.Marshal(map[string]any{"TrainStep": 0, "Model": modelName, "MinVersion": 1, "DesiredCount": 1, "Items": items})
	return data
}
