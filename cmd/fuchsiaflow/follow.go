package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

type followCommand struct {
	ID    string   `arg:"" help:"Id of a request, batch job, item or target."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Collected logs of any hosts; standard input without one."`
}

// logLine is a decoded line of a log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// Run prints the lines of all logs that contain the ID, sorted by time.
func (c *followCommand) Run() error {
	if strings.TrimSpace(c.ID) == "" {
		return &errs.Invalid{Path: "ID", Want: "the id of a request, scoring call, batch job, item or target", Got: "an empty string"}
	}
	var lines []logLine
	if len(c.Files) == 0 {
		lines = findLines(os.Stdin, c.ID)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return &errs.Invalid{Path: name, Want: "a readable log", Got: err.Error()}
		}
		lines = append(lines, findLines(f, c.ID)...)
		_ = f.Close()
	}
	if len(lines) == 0 {
		return &errs.NotFound{Kind: "id in the logs", ID: c.ID}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Println(l.format())
	}
	return nil
}

// findLines returns the lines of a log that have a field whose value is id. Text before the JSON
// object of a line, such as a prefix added by a log collector, is ignored.
func findLines(r io.Reader, id string) []logLine {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil || !hasValue(fields, id) {
			continue
		}
		timestamp, _ := fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			continue // not a log line of this service
		}
		out = append(out, logLine{at, fields})
	}
	return out
}

// hasValue reports whether a field has the string id as its value.
func hasValue(fields map[string]any, id string) bool {
	for _, v := range fields {
		if s, ok := v.(string); ok && s == id {
			return true
		}
	}
	return false
}

// format returns the line as "TIME HOST: MESSAGE KEY=VALUE ...", sorted by key.
func (l *logLine) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v: %v", l.at.Format("15:04:05.000"), l.fields["host"], l.fields["msg"])
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case "time", "host", "msg", "level", "role":
		default:
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}
