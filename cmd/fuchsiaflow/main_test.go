package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/replay"
)

// Guards against an exit code that a wrapped failure hides, on which scripts rely.
func TestExitCode(t *testing.T) {
	for want, err := range map[int]error{
		exitFailed:   &replay.Mismatch{Name: "n"},
		exitInvalid:  &replay.Malformed{Line: 1, Path: "$"},
		exitConflict: &errs.Conflict{Kind: "configuration"},
		exitUnknown:  &errs.Interrupted{Operation: "POST /v1/config"},
	} {
		if got := exitCode(errors.Wrap(err, "command")); got != want {
			t.Errorf("%v: exit code %d, want %d", err, got, want)
		}
	}
}

// Guards against a replay command that ends with 0 although the stated outcome is wrong.
func TestReplayWrongOutcome(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "testdata", "traces", "drumworks-fetch-answer-lost.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "wrong.jsonl")
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), `"delivered": 4`, `"delivered": 5`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	err = (&replayCommand{File: file, JSON: true}).Run()
	var mismatch *replay.Mismatch
	if !errors.As(err, &mismatch) || exitCode(err) != exitFailed {
		t.Errorf("err = %v", err)
	}
}
