package demo

import (
	"bufio"
	"bytes"
	_ "embed" // the default input is part of the binary
	"encoding/json"
	"strconv"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/fakes"
)

// defaultInput holds the steps and desk requests of a day at the Drumworks deployment.
//
//go:embed testdata/drumworks.jsonl
var defaultInput []byte

// maxInputLine bounds one line of an input.
const maxInputLine = 4 << 20

// Input is what the callers of a run send.
type Input struct {
	Steps []StepInput
	Desk  []DeskInput
}

// StepInput is one recorded step of the trainer.
type StepInput struct {
	Step   string        `json:"step"`
	Groups []fakes.Group `json:"groups"`
}

// DeskInput is one recorded desk request: a prompt for the engine pool or a body for the
// plain service pool.
type DeskInput struct {
	Pool      string          `json:"pool"`
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens uint32          `json:"max_tokens"`
	Body      json.RawMessage `json:"body"`
	Key       string          `json:"key"`
	Unsafe    bool            `json:"unsafe"`
}

// inputLine is one line of an input file.
type inputLine struct {
	Kind string `json:"kind"`
	StepInput
	DeskInput
}

// DefaultInput returns the input that is part of the binary.
func DefaultInput() (*Input, error) { return ParseInput(defaultInput) }

// ParseInput decodes an input of one JSON object per line, of kind "step" or "desk".
func ParseInput(data []byte) (*Input, error) {
	in := &Input{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxInputLine)
	for n := 1; lines.Scan(); n++ {
		if err := in.add(n, lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &errs.TooLarge{What: "input line", Limit: maxInputLine}
	}
	if len(in.Steps) == 0 || len(in.Desk) == 0 {
		return nil, &errs.Invalid{Path: "$", Want: "at least one step and one desk request", Got: strconv.Itoa(len(in.Steps)) + " and " + strconv.Itoa(len(in.Desk))}
	}
	return in, nil
}

func (in *Input) add(n int, data []byte) error {
	path := "line " + strconv.Itoa(n)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var line inputLine
	if err := dec.Decode(&line); err != nil {
		return &errs.Invalid{Path: path, Want: "a JSON object of kind step or desk", Got: err.Error()}
	}
	switch line.Kind {
	case "step":
		in.Steps = append(in.Steps, line.StepInput)
	case "desk":
		in.Desk = append(in.Desk, line.DeskInput)
	default:
		return &errs.Invalid{Path: path + ".kind", Want: "step or desk", Got: strconv.Quote(line.Kind)}
	}
	return nil
}
