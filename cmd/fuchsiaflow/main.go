// Command fuchsiaflow is the rollout service. The same binary runs hosts, operator commands and tools.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// version is the release of the binary.
const version = "0.1.0"

// Exit codes. Scripts depend on them, and docs/OPERATIONS.md documents them.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3 // a file or a value is invalid
	exitConflict = 4 // the configuration conflicts with the one in force
	exitUnknown  = 5 // the outcome of a request is unknown
)

type cli struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Run     runCommand     `cmd:"" help:"Run a host until it is stopped or drained."`
	Entry   entryCommand   `cmd:"" help:"Run an entry host of the platform, which serves callers."`
	Store   storeCommand   `cmd:"" help:"Run a store host of the platform, which keeps the state and runs batch jobs."`
	Follow  followCommand  `cmd:"" help:"Print what collected logs say about one request, batch job, item or target."`
	Check   checkCommand   `cmd:"" help:"Check a configuration or settings file without a host."`
	Apply   applyCommand   `cmd:"" help:"Apply a configuration file as one unit."`
	Status  statusCommand  `cmd:"" help:"Show the state of a host."`
	Drain   drainCommand   `cmd:"" help:"Shut a host down without cutting off a request."`
	Demo    demoCommand    `cmd:"" help:"Run a small system in one process and check its guarantees."`
	Measure measureCommand `cmd:"" help:"Measure the policy and baselines in simulated time."`
	Replay  replayCommand  `cmd:"" help:"Replay a recorded trace and compare its outcome with the stated one."`
	Member  memberCommand  `cmd:"" help:"Change the membership of a consensus group by one host."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("fuchsiaflow"), kong.Vars{"version": version},
		kong.Description("Rollout service for reinforcement learning on donated hosts."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiaflow:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch errs.CodeOf(err) {
	case errs.CodeInvalid:
		return exitInvalid
	case errs.CodeConflict:
		return exitConflict
	}
	// kong wraps the error of a command, so the chain is searched for its type.
	var f errs.Failure
	if errors.As(err, &f) && f.FailureOutcome() == errs.Unknown {
		return exitUnknown
	}
	return exitFailed
}
