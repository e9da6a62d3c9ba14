package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/observe"
)

// demoTimeout bounds the run time of the demo.
const demoTimeout = 28 * time.Second

type demoCommand struct {
	JSON    bool   `name:"json" help:"Print one JSON object and nothing else."`
	Verbose bool   `short:"v" help:"Print the hosts' log."`
	Input   string `type:"existingfile" help:"Recorded steps and desk requests, one JSON object per line; a part of the binary by default."`
}

// Run runs the demo and prints its report. It fails if a guarantee is violated.
func (c *demoCommand) Run() error {
	input, err := c.readInput()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "fuchsiaflow-demo-")
	if err != nil {
		return &errs.Unavailable{Resource: "temporary directory", Reason: err.Error()}
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	progress, level := io.Writer(os.Stdout), slog.LevelError
	if c.JSON {
		progress = io.Discard
	}
	if c.Verbose {
		level = slog.LevelDebug
	}
	report, err := demo.Run(ctx, input, dir, progress, observe.NewLogger(os.Stderr, level, "demo"))
	if report == nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if encodeErr := enc.Encode(report); encodeErr != nil {
			return encodeErr
		}
		return err
	}
	report.Print(os.Stdout)
	return err
}

func (c *demoCommand) readInput() (*demo.Input, error) {
	if c.Input == "" {
		return demo.DefaultInput()
	}
	data, err := os.ReadFile(c.Input)
	if err != nil {
		return nil, &errs.NotFound{Kind: "file", ID: c.Input}
	}
	return demo.ParseInput(data)
}
