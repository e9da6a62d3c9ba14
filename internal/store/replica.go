package store

import (
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"path"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/storage"
)

// replicaFile is the name of the file that identifies the replica in a data directory.
const replicaFile = "replica"

// tempSuffix is appended to the name of a file until it is completely written.
const tempSuffix = ".new"

// bootstrapIdentity is the identity of the replicas that bootstrap the group. It is fixed, so that the
// seeds know each other's replica IDs from their addresses.
const bootstrapIdentity = "first"

// replicaRecord is the content of replicaFile.
type replicaRecord struct {
	ID string `json:"id"`
	// Voters are the initial voters, if this replica bootstraps the group.
	Voters []string `json:"voters,omitempty"`
	// Sum is the checksum of the other fields.
	Sum uint64 `json:"sum"`
}

func (r *replicaRecord) checksum() uint64 {
	return xxhash.Sum64String(strings.Join(append([]string{r.ID}, r.Voters...), "\n"))
}

func (r *replicaRecord) startMode() storage.StartMode {
	if len(r.Voters) > 0 {
		return storage.Bootstrap
	}
	return storage.Join
}

// loadOrCreateRecord returns the record of the replica in the data directory. Without a valid record it
// clears the directory and creates a new replica: at the first start of the system a seed becomes one
// of the initial voters; in all other cases the replica joins the group under an identity that has
// never voted.
func loadOrCreateRecord(fs storage.FS, s *settings.Role) (*replicaRecord, error) {
	if err := fs.MkdirAll(s.DataDir); err != nil {
		return nil, &storage.FileOpFailed{Operation: "create folder", File: s.DataDir, Cause: err.Error()}
	}
	names, err := fs.ReadDir(s.DataDir)
	if err != nil {
		return nil, &storage.FileOpFailed{Operation: "list folder", File: s.DataDir, Cause: err.Error()}
	}
	if data, err := fs.ReadFile(path.Join(s.DataDir, replicaFile)); err == nil {
		var record replicaRecord
		if err := json.Unmarshal(data, &record); err == nil && record.Sum == record.checksum() && clusterview.ReplicaIP(record.ID) == s.IP {
			return &record, nil
		}
	}
	// The replica file is durable before any other file is created. If the directory has any file but
	// the temporary one, a replica file was corrupted or lost; otherwise a first start was interrupted.
	interrupted := !slices.ContainsFunc(names, func(name string) bool { return name != replicaFile+tempSuffix })
	for _, name := range names {
		if err := fs.Remove(path.Join(s.DataDir, name)); err != nil {
			return nil, &storage.FileOpFailed{Operation: "remove", File: name, Cause: err.Error()}
		}
	}
	record := newRecord(s, s.Bootstrap && interrupted)
	return record, record.write(fs, s.DataDir)
}

// newRecord returns the record of a new replica. Only a seed at the first start of the system gets the
// bootstrap identity.
func newRecord(s *settings.Role, firstStart bool) *replicaRecord {
	if !firstStart || !s.IsSeed() {
		return &replicaRecord{ID: clusterview.ReplicaID(s.IP, randomIdentity())}
	}
	record := &replicaRecord{ID: clusterview.ReplicaID(s.IP, bootstrapIdentity)}
	for _, ip := range s.Seeds {
		record.Voters = append(record.Voters, clusterview.ReplicaID(ip, bootstrapIdentity))
	}
	return record
}

// openReplica opens the replica in the data directory. A replica with corrupt state must not vote again,
// because it may have lost its votes and log; it is replaced with a new one under another identity.
func openReplica(fs storage.FS, s *settings.Role, log *slog.Logger, open func(*replicaRecord) (*group.Group, error)) (*replicaRecord, *group.Group, error) {
	record, err := loadOrCreateRecord(fs, s)
	if err != nil {
		return nil, nil, err
	}
	g, err := open(record)
	var corrupt *errs.Corrupt
	if !errors.As(err, &corrupt) {
		return record, g, err
	}
	log.Error("stored state is corrupt; creating a new replica", "replica", record.ID, "error", err)
	if err := removeReplicaFile(fs, s.DataDir); err != nil {
		return nil, nil, err
	}
	if record, err = loadOrCreateRecord(fs, s); err != nil {
		return nil, nil, err
	}
	g, err = open(record)
	return record, g, err
}

func randomIdentity() string {
	var b [6]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// write stores the record atomically: after a crash the file is either missing or complete.
func (r *replicaRecord) write(fs storage.FS, dir string) error {
	r.Sum = r.checksum()
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

// removeReplicaFile removes the record of a replica that must not be used any more. The next call of
// loadOrCreateRecord clears the directory and creates a new replica.
func removeReplicaFile(fs storage.FS, dir string) error {
	if err := fs.Remove(path.Join(dir, replicaFile)); err != nil {
		return &storage.FileOpFailed{Operation: "remove", File: replicaFile, Cause: err.Error()}
	}
	return fs.SyncDir(dir)
}
