package store

import (
	"encoding/json"
	"log/slog"
	"path"
	"slices"

	"github.com/pkg/errors"

	"fuchsiaflow/bootstrap"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/storage"
)

// loadOrCreateRecord returns the record of the replica in the data directory. Without a valid record it
// clears the directory and creates a new replica under an identity that has never voted: at the first start
// of the system it is a candidate for the initial voters; in all other cases it joins the group.
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
		if err := json.Unmarshal(data, &record); err == nil && record.isIntact() && clusterview.ReplicaIP(record.ID) == s.IP {
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

// newRecord returns the record of a new replica. isFirst is set at the first start of the system.
func newRecord(s *settings.Role, isFirst bool) *replicaRecord {
	record := &replicaRecord{ID: clusterview.ReplicaID(s.IP, clusterview.RandomIdentity())}
	if !isFirst {
		return record
	}
	record.FirstStart = &firstStart{Candidate: true, Seeds: s.Seeds}
	if s.IsSeed() {
		record.FirstStart.Acceptor = &bootstrap.AcceptorState{ID: clusterview.RandomIdentity()}
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
