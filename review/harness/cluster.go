package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// binary is built by the build line of deploy/system.toml; run.sh starts the harness in the repository root.
const binary = "target/fuchsiaflow"

// bounds are those of the site caal-arada.
var bounds = map[string]any{"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.7, "DrainMs": 2000, "GraceS": 8,
	"LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "MaxStretchMs": 5000, "RecoveryS": 12, "PassMs": 120, "AgainS": 0,
	"FinishS": 10, "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000, "QuotaOverrun": 0.1, "FencingRequired": true, "LeaseMs": 3000, "ThawMs": 300}

// host is one host of the system under test.
type host struct {
	name, role, ip, zone, dir string
	cmd                       *exec.Cmd
	exited                    chan struct{}
	bootstrapped              bool
}

// cluster is a small deployment: three store hosts and two entry hosts in three zones.
type cluster struct {
	dir                                       string
	subnet                                    string
	stores, entries                           []*host
	frontPort, readyPort, controlPort, peerPt int
	rec                                       *recorder
	mu                                        sync.Mutex
}

// newCluster chooses free addresses and starts all hosts.
func newCluster(rec *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, rec: rec, subnet: fmt.Sprintf("127.%d.%d", 90+os.Getpid()%100, os.Getpid()/100%250)}
	for _, port := range []*int{&c.frontPort, &c.readyPort, &c.controlPort, &c.peerPt} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		c.stores = append(c.stores, c.newHost("store", i, 10+i))
	}
	for i := range 2 {
		c.entries = append(c.entries, c.newHost("entry", i, 20+i))
	}
	for _, h := range append(append([]*host{}, c.stores...), c.entries...) {
		if err := c.start(h); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freePort returns a port that is free on all loopback addresses at the moment.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (c *cluster) newHost(role string, i, lastOctet int) *host {
	name := fmt.Sprintf("%s-%d", role, i)
	return &host{name: name, role: role, ip: fmt.Sprintf("%s.%d", c.subnet, lastOctet), zone: fmt.Sprintf("z%d", i), dir: filepath.Join(c.dir, name)}
}

func (c *cluster) controlAddr(h *host) string { return fmt.Sprintf("%s:%d", h.ip, c.controlPort) }
func (c *cluster) frontAddr(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, c.frontPort) }

// start writes the settings file of a host and starts its process.
func (c *cluster) start(h *host) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var seeds []string
	for _, s := range c.stores {
		seeds = append(seeds, c.controlAddr(s))
	}
	s := map[string]any{"Node": h.name, "Role": h.role, "Ip": h.ip, "Zone": h.zone, "Region": "r", "Zones": map[string]string{"z0": "r", "z1": "r", "z2": "r"},
		"InternalPorts": []int{c.peerPt, c.peerPt + 15}, "SeedAddrs": seeds, "Bootstrap": !h.bootstrapped, "CountsAsLoss": h.role == "store",
		"Limits":  map[string]any{"CpuShare": 1.0, "CpuCores": 1, "MemoryMb": 300, "MaxFds": 2870, "LinkMbps": 700.0, "DiskMb": 480},
		"DataDir": nil, "DiscoverySource": "self_register", "EntryKind": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0}, "Bounds": bounds, "ConfigMode": "highest"}
	if h.role == "store" {
		s["MachineClass"], s["ServedRoles"] = "storage", []string{"storage", "control"}
		s["Listen"] = map[string]string{"Control": c.controlAddr(h)}
		s["DataDir"] = filepath.Join(h.dir, "data")
	} else {
		s["MachineClass"], s["ServedRoles"] = "edge", []string{"edge"}
		s["Listen"] = map[string]string{"Front": c.frontAddr(h), "Ready": fmt.Sprintf("%s:%d", h.ip, c.readyPort)}
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(h.dir, "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, h.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFLOW_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited, h.bootstrapped = cmd, exited, true
	go func() {
		_ = cmd.Wait() // the error is the signal that ended the process
		close(exited)
	}()
	c.rec.logf("start %s pid=%d", h.name, cmd.Process.Pid)
	return nil
}

// kill ends the process of a host with SIGKILL and waits for it.
func (c *cluster) kill(h *host) {
	c.mu.Lock()
	cmd, exited := h.cmd, h.exited
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	c.rec.logf("kill %s pid=%d", h.name, cmd.Process.Pid)
	_ = cmd.Process.Kill()
	<-exited
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (c *cluster) stop() {
	for _, h := range append(append([]*host{}, c.entries...), c.stores...) {
		c.kill(h)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
