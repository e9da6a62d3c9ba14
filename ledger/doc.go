// Package ledger manages the generation of samples for the trainers of one domain group, the
// Raft group of a failure domain. A trainer opens a step, which consists of slots for one sample
// each. Ledger is the replicated, deterministic state machine: it decides which attempt at a slot
// is accepted and which samples a trainer receives. Scheduler is soft state of the group's leader:
// it leases open slots to hosts and is rebuilt from the Ledger after a leader change.
package ledger
