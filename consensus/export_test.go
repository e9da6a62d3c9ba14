package consensus

// Faults names the safety rules that a test can disable.
var Faults = map[string]func(*Config){
	"vote-twice":         func(c *Config) { c.faults.voteTwice = true },
	"skip-lease-wait":    func(c *Config) { c.faults.skipLeaseWait = true },
	"lease-from-receipt": func(c *Config) { c.faults.leaseFromReceipt = true },
	"commit-minority":    func(c *Config) { c.faults.commitMinority = true },
	"ignore-log-check":   func(c *Config) { c.faults.ignoreLogCheck = true },
	"skip-term-check":    func(c *Config) { c.faults.skipTermCheck = true },
	"stale-reads":        func(c *Config) { c.faults.staleReads = true },
}

// TermAt returns the term of an entry in the node's log.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// Base returns the index before the first entry in the node's log.
func (n *Node) Base() uint64 { return n.log.baseIndex }
