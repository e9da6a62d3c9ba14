package store

import (
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"path"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/mesh"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/storage"
)

// replicaFile names the replica that a data folder holds.
const replicaFile = "replica"

// firstIdentity is the identity of the replicas that form the group at its first start. They
// know each other by their addresses.
const firstIdentity = "first"

// disk is the content of replicaFile.
type disk struct {
	ID string `json:"id"`
	// Voters is set on a disk of the first group.
	Voters []string `json:"voters,omitempty"`
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
		if err := json.Unmarshal(data, &d); err == nil && mesh.IPOf(d.ID) == s.IP {
			return &d, nil
		}
	}
	// Files without a replica are the remainder of an interrupted first start.
	for _, name := range names {
		if err := fs.Remove(path.Join(s.DataDir, name)); err != nil {
			return nil, &storage.IO{Operation: "remove", File: name, Cause: err.Error()}
		}
	}
	d := newDisk(s)
	return d, d.write(fs, s.DataDir)
}

func newDisk(s *settings.Role) *disk {
	if !s.FirstStart || !s.IsSeed() {
		return &disk{ID: mesh.ReplicaID(s.IP, drawIdentity())}
	}
	d := &disk{ID: mesh.ReplicaID(s.IP, firstIdentity)}
	for _, ip := range s.Seeds {
		d.Voters = append(d.Voters, mesh.ReplicaID(ip, firstIdentity))
	}
	return d
}

func drawIdentity() string {
	var b [6]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// write stores the file so that after a crash either none or the whole is found.
func (d *disk) write(fs storage.FS, dir string) error {
	data, err := json.Marshal(d)
	if err != nil {
		return &errs.Corrupt{What: "replica file", Detail: err.Error()}
	}
	name := path.Join(dir, replicaFile)
	f, err := fs.Create(name + ".new")
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
		err = fs.Rename(name+".new", name)
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
