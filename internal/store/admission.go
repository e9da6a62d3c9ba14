package store

import (
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/storestate"
)

// Admission answers the load of trainers that submit more than the store hosts can hold: results stay
// readable for minutes, each voter has all of them in memory, and a process that runs into its limit is
// killed. Without it all voters end within seconds, again and again, and accepted work is lost.

const (
	// stateShare is the share of a process's memory that the batch jobs may take. A replica that
	// receives a snapshot has it twice for a moment, and the garbage collector and everything else
	// need the rest.
	stateShare = 0.35
	// roomPause is when a client may come back if no job is about to be dropped.
	roomPause = time.Second
)

// admission decides about submissions.
type admission struct {
	limit int // of the batch jobs, in bytes; 0 for none
}

func newAdmission(memory int64) admission { return admission{limit: int(stateShare * float64(memory))} }

// admit returns errs.Full for a new job of some bytes that does not fit beside what is held. nextDrop is
// when the oldest job is dropped; 0 when that is not known.
func (a admission) admit(held, job int, nextDrop time.Duration) error {
	if a.limit <= 0 || held+job <= a.limit {
		return nil
	}
	if nextDrop <= 0 {
		nextDrop = roomPause
	}
	return &errs.Full{Resource: "memory of the store hosts", After: nextDrop}
}

// admit decides about a command. A job that is known is never refused: its acceptance is only repeated.
func (st *Store) admit(command []byte) error {
	id, ok := storestate.SubmittedJob(command)
	if !ok {
		return nil
	}
	held, known := 0, false
	st.machine.View(func(s *storestate.State) {
		_, known = s.Jobs().Entry(id)
		held = s.Jobs().Size()
	})
	if known {
		return nil
	}
	err := st.admission.admit(held, len(command), st.runner.TimeUntilNextDrop())
	if err != nil {
		st.o.Log.Warn("batch job refused", "job", id, "bytes", len(command), "held_bytes", held, "limit_bytes", st.admission.limit, "error", err)
	}
	return err
}
