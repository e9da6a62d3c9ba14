// Package ledger holds the steps of the trainers of one domain group. Ledger is the
// replicated, deterministic state machine: it decides which attempt of a slot is accepted
// and which samples a trainer receives. Scheduler is the soft state of the group's leader:
// it hands out slots as work and is rebuilt from a Ledger after a leader change.
package ledger
