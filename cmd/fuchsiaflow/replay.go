package main

import (
	"os"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/replay"
)

type replayCommand struct {
	File string `arg:"" type:"existingfile" help:"Trace in JSONL."`
	JSON bool   `name:"json" help:"Print the report as JSON."`
}

// Run replays the trace and prints a report. It fails if the outcome differs from the one in the trace.
func (c *replayCommand) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return &errs.NotFound{Kind: "trace", ID: c.File}
	}
	defer f.Close()
	trace, err := replay.Parse(f)
	if err != nil {
		return err
	}
	report, err := replay.Run(trace)
	if report == nil {
		return err
	}
	if c.JSON {
		if printErr := printJSON(report); printErr != nil {
			return printErr
		}
		return err
	}
	report.Print(os.Stdout)
	return err
}
