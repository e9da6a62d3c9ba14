package consensus

// Faults are the safety rules that a test can disable, by name.
var Faults = map[string]func(*Config){
	"vote-twice":         func(c *Config) { c.faults.voteTwice = true },
	"skip-lease-wait":    func(c *Config) { c.faults.skipLeaseWait = true },
	"lease-from-receipt": func(c *Config) { c.faults.leaseFromReceipt = true },
	"commit-minority":    func(c *Config) { c.faults.commitMinority = true },
	"ignore-log-check":   func(c *Config) { c.faults.ignoreLogCheck = true },
	"skip-term-check":    func(c *Config) { c.faults.skipTermCheck = true },
	"stale-reads":        func(c *Config) { c.faults.staleReads = true },
}

// TermAt returns the term of the entry at index, or false if the node's log does not contain it.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// BaseIndex returns the index of the entry before the first one in the node's log.
func (n *Node) BaseIndex() uint64 { return n.log.baseIndex }
