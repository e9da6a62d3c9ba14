package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform on the memory of processes.
const (
	// memoryCheck is how often the platform looks at the memory of a process.
	memoryCheck = 10 * time.Millisecond
	// faultEnds is the number of ends of a process by itself that count as a fault.
	faultEnds = 3
)

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

// faultsOf returns what the rule on faults says about some hosts: at least a number of them have ended faultEnds times.
func (g *memoryGuard) faultsOf(hosts []*host, least int) (broken []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var often []string
	for _, h := range hosts {
		if g.kills[h.name] >= faultEnds {
			often = append(often, fmt.Sprintf("%s %d times", h.name, g.kills[h.name]))
		}
	}
	if len(often) >= least {
		broken = append(broken, "Fault: processes ended over their memory three times or more: "+strings.Join(often, ", "))
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
