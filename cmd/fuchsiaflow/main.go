// Command fuchsiaflow is the rollout service: one binary for hosts, operators and tools.
package main

import (
	"github.com/alecthomas/kong"
)

// version is the release of the binary.
const version = "0.1.0"

type cli struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("fuchsiaflow"), kong.Vars{"version": version},
		kong.Description("Rollout service for reinforcement learning on donated hosts."))
}
