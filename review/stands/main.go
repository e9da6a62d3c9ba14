// Command stands runs the cases of the third review that are no days of the users' bench. It starts the project's own
// processes on loopback addresses, with stand-ins for the clients, the replicas and the platform, and judges what these see.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is the time within which a case ends.
const maxRunTime = 110 * time.Second

// caseFunc runs a case. It returns what breaks the rule, or nothing if it held.
type caseFunc func(ctx context.Context, binary, dir string, rec *record, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stands CASE BINARY RECORD")
		return exitNotRun
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "fuchsiaflow-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	broken, err := cases[os.Args[1]](ctx, binary, dir, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("not run", "error", err.Error())
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if ctx.Err() != nil {
		fmt.Println("not run: the time is over, or the case was stopped")
		return exitNotRun
	}
	for _, b := range broken {
		rec.add("BROKEN", "what", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

func shuffle(list []int) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

var errNotReady = errors.New("the system did not become ready")
