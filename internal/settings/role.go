package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"fuchsiaflow/errs"
)

// Role is the settings of a host that carries one role of the service: entry hosts take the
// requests of callers, store hosts keep the state and run batch jobs. Such hosts are told the
// addresses of some store hosts and find all others by themselves.
type Role struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	IP            string `json:"ip"`
	// PeerPort is the port of the gRPC server of every store host.
	PeerPort int `json:"peer_port"`
	// PeerListenPort is the port on which a store host listens if it is not PeerPort, because a
	// proxy or an address translation stands in front of the host; 0 when it is.
	PeerListenPort int `json:"peer_listen_port"`
	// Seeds are the addresses of some store hosts.
	Seeds []string `json:"seeds"`
	// FirstStart is set when the whole system starts for the first time, with empty disks. The
	// seeds then form the first group.
	FirstStart bool   `json:"first_start"`
	DataDir    string `json:"data_dir"`
	// LostDisks is how many disks may be lost at the same time.
	LostDisks int `json:"lost_disks"`
	// MemoryBytes is the memory that the process may use; 0 when it is not limited.
	MemoryBytes int64      `json:"memory_bytes"`
	Listen      RoleListen `json:"listen"`
	Timing      RoleTiming `json:"timing"`
	Log         Log        `json:"log"`
}

// RoleListen has the addresses on which a host listens; an empty one is not served.
type RoleListen struct {
	Front   string `json:"front"`
	Ready   string `json:"ready"`
	Control string `json:"control"`
	Metrics string `json:"metrics"`
}

// RoleTiming has the bounds that the deployment sets.
type RoleTiming struct {
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration `json:"grace"`
	// OrderWait is how long a new leader waits before it gives orders to targets.
	OrderWait time.Duration `json:"order_wait"`
	// KeepResults is how long the results of a batch job stay readable after its submission.
	KeepResults time.Duration `json:"keep_results"`
}

// Voters returns the number of voters that keep the state through the loss of LostDisks disks.
func (r *Role) Voters() int { return 2*r.LostDisks + 1 }

// PeerListen returns the port on which a store host listens for other hosts.
func (r *Role) PeerListen() int {
	if r.PeerListenPort > 0 {
		return r.PeerListenPort
	}
	return r.PeerPort
}

// IsSeed tells whether this host is one of the seeds.
func (r *Role) IsSeed() bool { return slices.Contains(r.Seeds, r.IP) }

// maxLostDisks bounds the size of the group; more voters slow every commit.
const maxLostDisks = 4

// Validate reports the first setting that cannot be used.
func (r *Role) Validate() error {
	bad := func(path, want, got string) error {
		return &errs.Invalid{Path: path, Want: want, Got: strconv.Quote(got)}
	}
	if r.Host == "" {
		return bad("$.host", "a name", "")
	}
	if net.ParseIP(r.IP) == nil {
		return bad("$.ip", "an IP address", r.IP)
	}
	if r.PeerPort <= 0 || r.PeerPort > 65535 {
		return bad("$.peer_port", "a port", strconv.Itoa(r.PeerPort))
	}
	if r.PeerListenPort < 0 || r.PeerListenPort > 65535 {
		return bad("$.peer_listen_port", "a port or 0", strconv.Itoa(r.PeerListenPort))
	}
	if len(r.Seeds) == 0 {
		return bad("$.seeds", "at least one address", "[]")
	}
	for i, ip := range r.Seeds {
		if net.ParseIP(ip) == nil {
			return bad(fmt.Sprintf("$.seeds[%d]", i), "an IP address", ip)
		}
	}
	if r.LostDisks < 0 || r.LostDisks > maxLostDisks {
		return bad("$.lost_disks", fmt.Sprintf("0 to %d", maxLostDisks), strconv.Itoa(r.LostDisks))
	}
	if r.Timing.Grace <= 0 {
		return bad("$.timing.grace", "a positive duration", r.Timing.Grace.String())
	}
	return nil
}
