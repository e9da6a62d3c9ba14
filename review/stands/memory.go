package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

// The load of the case: each trainer submits a batch job every four seconds, as in the deployment of the site file, and ends it once all
// of its results are read.
const (
	trainers     = 3
	stepInterval = 4 * time.Second
	groups       = 18
	usualBody    = 600      // bytes, the mean of the site file
	largeBody    = 64 << 10 // bytes; a batch job of 72 such items has 6.3 MB, a fifth of MaxBodyBytes
	loadPeriod   = 60 * time.Second
	// finalReadTime is the time in which a batch job that was accepted has to be readable at the end.
	finalReadTime = 20 * time.Second
	// memoryCheck is how often the platform looks at the memory of a process.
	memoryCheck = 10 * time.Millisecond
	// faultEnds is the number of ends of a process by itself that count as a fault.
	faultEnds = 3
)

// memoryCase lets trainers submit batch jobs whose items have large bodies. The platform kills a process that uses more than its memory.
func memoryCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
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
		e.gap = 5 * time.Millisecond
		defer e.stop()
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	guard := newMemoryGuard(c)
	guardCtx, stopGuard := context.WithCancel(ctx)
	defer stopGuard()
	go guard.watch(guardCtx)

	size := usualBody
	if trouble {
		size = largeBody
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rand.IntN(256))
	}
	jobs := &acceptedJobs{}
	var wg sync.WaitGroup
	loadCtx, stopLoad := context.WithTimeout(ctx, loadPeriod)
	defer stopLoad()
	for t := range trainers {
		wg.Go(func() { c.train(loadCtx, t, body, jobs) })
	}
	wg.Wait()
	broken := guard.faults()
	broken = append(broken, c.readAll(ctx, jobs.list())...)
	guard.report()
	return broken, nil
}

// acceptedJobs are the batch jobs that were answered with 202.
type acceptedJobs struct {
	mu  sync.Mutex
	ids []string
}

func (a *acceptedJobs) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids = append(a.ids, id)
}

func (a *acceptedJobs) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string{}, a.ids...)
}

// train is a trainer. It submits a batch job at one entry host after the other until one accepts it, reads the results, and ends the job.
func (c *cluster) train(ctx context.Context, trainer int, body []byte, jobs *acceptedJobs) {
	for step := 0; ctx.Err() == nil; step++ {
		next := time.Now().Add(stepInterval)
		job := fmt.Sprintf("t%ds%02d", trainer, step)
		document := jobDocument(job, groups, body)
		for try := 0; ctx.Err() == nil; try++ {
			r := c.submit(ctx, c.entries[(trainer+try)%len(c.entries)], job, document)
			if r.status == http.StatusAccepted {
				jobs.add(job)
				c.readUntilWhole(ctx, job)
				c.endJob(ctx, job)
				break
			}
			time.Sleep(retryPause)
		}
		time.Sleep(time.Until(next))
	}
}

// retryPause is the pause of a client before a new attempt.
const retryPause = 500 * time.Millisecond

// readUntilWhole reads the results of a batch job until all are there, or ctx ends.
func (c *cluster) readUntilWhole(ctx context.Context, job string) {
	after := 0
	for try := 0; ctx.Err() == nil; try++ {
		p, r := c.results(ctx, c.entries[try%len(c.entries)], job, after)
		if r.ok() {
			after = p.NextToken
			if after == p.TotalCount {
				c.record.add("whole", "job", job, "results", strconv.Itoa(after))
				return
			}
		}
		time.Sleep(retryPause)
	}
}

// endJob ends a batch job.
func (c *cluster) endJob(ctx context.Context, job string) {
	for try := 0; ctx.Err() == nil; try++ {
		e := c.entries[try%len(c.entries)]
		r := call(ctx, frontClient, http.MethodDelete, "http://"+e.addr(frontPort)+"/lots/"+job, map[string]string{"Host": hostName}, nil)
		if r.ok() {
			c.record.add("ended", "job", job)
			return
		}
		time.Sleep(retryPause)
	}
}

// readAll reads the accepted batch jobs from the start. Those that cannot be read within finalReadTime at any entry host are lost.
func (c *cluster) readAll(ctx context.Context, jobs []string) (broken []string) {
	c.record.add("final read", "jobs", strconv.Itoa(len(jobs)))
	open := make(map[string]string)
	for _, job := range jobs {
		open[job] = "not asked"
	}
	for begin, try := time.Now(), 0; len(open) > 0 && time.Since(begin) < finalReadTime && ctx.Err() == nil; try++ {
		for job := range open {
			_, r := c.results(ctx, c.entries[try%len(c.entries)], job, 0)
			if r.ok() {
				delete(open, job)
				continue
			}
			open[job] = fmt.Sprintf("status %d, error %v", r.status, r.err)
			if time.Since(begin) > finalReadTime {
				break
			}
		}
	}
	for job, last := range open {
		broken = append(broken, "LOST: batch job "+job+" was accepted and cannot be read at the end: "+last)
	}
	return broken
}

// memoryGuard is the part of the platform that kills a process which uses more than its memory.
type memoryGuard struct {
	cluster *cluster
	mu      sync.Mutex
	kills   map[string]int // by host
	peaks   map[string]int // in KB, by host
}

func newMemoryGuard(c *cluster) *memoryGuard {
	return &memoryGuard{cluster: c, kills: make(map[string]int), peaks: make(map[string]int)}
}

// watch looks at the memory of all processes until ctx ends. Pages of files, such as those of the program itself, do not count.
func (g *memoryGuard) watch(ctx context.Context) {
	killed := make(map[int]bool)
	for ctx.Err() == nil {
		for _, h := range g.cluster.hosts() {
			pid := h.pid()
			used := memoryKB(pid, "RssAnon")
			g.mu.Lock()
			g.peaks[h.name] = max(g.peaks[h.name], used)
			if used > h.memoryMB<<10 && !killed[pid] {
				killed[pid] = true
				g.kills[h.name]++
				g.cluster.record.add("memory", "host", h.name, "used_kb", strconv.Itoa(used), "limit_kb", strconv.Itoa(h.memoryMB<<10))
				h.kill(pid)
			}
			g.mu.Unlock()
		}
		time.Sleep(memoryCheck)
	}
}

// faults returns what the rule on faults says about the store hosts, which are the core of the deployment.
func (g *memoryGuard) faults() (broken []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var often []string
	for _, h := range g.cluster.stores {
		if g.kills[h.name] >= faultEnds {
			often = append(often, fmt.Sprintf("%s %d times", h.name, g.kills[h.name]))
		}
	}
	if 2*len(often) >= len(g.cluster.stores) {
		broken = append(broken, "Fault: processes ended over their memory on half of the core or more: "+strings.Join(often, ", "))
	}
	return broken
}

// report records the peak of each process.
func (g *memoryGuard) report() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.cluster.hosts() {
		g.cluster.record.add("peak", "host", h.name, "kb", strconv.Itoa(g.peaks[h.name]), "kills", strconv.Itoa(g.kills[h.name]))
	}
}
