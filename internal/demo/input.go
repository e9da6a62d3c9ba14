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

// defaultInput holds the steps and desk requests of one day of the Drumworks deployment.
//
//go:embed testdata/drumworks.jsonl
var defaultInput []byte

// maxInputLine is the maximum length of an input line in bytes.
const maxInputLine = 4 << 20

// Input holds the steps and desk requests that are sent during a run.
type Input struct {
	Steps []StepInput
	Desk  []DeskInput
}

// StepInput is a recorded step of the trainer.
type StepInput struct {
	Step   string        `json:"step"`
	Groups []fakes.Group `json:"groups"`
}

// DeskInput is a recorded desk request: a prompt for an engine pool or a body for a service pool.
type DeskInput struct {
	Pool      string          `json:"pool"`
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	MaxTokens uint32          `json:"max_tokens"`
	Body      json.RawMessage `json:"body"`
	Key       string          `json:"key"`
	Unsafe    bool            `json:"unsafe"`
}

// inputLine is the union of the fields of both kinds of input line.
type inputLine struct {
	Kind string `json:"kind"`
	StepInput
	DeskInput
}

// DefaultInput returns the input that is embedded in the binary.
func DefaultInput() (*Input, error) { return ParseInput(defaultInput) }

// ParseInput decodes JSON lines of kind "step" or "desk". It rejects unknown fields and inputs
// without at least one line of each kind.
func ParseInput(data []byte) (*Input, error) {
	in := &Input{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxInputLine)
	for n := 1; lines.Scan(); n++ {
		if err := in.addLine(n, lines.Bytes()); err != nil {
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

func (in *Input) addLine(n int, data []byte) error {
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
