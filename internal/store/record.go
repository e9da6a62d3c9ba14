package store

import (
	"encoding/json"
	"path"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/bootstrap"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// replicaFile is the name of the file that identifies the replica in a data directory.
const replicaFile = "replica"

// tempSuffix is appended to the name of a file until it is completely written.
const tempSuffix = ".new"

// replicaRecord is the content of replicaFile.
type replicaRecord struct {
	ID string `json:"id"`
	// Voters are the initial voters, if this replica is one of them.
	Voters []string `json:"voters,omitempty"`
	// Sum is the checksum of the fields above. Earlier builds, which know no others, check it too.
	Sum uint64 `json:"sum"`
	// FirstStart is what the host knows of the first start of the system; nil if it took no part in it.
	FirstStart *firstStart `json:"first_start,omitempty"`
	// FirstStartSum is the checksum of FirstStart; 0 without one.
	FirstStartSum uint64 `json:"first_start_sum,omitempty"`
}

// firstStart is the part of a host in the choice of the initial voters.
type firstStart struct {
	// Candidate is set until the replica knows the initial voters.
	Candidate bool `json:"candidate,omitempty"`
	// Seeds are the IP addresses of the seeds.
	Seeds []string `json:"seeds"`
	// Acceptor is the state of the acceptor on this host; nil if there is none.
	Acceptor *bootstrap.AcceptorState `json:"acceptor,omitempty"`
}

func (f *firstStart) checksum() uint64 {
	if f == nil {
		return 0
	}
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // the type can always be encoded
	}
	return xxhash.Sum64(data)
}

func (r *replicaRecord) checksum() uint64 {
	return xxhash.Sum64String(strings.Join(append([]string{r.ID}, r.Voters...), "\n"))
}

// isIntact reports whether the checksums fit the fields.
func (r *replicaRecord) isIntact() bool {
	return r.Sum == r.checksum() && r.FirstStartSum == r.FirstStart.checksum()
}

// isCandidate reports whether the replica does not know the initial voters yet.
func (r *replicaRecord) isCandidate() bool { return r.FirstStart != nil && r.FirstStart.Candidate }

// acceptor returns the state of the acceptor on this host, or nil.
func (r *replicaRecord) acceptor() *bootstrap.AcceptorState {
	if r.FirstStart == nil {
		return nil
	}
	return r.FirstStart.Acceptor
}

// endCandidacy records that the initial voters are known.
func (r *replicaRecord) endCandidacy() {
	if r.FirstStart == nil {
		return
	}
	next := *r.FirstStart
	next.Candidate = false
	r.FirstStart = &next
}

// setAcceptor replaces the state of the acceptor on this host.
func (r *replicaRecord) setAcceptor(s *bootstrap.AcceptorState) {
	var next firstStart
	if r.FirstStart != nil {
		next = *r.FirstStart
	}
	next.Acceptor = s
	r.FirstStart = &next
}

func (r *replicaRecord) startMode() storage.StartMode {
	if len(r.Voters) > 0 {
		return storage.Bootstrap
	}
	return storage.Join
}

// write stores the record atomically: after a crash the file is either missing or complete.
func (r *replicaRecord) write(fs storage.FS, dir string) error {
	r.Sum, r.FirstStartSum = r.checksum(), r.FirstStart.checksum()
	data, err := json.Marshal(r)
	if err != nil {
		return &errs.Corrupt{What: "replica file", Detail: err.Error()}
	}
	name := path.Join(dir, replicaFile)
	f, err := fs.Create(name + tempSuffix)
	if err == nil {
		_, err = f.Write(data)
	}
	if err == nil {
		err = f.Sync()
	}
	if f != nil {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}
	if err == nil {
		err = fs.Rename(name+tempSuffix, name)
	}
	if err == nil {
		err = fs.SyncDir(dir)
	}
	if err != nil {
		return &storage.FileOpFailed{Operation: "write", File: name, Cause: err.Error()}
	}
	return nil
}

// recordFile is the record of the replica and the file that holds it. It is safe for concurrent use.
type recordFile struct {
	fs  storage.FS
	dir string

	mu      sync.Mutex
	record  replicaRecord
	removed bool
}

// get returns a copy of the record.
func (f *recordFile) get() replicaRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record
}

// update changes the record once the change is durable.
func (f *recordFile) update(change func(*replicaRecord)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.removed {
		return &errs.Unavailable{Resource: "replica file", Reason: "the replica must not be used any more"}
	}
	next := f.record
	change(&next)
	if err := next.write(f.fs, f.dir); err != nil {
		return err
	}
	f.record = next
	return nil
}

// remove removes the file of a replica that must not be used any more; see removeReplicaFile.
func (f *recordFile) remove() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed = true
	return removeReplicaFile(f.fs, f.dir)
}

// removeReplicaFile removes the record of a replica that must not be used any more. The next call of
// loadOrCreateRecord clears the directory and creates a new replica.
func removeReplicaFile(fs storage.FS, dir string) error {
	if err := fs.Remove(path.Join(dir, replicaFile)); err != nil {
		return &storage.FileOpFailed{Operation: "remove", File: replicaFile, Cause: err.Error()}
	}
	return fs.SyncDir(dir)
}
