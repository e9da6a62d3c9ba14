package storage_test

import (
	"fmt"

	"fuchsiaflow/storage"
	"fuchsiaflow/storage/faultfs"
)

// An appended batch survives a crash. An empty directory is an error unless this is a first start.
func Example() {
	fs := faultfs.New(nil) // storage.OS{} on a host
	opt := storage.Options{Group: "control", Voter: "a", Start: storage.Bootstrap}
	log, _, err := storage.Open(fs, "data", opt)
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := log.Append(storage.Batch{Entries: []storage.Entry{{Index: 1, Term: 1, Data: []byte("hello")}}}); err != nil {
		fmt.Println(err)
	}
	fs.Crash()
	opt.Start = storage.Existing
	if _, recovered, err := storage.Open(fs, "data", opt); err == nil {
		fmt.Printf("%s\n", recovered.Entries[0].Data)
	}
	fs.LoseDisk()
	_, _, err = storage.Open(fs, "data", opt)
	fmt.Println(err)
	// Output:
	// hello
	// directory data has no data of voter "a" of group "control": start it under a new name as a learner, or set bootstrap if the group has never run
}
