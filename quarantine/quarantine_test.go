package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func instance(n int, release string) Instance {
	return Instance{Target: fmt.Sprint("t", n), Incarnation: int64(n), Release: release}
}

// Guards against requests that are held without a cause, sent without end, or never tried again.
func TestVerdicts(t *testing.T) {
	old := []string{"v1"}
	crashes := func(n, trials int) Entry {
		e := Entry{Fingerprint: "f", Crashes: n, Trials: trials}
		for i := range n {
			e.Instances = append(e.Instances, instance(i, "v1"))
		}
		return e
	}
	for _, c := range []struct {
		name     string
		entry    Entry
		since    time.Duration
		releases []string
		want     Judgement
	}{
		{"answered", crashes(0, 0), 0, old, Judgement{}},
		{"one crash", crashes(1, 0), time.Second, old, Judgement{Verdict: Careful, Crashes: 1}},
		{"one crash long ago", crashes(1, 0), 2 * crashMemory, old, Judgement{}},
		{"two crashes", crashes(2, 0), time.Second, old, Judgement{Verdict: Refuse, Crashes: 2, Wait: firstTrialDelay - time.Second}},
		{"two crashes, later", crashes(2, 0), firstTrialDelay, old, Judgement{Verdict: Trial, Crashes: 2}},
		{"three crashes", crashes(3, 0), firstTrialDelay, old, Judgement{Verdict: Refuse, Crashes: 3, Wait: trialDelay - firstTrialDelay}},
		{"three crashes, later", crashes(3, 0), trialDelay, old, Judgement{Verdict: Trial, Crashes: 3}},
		{"after a trial", crashes(4, 1), trialDelay, old, Judgement{Verdict: Refuse, Crashes: 4, Wait: trialDelay}},
		{"another release", crashes(3, 0), firstTrialDelay, []string{"v1", "v2"}, Judgement{Verdict: Trial, Crashes: 3, Releases: []string{"v2"}}},
		{"no trials left", crashes(6, maxTrials), 24 * time.Hour, []string{"v2"}, Judgement{Verdict: Refuse, Crashes: 6, Wait: trialDelay << maxTrials, Releases: []string{"v2"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.entry.Judge(c.since, c.releases)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against crashes that count twice, answers that do not clear, and trials that are granted twice or without end.
func TestTable(t *testing.T) {
	table := NewTable(nil)
	for i := range 2 {
		if !table.RecordCrash(uint64(i+1), Crash{"f", instance(i, "v1")}) || table.RecordCrash(uint64(i+1), Crash{"f", instance(i, "v1")}) {
			t.Fatal("a crash must count once")
		}
	}
	revision := table.Revision()
	if !table.GrantTrial(3, "f", revision) || table.GrantTrial(4, "f", revision) {
		t.Error("a trial must be granted once for a revision")
	}
	table.RecordCrash(5, Crash{"f", instance(2, "v1")})
	granted := 0
	for index := uint64(6); index < 20; index++ {
		if table.GrantTrial(index, "f", table.Revision()) {
			granted++
		}
	}
	if granted != maxTrials {
		t.Errorf("%d trials after the third crash, want %d", granted, maxTrials)
	}
	restored := NewTable(table.All())
	if diff := cmp.Diff(table.All(), restored.All()); diff != "" || restored.Revision() != table.Revision() {
		t.Errorf("the restored table differs: %s", diff)
	}
	if !table.RecordAnswer(20, "f") || table.RecordAnswer(21, "f") || table.All()[0].Crashes != 0 {
		t.Error("an answer must clear the request once")
	}
	if table.RecordCrash(22, Crash{"f", instance(2, "v1")}) {
		t.Error("a late report of a crash before the answer counts")
	}
}

// Guards against a table that grows without bound or drops requests in quarantine before others.
func TestTableIsBounded(t *testing.T) {
	table, records := NewTable(nil), NewRecords()
	for i := range 2 {
		table.RecordCrash(uint64(i+1), Crash{"deadly", instance(i, "v1")})
	}
	for i := range 3 * maxEntries {
		table.RecordCrash(uint64(i+3), Crash{Fingerprint(fmt.Sprint(i)), instance(i, "v1")})
	}
	for _, e := range table.All() {
		records.Add(time.Unix(0, 0), e)
	}
	for i := range 2 * maxEntries {
		records.Add(time.Unix(0, 0), Entry{Fingerprint: Fingerprint(fmt.Sprint("x", i)), Crashes: 1, Revision: uint64(1e6 + i)})
	}
	if n := len(table.All()); n != maxEntries || records.Len() != maxEntries {
		t.Errorf("%d and %d entries, want %d", n, records.Len(), maxEntries)
	}
	if e, _, ok := records.Get(time.Unix(0, 0), "deadly"); !ok || e.Crashes != 2 {
		t.Error("the request in quarantine was dropped")
	}
}

// Guards against copies that differ when hosts receive the changes in another order.
func TestRecordsConverge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 13))
	table := NewTable(nil)
	var changes []Entry
	for index := uint64(1); index <= 400; index++ {
		f := Fingerprint(fmt.Sprint(random.IntN(20)))
		switch random.IntN(4) {
		case 0:
			table.RecordAnswer(index, f)
		case 1:
			table.GrantTrial(index, f, table.Revision())
		default:
			table.RecordCrash(index, Crash{f, instance(random.IntN(50), "v1")})
		}
		changes = append(changes, table.ChangedAfter(index-1)...)
	}
	for range 10 {
		random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
		records := NewRecords()
		for _, e := range changes {
			records.Add(time.Unix(0, 0), e)
		}
		list, _ := records.ChangedSince(0)
		if suspects := slices.ContainsFunc(list, func(e Entry) bool { return e.Crashes > 0 }); records.HasSuspects() != suspects {
			t.Errorf("suspects %t, want %t", records.HasSuspects(), suspects)
		}
		if diff := cmp.Diff(table.All(), list); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Guards against requests that count as the same though they differ, or the reverse.
func TestFingerprint(t *testing.T) {
	base := Request{Method: "POST", Host: "h", URI: "/a?b", Caller: "k", Body: []byte("body"), Length: 4}
	same := base
	if same.Fingerprint() != base.Fingerprint() || len(base.Fingerprint()) != 2*fingerprintBytes {
		t.Error("the same request has two fingerprints")
	}
	for i, change := range []func(*Request){
		func(r *Request) { r.Method = "PUT" }, func(r *Request) { r.Host = "i" }, func(r *Request) { r.URI = "/a?c" }, func(r *Request) { r.Caller = "" },
		func(r *Request) { r.Body = []byte("bodx") }, func(r *Request) { r.Length = 9 }, func(r *Request) { r.Host, r.URI = "h/", "a?b" },
	} {
		other := base
		change(&other)
		if other.Fingerprint() == base.Fingerprint() {
			t.Errorf("change %d does not change the fingerprint", i)
		}
	}
}
