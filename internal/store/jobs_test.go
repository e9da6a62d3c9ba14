package store

import (
	"testing"

	"fuchsiaflow/errs"
	"fuchsiaflow/jobs"
)

// Guards against a batch job that is acknowledged although no replica can decode its command: its results would
// never exist.
func TestUndecodableJobIsNotAcknowledged(t *testing.T) {
	c, stop := startSingleStore(t, t.TempDir(), freePort(t))
	defer stop()
	awaitNil(t, "weight version", func() error { return c.PutVersion(t.Context(), "m", 2) })
	for name, job := range map[string]jobs.Job{
		"id":   {ID: "j\xff", Host: "h", Path: "/p/j"},
		"path": {ID: "j", Host: "h", Path: "/p/\xff"},
		"host": {ID: "j", Host: "h\xff", Path: "/p/j"},
	} {
		job.Items = []jobs.Item{{ID: "a"}}
		if err := job.Validate(); errs.CodeOf(err) != errs.CodeInvalid {
			t.Errorf("%s: valid with error %v, want errs.Invalid", name, err)
		}
		if _, err := c.st.leaderClient.SubmitJob(t.Context(), job); errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("%s: acknowledged with error %v, want one that says not run", name, err)
		}
	}
}
