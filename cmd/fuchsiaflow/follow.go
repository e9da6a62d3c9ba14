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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

type followCommand struct {
	ID    string   `arg:"" help:"Id of a request, batch job, item or target."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Collected logs of any hosts; standard input without one."`
}

// logLine is one line of a log that mentions the id.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// Run prints the lines of all logs that mention an id, in the order of their times.
func (c *followCommand) Run() error {
	var lines []logLine
	if len(c.Files) == 0 {
		lines = mentions(os.Stdin, c.ID)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return &errs.Invalid{Path: name, Want: "a readable log", Got: err.Error()}
		}
		lines = append(lines, mentions(f, c.ID)...)
		_ = f.Close()
	}
	if len(lines) == 0 {
		return &errs.NotFound{Kind: "id in the logs", ID: c.ID}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Println(l.text())
	}
	return nil
}

// mentions returns the lines of a log with a field that has the id as its value. What precedes
// the JSON object of a line, such as the name of a collector, is left out.
func mentions(r io.Reader, id string) []logLine {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
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
		stamp, _ := fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			continue // not a line of this service
		}
		out = append(out, logLine{at, fields})
	}
	return out
}

func hasValue(fields map[string]any, id string) bool {
	for _, v := range fields {
		if text, ok := v.(string); ok && text == id {
			return true
		}
	}
	return false
}

func (l *logLine) text() string {
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
