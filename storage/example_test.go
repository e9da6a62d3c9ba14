package storage_test

import (
	"fmt"
	"os"

	"fuchsiaflow/storage"
)

// What Append returned without an error is there after the next Open.
func Example() {
	dir, err := os.MkdirTemp("", "storage-example-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	options := storage.Options{Group: "example", Voter: "a", Start: storage.Bootstrap}
	log, found, err := storage.Open(storage.OS{}, dir, options)
	fmt.Println(found.Fresh, err)
	fmt.Println(log.Append(storage.Batch{HardState: []byte("term 1"), Entries: []storage.Entry{{Index: 1, Term: 1, Data: []byte("first")}}}))
	fmt.Println(log.Close())

	options.Start = storage.Existing
	log, found, err = storage.Open(storage.OS{}, dir, options)
	fmt.Println(found.Fresh, string(found.HardState), string(found.Entries[0].Data), err)
	fmt.Println(log.Close())
	// Output:
	// true <nil>
	// <nil>
	// <nil>
	// false term 1 first <nil>
	// <nil>
}
