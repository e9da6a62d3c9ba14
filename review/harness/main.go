// Command harness plays the cases of the review: it starts the hosts of a small deployment as processes,
// acts as operator, clients and replicas, and checks one rule. See review/REPORT.md.
package main

import (
	"fmt"
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
	exitFailed = 2 // the case could not run
)

// timeLimit is less than the 120 s that a case may take.
const timeLimit = 110 * time.Second

// outcome is what a case has seen.
type outcome struct {
	broken []string // each one a break of the rule
	note   string
}

var cases = map[string]func(c *cluster, trouble bool) (outcome, error){
	"foreign-beats": foreignBeats,
	"stream-twice":  streamTwice,
	"left-replica":  leftReplica,
	"route-moved":   routeMoved,
	"service-gone":  serviceRemoved,
	"texts-of-runs": textsOfRuns,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %v", name, trouble)
	c, err := newCluster(rec)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	code := make(chan int, 1)
	go func() { code <- judge(c, name, trouble) }()
	result := exitFailed
	select {
	case result = <-code:
	case <-time.After(timeLimit):
		fmt.Println("the case took too long")
	case <-interrupted:
		fmt.Println("interrupted")
	}
	c.stop()
	rec.logf("exit %d", result)
	return result
}

func judge(c *cluster, name string, trouble bool) int {
	out, err := cases[name](c, trouble)
	if err != nil {
		c.rec.logf("incomplete: %v", err)
		fmt.Println("incomplete:", err)
	}
	if err != nil && len(out.broken) == 0 {
		return exitFailed
	}
	for _, b := range out.broken {
		c.rec.logf("BROKEN: %s", b)
	}
	c.rec.logf("%d breaks; %s", len(out.broken), out.note)
	fmt.Printf("%d breaks; %s\n", len(out.broken), out.note)
	if len(out.broken) > 0 {
		fmt.Println("first:", out.broken[0])
		return exitBroken
	}
	return exitHeld
}
