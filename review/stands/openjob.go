package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["openjob"] = openJobCase }

const (
	// shortStatusS is StatusS of this case, so that it ends in time. What it shows depends on the ratio only.
	shortStatusS = 30
	// pauseFactor is how long the trainer is away, in multiples of StatusS.
	pauseFactor = 2.2
)

// openJobCase lets a trainer ask a step ahead. While it trains, that batch job stays open: it has not ended it.
func openJobCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(binary, dir, rec, 3, shortStatusS)
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
	// The first step is read, trained and ended; the second one is asked ahead.
	const read, ahead = "step00", "step01"
	for _, job := range []string{read, ahead} {
		if r := c.submit(ctx, c.entries[0], job, jobDocument(job, groups, []byte("prompt"))); r.status != http.StatusAccepted {
			return nil, &unusable{"batch job " + job + " is not accepted: " + strconv.Itoa(r.status)}
		}
	}
	c.readUntilWhole(ctx, read)
	c.endJob(ctx, read)
	c.readUntilWhole(ctx, ahead) // by another client; the trainer has not read it yet
	pause := time.Second
	if trouble {
		pause = time.Duration(pauseFactor * shortStatusS * float64(time.Second))
	}
	rec.add("trains", "seconds", fmt.Sprint(pause.Seconds()))
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return c.judgeOpenJob(ctx, ahead), nil
}

// judgeOpenJob reads a batch job that was never ended at all entry hosts.
func (c *cluster) judgeOpenJob(ctx context.Context, job string) (broken []string) {
	var lost []string
	for _, e := range c.entries {
		p, r := c.results(ctx, e, job, 0)
		c.record.add("read", "job", job, "entry", e.name, "status", strconv.Itoa(r.status), "total", strconv.Itoa(p.TotalCount), "results", strconv.Itoa(len(p.Results)), "body", strings.TrimSpace(string(r.body[:min(len(r.body), 100)])))
		if r.status == http.StatusNotFound {
			lost = append(lost, e.name)
		}
	}
	if len(lost) > 0 {
		broken = append(broken, "LOST: 404 for the open batch job "+job+", which was accepted and never ended, at "+strings.Join(lost, ", "))
	}
	return broken
}
