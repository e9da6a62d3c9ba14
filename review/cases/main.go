// Command cases runs the scripts of the second review. Each case starts the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins for clients, replicas, the operator and the platform.
package main

import (
	"fmt"
	"os"
)

// Results of a case, as exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*record) (broken bool, err error){
	"log-memory": logMemory,
	"oversize":   oversizeCase,
	"late-copy":  lateCopyCase,
	"many-parts": manyPartsCase,
	"smuggle":    smuggleCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](log)
	code := exitHeld
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		log.printf("the rule was broken")
		code = exitBroken
	default:
		log.printf("the rule held")
	}
	log.close()
	os.Exit(code)
}
