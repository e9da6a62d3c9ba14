package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"fuchsiaflow/errs"
)

// Role holds the settings of a host with a single role: an entry host accepts client requests, and
// a store host keeps the replicated state and runs batch jobs. Both discover the other hosts
// through a few seed addresses of hosts that serve the control interface.
type Role struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	IP            string `json:"ip"`
	// PeerPort is the port at which the gRPC servers of other hosts are reachable.
	PeerPort int `json:"peer_port"`
	// PeerListenPort is the local listen port of a store host behind a proxy or an address
	// translation; 0 means PeerPort.
	PeerListenPort int `json:"peer_listen_port"`
	// FailureDomains is the number of failure domains of the system; 0 if it is not known.
	FailureDomains int `json:"failure_domains"`
	// Seeds are the IP addresses of some hosts that serve the control interface. At the first start all hosts have the same.
	Seeds []string `json:"seeds"`
	// Bootstrap is set when the whole system starts for the first time, with empty disks. The
	// seeds then agree on the initial voters of the state group; see package bootstrap.
	Bootstrap bool   `json:"first_start"`
	DataDir   string `json:"data_dir"`
	// ToleratedDiskLosses is the number of simultaneous disk losses that the state survives.
	ToleratedDiskLosses int `json:"lost_disks"`
	// MemoryBytes is the memory limit of the process; 0 means no limit.
	MemoryBytes int64      `json:"memory_bytes"`
	Listen      RoleListen `json:"listen"`
	Timing      RoleTiming `json:"timing"`
	// MaxOpenFiles is the number of file descriptors that the process may open; 0 means that it is not known.
	MaxOpenFiles int `json:"max_open_files"`
	// Platform is the API of the platform; its zero value means that there is none.
	Platform PlatformAPI `json:"platform"`
	// Revocation tells what a host without contact to the state group does with keys.
	Revocation Revocation `json:"revocation"`
	// Usage tells when the usage of client accounts is reported.
	Usage Usage `json:"usage"`
	Log   Log   `json:"log"`
}

// PlatformAPI describes the API of the platform.
type PlatformAPI struct {
	Address string `json:"address"` // IP:port
	// CallsPerSecond is the number of calls a second that the platform accepts from all hosts together.
	CallsPerSecond float64 `json:"calls_per_second"`
	// ReportsUsage and OrdersTargets are set if the system has to report usage and may order targets.
	ReportsUsage  bool `json:"reports_usage"`
	OrdersTargets bool `json:"orders_targets"`
}

// Revocation tells how long keys stay valid on a host that hears no majority of the voters.
type Revocation struct {
	// Strict makes such a host refuse requests that need a key after Within. Otherwise it goes on with the last
	// configuration that it knows.
	Strict bool          `json:"strict"`
	Within time.Duration `json:"within"`
}

// Usage tells when the usage of client accounts is reported.
type Usage struct {
	Window   time.Duration `json:"window"`    // length of a window
	DueAfter time.Duration `json:"due_after"` // time from the end of a window until its report is due
}

// RoleListen holds the listen addresses of a host. An interface with an empty address is not served.
type RoleListen struct {
	Front   string `json:"front"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Metrics string `json:"metrics"`
}

// ControlPort returns the port of the control interface, which is the same on all hosts, or "" if it is not served.
func (l *RoleListen) ControlPort() string {
	_, port, err := net.SplitHostPort(l.Control)
	if err != nil {
		return ""
	}
	return port
}

// RoleTiming holds the time limits that the deployment sets.
type RoleTiming struct {
	// Grace is the time that the process has to exit after it is asked to stop.
	Grace time.Duration `json:"grace"`
	// OrderWait is how long a new leader waits before it sends orders to targets.
	OrderWait time.Duration `json:"order_wait"`
	// KeepResults is how long the results of a batch job remain readable after its submission.
	KeepResults time.Duration `json:"keep_results"`
}

// VoterCount returns the number of voters that the state needs to survive the tolerated disk losses.
func (r *Role) VoterCount() int { return 2*r.ToleratedDiskLosses + 1 }

// EffectivePeerListenPort returns the port on which a store host accepts connections from other hosts.
func (r *Role) EffectivePeerListenPort() int {
	if r.PeerListenPort > 0 {
		return r.PeerListenPort
	}
	return r.PeerPort
}

// IsSeed reports whether this host is one of the seeds.
func (r *Role) IsSeed() bool { return slices.Contains(r.Seeds, r.IP) }

// maxToleratedDiskLosses bounds the size of the group, because each additional voter slows every commit.
const maxToleratedDiskLosses = 4

// Validate returns an error for the first invalid setting.
func (r *Role) Validate() error {
	invalid := func(path, want, got string) error {
		return &errs.Invalid{Path: path, Want: want, Got: strconv.Quote(got)}
	}
	if r.Host == "" {
		return invalid("$.host", "a name", "")
	}
	if net.ParseIP(r.IP) == nil {
		return invalid("$.ip", "an IP address", r.IP)
	}
	if r.PeerPort <= 0 || r.PeerPort > 65535 {
		return invalid("$.peer_port", "a port", strconv.Itoa(r.PeerPort))
	}
	if r.PeerListenPort < 0 || r.PeerListenPort > 65535 {
		return invalid("$.peer_listen_port", "a port or 0", strconv.Itoa(r.PeerListenPort))
	}
	if len(r.Seeds) == 0 {
		return invalid("$.seeds", "at least one address", "[]")
	}
	for i, ip := range r.Seeds {
		if net.ParseIP(ip) == nil {
			return invalid(fmt.Sprintf("$.seeds[%d]", i), "an IP address", ip)
		}
	}
	if r.ToleratedDiskLosses < 0 || r.ToleratedDiskLosses > maxToleratedDiskLosses {
		return invalid("$.lost_disks", fmt.Sprintf("0 to %d", maxToleratedDiskLosses), strconv.Itoa(r.ToleratedDiskLosses))
	}
	if r.Timing.Grace <= 0 {
		return invalid("$.timing.grace", "a positive duration", r.Timing.Grace.String())
	}
	return nil
}
