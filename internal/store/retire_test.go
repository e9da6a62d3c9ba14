package store

import (
	"testing"

	"fuchsiaflow/consensus"
)

// Guards against a store host that is said to be empty, and then removed with its disk, while its
// replica votes: a new leader answered from the hosts that it had heard of, and had not heard of
// the one that was to be emptied.
func TestHostIsEmptyOnlyWithoutAReplicaInTheCommittedMembership(t *testing.T) {
	for _, c := range []struct {
		name   string
		status consensus.Status
		want   bool
	}{
		{"votes", consensus.Status{ConfCommitted: true, Voters: []string{"10.0.0.1~first", "10.0.0.2~first"}}, false},
		{"learns", consensus.Status{ConfCommitted: true, Voters: []string{"10.0.0.2~first"}, Learners: []string{"10.0.0.1~x"}}, false},
		{"removal not committed", consensus.Status{Voters: []string{"10.0.0.2~first"}}, false},
		{"removed", consensus.Status{ConfCommitted: true, Voters: []string{"10.0.0.2~first", "10.0.0.3~x"}}, true},
	} {
		if got := emptied("10.0.0.1", c.status); got != c.want {
			t.Errorf("%s: emptied is %v", c.name, got)
		}
	}
}
