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

// replicaFile names the replica that a data folder holds.
const replicaFile = "replica"

// newSuffix marks a file that is being written and takes its name when it is whole.
const newSuffix = ".new"

// firstIdentity is the identity of the replicas that form the group at its first start. They
// know each other by their addresses.
const firstIdentity = "first"

// disk is the content of replicaFile.
type disk struct {
	ID string `json:"id"`
	// Voters is set on a disk of the first group.
	Voters []string `json:"voters,omitempty"`
	// Sum is the checksum of the other fields.
	Sum uint64 `json:"sum"`
}

func (d *disk) checksum() uint64 {
	return xxhash.Sum64String(strings.Join(append([]string{d.ID}, d.Voters...), "\n"))
}

func (d *disk) start() storage.StartMode {
	if len(d.Voters) > 0 {
		return storage.Bootstrap
	}
	return storage.Join
}

// openDisk reads which replica the data folder holds. An empty folder gets a new one: with the
// first start of the system a seed becomes a voter of the first group, and every other disk
// joins as a replica that never voted.
func openDisk(fs storage.FS, s *settings.Role) (*disk, error) {
	if err := fs.MkdirAll(s.DataDir); err != nil {
		return nil, &storage.IO{Operation: "create folder", File: s.DataDir, Cause: err.Error()}
	}
	names, err := fs.ReadDir(s.DataDir)
	if err != nil {
		return nil, &storage.IO{Operation: "list folder", File: s.DataDir, Cause: err.Error()}
	}
	if data, err := fs.ReadFile(path.Join(s.DataDir, replicaFile)); err == nil {
		var d disk
		if err := json.Unmarshal(data, &d); err == nil && d.Sum == d.checksum() && clusterview.ReplicaIP(d.ID) == s.IP {
			return &d, nil
		}
	}
	// The replica file is durable before any other file is made. A folder with others has lost it
	// to damage; without others its first start was interrupted.
	interrupted := !slices.ContainsFunc(names, func(name string) bool { return name != replicaFile+newSuffix })
	for _, name := range names {
		if err := fs.Remove(path.Join(s.DataDir, name)); err != nil {
			return nil, &storage.IO{Operation: "remove", File: name, Cause: err.Error()}
		}
	}
	d := newDisk(s, s.FirstStart && interrupted)
	return d, d.write(fs, s.DataDir)
}

// newDisk returns the replica of an empty disk. Only at the first start of the system may it be
// one of the first group.
func newDisk(s *settings.Role, firstStart bool) *disk {
	if !firstStart || !s.IsSeed() {
		return &disk{ID: clusterview.ReplicaID(s.IP, drawIdentity())}
	}
	d := &disk{ID: clusterview.ReplicaID(s.IP, firstIdentity)}
	for _, ip := range s.Seeds {
		d.Voters = append(d.Voters, clusterview.ReplicaID(ip, firstIdentity))
	}
	return d
}

// openReplica opens the replica on the disk. A replica whose stored state is damaged cannot be
// trusted with a vote any more, so its disk starts anew under a new identity.
func openReplica(fs storage.FS, s *settings.Role, log *slog.Logger, open func(*disk) (*group.Group, error)) (*disk, *group.Group, error) {
	d, err := openDisk(fs, s)
	if err != nil {
		return nil, nil, err
	}
	g, err := open(d)
	var damaged *errs.Corrupt
	if !errors.As(err, &damaged) {
		return d, g, err
	}
	log.Error("the stored state is damaged; the disk starts anew", "replica", d.ID, "error", err)
	if err := wipe(fs, s.DataDir); err != nil {
		return nil, nil, err
	}
	if d, err = openDisk(fs, s); err != nil {
		return nil, nil, err
	}
	g, err = open(d)
	return d, g, err
}

func drawIdentity() string {
	var b [6]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// write stores the file so that after a crash either none or the whole is found.
func (d *disk) write(fs storage.FS, dir string) error {
	d.Sum = d.checksum()
	data, err := json.Marshal(d)
	if err != nil {
		return &errs.Corrupt{What: "replica file", Detail: err.Error()}
	}
	name := path.Join(dir, replicaFile)
	f, err := fs.Create(name + newSuffix)
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
		err = fs.Rename(name+newSuffix, name)
	}
	if err == nil {
		err = fs.SyncDir(dir)
	}
	if err != nil {
		return &storage.IO{Operation: "write", File: name, Cause: err.Error()}
	}
	return nil
}

// wipe removes the data of a replica that its peers do not accept any more. The next start joins
// with a new one.
func wipe(fs storage.FS, dir string) error {
	if err := fs.Remove(path.Join(dir, replicaFile)); err != nil {
		return &storage.IO{Operation: "remove", File: replicaFile, Cause: err.Error()}
	}
	return fs.SyncDir(dir)
}
