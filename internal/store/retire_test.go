package store

import (
	"testing"

	"fuchsiaflow/consensus"
)

// Guards against a store host that is reported as empty, and then removed with its disk, while its
// replica still votes. This happened when a new leader answered from the announcements it had received
// and the retiring host had not announced itself yet.
func TestHasNoReplicaRequiresCommittedMembership(t *testing.T) {
	for _, c := range []struct {
		name   string
		status consensus.Status
		want   bool
	}{
		{"voter", consensus.Status{ConfCommitted: true, Voters: []string{"10.0.0.1~first", "10.0.0.2~first"}}, false},
		{"learner", consensus.Status{ConfCommitted: true, Voters: []string{"10.0.0.2~first"}, Learners: []string{"10.0.0.1~x"}}, false},
		{"removal not committed", consensus.Status{Voters: []string{"10.0.0.2~first"}}, false},
		{"removed", consensus.Status{ConfCommitted: true, Voters: []string{"10.0.0.2~first", "10.0.0.3~x"}}, true},
	} {
		if got := hasNoReplica("10.0.0.1", c.status); got != c.want {
			t.Errorf("%s: hasNoReplica returned %v", c.name, got)
		}
	}
}
