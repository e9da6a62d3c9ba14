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

// Guards against a wrong exit code for a wrapped error; scripts depend on the codes.
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

// Guards against a replay command that succeeds although the outcome is not the expected one.
func TestReplayWrongOutcome(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "testdata", "traces", "drumworks-fetch-answer-lost.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "wrong.jsonl")
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), `"delivered": 4`, `"delivered": 5`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	err = (&replayCommand{File: path, JSON: true}).Run()
	var mismatch *replay.Mismatch
	if !errors.As(err, &mismatch) || exitCode(err) != exitFailed {
		t.Errorf("err = %v", err)
	}
}

// Guards against an empty id, for example from an unset variable of a script, that selects lines at random.
func TestFollowNeedsAnID(t *testing.T) {
	var invalid *errs.Invalid
	if err := (&followCommand{ID: " "}).Run(); !errors.As(err, &invalid) {
		t.Errorf("error %v, want errs.Invalid", err)
	}
}
