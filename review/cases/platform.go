package main

import (
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

const (
	// restartDelay is the delay after which the platform restarts a process that has ended.
	restartDelay = 300 * time.Millisecond
	// memoryInterval is how often the platform compares the memory of the processes with their limits.
	memoryInterval = 50 * time.Millisecond
	// binary is the program of the deploy file.
	binary = "target/fuchsiaflow"
)

// limits are those of a machine.
type limits struct{ MemoryMb, MaxFds int }

// site has the limits of the machines of a site file.
type site struct{ edge, storage limits }

// caalArada is the site whose machines the cases use.
var caalArada = site{edge: limits{MemoryMb: 120, MaxFds: 2870}, storage: limits{MemoryMb: 154, MaxFds: 8200}}

// machine is a machine with the process of one role.
type machine struct {
	name, role, ip, zone string
	limits               limits
	dir                  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started int
	killed  int   // by the platform, for its memory
	peak    int64 // most memory of a process in KiB
	ended   []string
}

// platform starts the processes, restarts those that end, and kills those with too much memory.
type platform struct {
	dir      string
	subnet   string // the first three bytes of the addresses
	ports    map[string]int
	machines []*machine
	site     site
	log      *record

	mu       sync.Mutex
	stopping bool
	waiting  sync.WaitGroup
}

// newPlatform chooses addresses and ports that are free. The machines are not started.
func newPlatform(s site, log *record) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	p := &platform{dir: dir, site: s, log: log, ports: make(map[string]int)}
	for range 100 {
		p.subnet = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		base := 20000 + rand.IntN(8000)
		free := true
		for i, name := range []string{"peer", "control", "front", "ready", "replica"} {
			p.ports[name] = base + 20*i
			l, err := net.Listen("tcp", p.address("1", name))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// address returns the address of a port of a host, which is the last byte of its IP address.
func (p *platform) address(host, port string) string {
	return net.JoinHostPort(p.subnet+"."+host, strconv.Itoa(p.ports[port]))
}

// start starts the given numbers of storage and edge machines, at most three of them in a zone each.
func (p *platform) start(stores, edges int) error {
	for i := range stores {
		p.machines = append(p.machines, &machine{name: fmt.Sprintf("storage-%d", i), role: "store", ip: fmt.Sprintf("%s.%d", p.subnet, 10+i), zone: zone(i), limits: p.site.storage})
	}
	for i := range edges {
		p.machines = append(p.machines, &machine{name: fmt.Sprintf("edge-%d", i), role: "entry", ip: fmt.Sprintf("%s.%d", p.subnet, 40+i), zone: zone(i), limits: p.site.edge})
	}
	for _, m := range p.machines {
		m.dir = filepath.Join(p.dir, m.name)
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return err
		}
		if err := p.run(m); err != nil {
			return err
		}
	}
	p.waiting.Add(1)
	go p.watchMemory()
	return nil
}

func zone(i int) string { return []string{"quetzaltenango", "totonicapan", "solola"}[i%3] }

// run writes the settings of a machine and starts its process.
func (p *platform) run(m *machine) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, p.address(strconv.Itoa(10+i), "control"))
	}
	at := func(port string) string { return net.JoinHostPort(m.ip, strconv.Itoa(p.ports[port])) }
	s := map[string]any{"Node": m.name, "Role": m.role, "Ip": m.ip, "Zone": m.zone, "Region": "altiplano", "InternalPorts": []int{p.ports["peer"], p.ports["peer"] + 15},
		"SeedAddrs": seeds, "Bootstrap": m.started == 0, "FaultTolerance": map[string]int{"Machines": 1, "Zones": 1},
		"Limits": map[string]int{"MemoryMb": m.limits.MemoryMb, "MaxFds": m.limits.MaxFds}, "HeartbeatMs": 1200, "ConfigMode": "highest",
		"Bounds": map[string]any{"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.7, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigApplyMs": 2000, "RecoveryS": 12, "FinishS": 10, "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000, "FencingRequired": true, "LeaseMs": 3000, "ThawMs": 300}}
	if m.role == "store" {
		s["Listen"] = map[string]string{"Control": at("control")}
		s["DataDir"] = filepath.Join(m.dir, "data")
	} else {
		s["Listen"] = map[string]string{"Front": at("front"), "Ready": at("ready"), "Control": at("control")}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(m.dir, "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFLOW_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd = cmd
	m.started++
	m.mu.Unlock()
	p.waiting.Add(1)
	go p.await(m, cmd)
	return nil
}

// await waits for the end of a process and restarts it.
func (p *platform) await(m *machine, cmd *exec.Cmd) {
	defer p.waiting.Done()
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return
	}
	m.mu.Lock()
	m.ended = append(m.ended, fmt.Sprint(err))
	m.mu.Unlock()
	p.log.printf("process of %s ended: %v", m.name, err)
	p.waiting.Add(1)
	go func() {
		defer p.waiting.Done()
		time.Sleep(restartDelay)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopping {
			if err := p.run(m); err != nil {
				p.log.printf("process of %s not restarted: %v", m.name, err)
			}
		}
	}()
}

// watchMemory kills processes that use more than the memory of their machine.
func (p *platform) watchMemory() {
	defer p.waiting.Done()
	for {
		time.Sleep(memoryInterval)
		p.mu.Lock()
		if p.stopping {
			p.mu.Unlock()
			return
		}
		for _, m := range p.machines {
			p.checkMemory(m)
		}
		p.mu.Unlock()
	}
}

func (p *platform) checkMemory(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := anonymousKiB(m.cmd.Process.Pid)
	m.peak = max(m.peak, used)
	if used > int64(m.limits.MemoryMb)<<10 {
		m.killed++
		p.log.printf("%s uses %d MB of %d MB; its process is killed", m.name, used>>10, m.limits.MemoryMb)
		_ = m.cmd.Process.Kill()
		time.Sleep(memoryInterval)
	}
}

// anonymousKiB returns the memory of a process without the pages of files, such as the program.
func anonymousKiB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// stop ends all processes. The logs are kept if the environment asks for them.
func (p *platform) stop() {
	p.mu.Lock()
	p.stopping = true
	for _, m := range p.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	p.mu.Unlock()
	p.waiting.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", p.dir)
	}
}

// hosts returns the addresses of a port of the machines of a role.
func (p *platform) hosts(role, port string) (list []string) {
	for _, m := range p.machines {
		if m.role == role {
			list = append(list, net.JoinHostPort(m.ip, strconv.Itoa(p.ports[port])))
		}
	}
	return list
}

// killedThrice reports whether processes of two machines or more were killed three times for their memory.
func killedThrice(p *platform, log *record) bool {
	machines := 0
	for _, m := range p.machines {
		m.mu.Lock()
		log.printf("%s: at most %d MB of %d MB, %d starts, killed for its memory %d times", m.name, m.peak>>10, m.limits.MemoryMb, m.started, m.killed)
		if m.killed >= 3 {
			machines++
		}
		m.mu.Unlock()
	}
	log.printf("%d machines whose process was killed three times or more for its memory", machines)
	return machines >= 2
}
