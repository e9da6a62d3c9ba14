package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the hosts. Each host has an address of its own on the loopback network.
const (
	frontPort   = 18161
	readyPort   = 18167
	controlPort = 18166
	peerPort    = 17720
	metricsPort = 9464
)

// zones are the failure domains.
var zones = []string{"za", "zb", "zc"}

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// host is a host of the system with its present process.
type host struct {
	name, role, ip, zone, dir string
	memoryMB                  int

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when cmd has ended
	first   bool          // the process was not started before
	stopped bool          // no further process is started
	starts  int
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// cluster is a small deployment.
type cluster struct {
	binary, dir, prefix string
	stores, entries     []*host
	record              *record
	statusS             int  // how long results are readable at least, in seconds
	entrySeeds          bool // the seeds are the first entry hosts of the failure domains, in place of the store hosts
}

// freePrefix returns the first three octets of loopback addresses that nobody uses.
func freePrefix() (string, error) {
	for range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		if isFree(prefix) {
			return prefix, nil
		}
	}
	return "", &unusable{"no free loopback addresses"}
}

func isFree(prefix string) bool {
	for _, last := range []int{10, 11, 12, 20, 21, 22} {
		for _, port := range []int{frontPort, readyPort, controlPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// unusable reports that a case cannot run.
type unusable struct{ reason string }

func (e *unusable) Error() string { return e.reason }

// newCluster starts three store hosts and a number of entry hosts.
func newCluster(binary, dir string, rec *record, entryCount, statusS int) (*cluster, error) {
	return startCluster(&cluster{binary: binary, dir: dir, record: rec, statusS: statusS}, entryCount)
}

// startCluster starts the hosts of a cluster.
func startCluster(c *cluster, entryCount int) (*cluster, error) {
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	c.prefix = prefix
	for i := range 3 {
		c.stores = append(c.stores, &host{name: fmt.Sprintf("storage-%s-1", zones[i]), role: "store", ip: fmt.Sprintf("%s.%d", prefix, 10+i), zone: zones[i], memoryMB: 154, first: true})
	}
	for i := range entryCount {
		c.entries = append(c.entries, &host{name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), role: "entry", ip: fmt.Sprintf("%s.%d", prefix, 20+i), zone: zones[i%3], memoryMB: 120, first: true})
	}
	for _, h := range c.hosts() {
		h.dir = filepath.Join(c.dir, h.name)
		if err := os.MkdirAll(filepath.Join(h.dir, "data"), 0o755); err != nil {
			return nil, err
		}
		if err := c.start(h); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) hosts() []*host { return append(append([]*host{}, c.stores...), c.entries...) }

// settings returns the settings file of a host, as the platform writes it.
func (c *cluster) settings(h *host) ([]byte, error) {
	var seeds []string
	for i := range c.stores {
		seed := c.stores[i]
		if c.entrySeeds {
			seed = c.entries[i]
		}
		seeds = append(seeds, seed.addr(controlPort))
	}
	listen := map[string]string{"Control": h.addr(controlPort)}
	var dataDir any
	class, served := "storage", []string{"storage", "control"}
	if h.role == "entry" {
		class, served = "edge", []string{"edge", "control"}
		listen["Front"], listen["Ready"] = h.addr(frontPort), h.addr(readyPort)
	} else {
		dataDir = filepath.Join(h.dir, "data")
	}
	zoneRegions := make(map[string]string)
	for _, z := range zones {
		zoneRegions[z] = "region"
	}
	return json.Marshal(map[string]any{
		"Node": h.name, "Role": h.role, "MachineClass": class, "ServedRoles": served, "Ip": h.ip, "Zone": h.zone, "Region": "region", "Zones": zoneRegions,
		"Listen": listen, "InternalPorts": []int{peerPort, peerPort + 15}, "SeedAddrs": seeds, "Bootstrap": h.first, "CountsAsLoss": h.role == "store",
		"Limits":  map[string]any{"CpuShare": 0.8, "CpuCores": 1, "MemoryMb": h.memoryMB, "MaxFds": 2870, "LinkMbps": 600.0, "DiskMb": 480},
		"DataDir": dataDir, "DiscoverySource": "self_register", "EntryKind": "vip", "HeartbeatMs": beatInterval.Milliseconds(),
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.7, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "MaxStretchMs": 5000, "RecoveryS": 12, "PassMs": 120, "AgainS": 0, "FinishS": 10, "StatusS": c.statusS,
			"CancelMs": 3000, "SettleMs": 1000, "QuotaOverrun": 0.1, "FencingRequired": true, "LeaseMs": 3000, "ThawMs": 300},
		"ConfigMode": "highest",
	})
}

// start starts the process of a host. It is started again whenever it ends, until the host is stopped.
func (c *cluster) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	data, err := c.settings(h)
	if err != nil {
		return err
	}
	file := filepath.Join(h.dir, "settings.json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	h.first = false
	h.starts++
	out, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("log-%d", h.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(c.binary, h.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFLOW_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		close(exited)
		if h.isStopped() {
			return
		}
		c.record.add("exit", "host", h.name, "state", fmt.Sprint(cmd.ProcessState), "error", fmt.Sprint(err))
		time.Sleep(restartDelay)
		_ = c.start(h)
	}()
	return nil
}

// isStopped reports whether the case has stopped the host.
func (h *host) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s) // a process that has ended needs none
	}
}

// pid returns the process of a host.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// memoryKB returns a figure of /proc/PID/status, 0 if the process has ended.
func memoryKB(pid int, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, h := range c.hosts() {
		h.mu.Lock()
		h.stopped = true
		h.mu.Unlock()
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range c.hosts() {
		h.mu.Lock()
		exited := h.exited
		h.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{out: f, begin: time.Now()}, err
}

// add writes a line: the time since the begin, an event, and pairs of names and values.
func (r *record) add(event string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%8.3f %-12s", time.Since(r.begin).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %s=%s", pairs[i], strconv.Quote(pairs[i+1]))
	}
	b.WriteByte('\n')
	_, _ = r.out.Write(b.Bytes())
}

// since returns the time since the begin of the record.
func (r *record) since() time.Duration { return time.Since(r.begin) }

// kill kills a process of the host unless another one has taken its place.
func (h *host) kill(pid int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd.Process.Pid == pid {
		_ = h.cmd.Process.Kill() // a process that has ended needs none
	}
}
