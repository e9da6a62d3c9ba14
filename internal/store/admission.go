package store

import (
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/storestate"
)

// Admission control protects the store hosts from trainers that submit more than fits into memory.
// Results stay readable for minutes, each voter holds all of them in memory, and a process that exceeds
// its memory limit is killed. Without admission control all voters are killed within seconds of each
// other, repeatedly, and accepted jobs are lost.

const (
	// jobMemoryShare is the share of a process's memory that batch jobs may occupy. A replica that
	// receives a snapshot briefly holds the jobs twice; the garbage collector and everything else need
	// the rest.
	jobMemoryShare = 0.35
	// defaultRetryAfter is the retry delay of a refusal if the time of the next drop is not known.
	defaultRetryAfter = time.Second
)

// admission decides whether a new job is accepted.
type admission struct {
	limitBytes int // memory of all batch jobs; 0 means no limit
}

func newAdmission(memoryBytes int64) admission {
	return admission{limitBytes: int(jobMemoryShare * float64(memoryBytes))}
}

// admit returns errs.Full if a new job of jobBytes would exceed the limit when heldBytes are in use.
// nextDrop is the time until the oldest job is dropped; 0 or less if it is not known.
func (a admission) admit(heldBytes, jobBytes int, nextDrop time.Duration) error {
	if a.limitBytes <= 0 || heldBytes+jobBytes <= a.limitBytes {
		return nil
	}
	if nextDrop <= 0 {
		nextDrop = defaultRetryAfter
	}
	return &errs.Full{Resource: "memory of the store hosts", After: nextDrop}
}

// admitCommand returns errs.Full for a command that submits a new job for which there is no memory. A
// known job is never refused, because its submission only repeats the acceptance.
func (st *Store) admitCommand(command []byte) error {
	job, ok := storestate.SubmittedJob(command)
	if !ok {
		return nil
	}
	heldBytes, known := 0, false
	st.stateMachine.View(func(s *storestate.State) {
		_, known = s.Jobs().Entry(job)
		heldBytes = s.Jobs().MemoryBytes()
	})
	if known {
		return nil
	}
	err := st.admission.admit(heldBytes, len(command), st.runner.TimeUntilNextDrop())
	if err != nil {
		st.opts.Log.Warn("batch job refused", job.LogArgs("bytes", len(command), "held_bytes", heldBytes, "limit_bytes", st.admission.limitBytes, "error", err)...)
	}
	return err
}
