package main

import (
	"bytes"
	"fmt"
	"io"

	"fuchsiaflow/configcheck"
	"fuchsiaflow/errs"
)

// differenceMarks precede the differences in a report.
var differenceMarks = map[configcheck.Change]string{configcheck.Added: "+", configcheck.Removed: "-", configcheck.Changed: "~"}

// writeReport writes the report about a configuration as text.
func writeReport(out io.Writer, r *configcheck.Report) error {
	var b bytes.Buffer
	writeSummary(&b, r)
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: %s\n", f.Severity, f.Path, f.Message)
	}
	if r.InForce != nil {
		writeDifferences(&b, r)
	}
	fmt.Fprintf(&b, "errors: %d, warnings: %d, notes: %d\n", r.Count(configcheck.Error), r.Count(configcheck.Warning), r.Count(configcheck.Note))
	if _, err := out.Write(b.Bytes()); err != nil {
		return &errs.Interrupted{Operation: "standard output", Reason: err.Error()}
	}
	return nil
}

// writeSummary writes the first line of a report.
func writeSummary(b *bytes.Buffer, r *configcheck.Report) {
	verdict := "valid"
	if r.Count(configcheck.Error) > 0 {
		verdict = "invalid"
	}
	fmt.Fprintf(b, "%s configuration", verdict)
	if s := r.Configuration; s != nil {
		fmt.Fprintf(b, ": version %d, %d routes, %d services, %d accounts", s.Version, s.Routes, s.Services, s.Accounts)
	}
	b.WriteByte('\n')
}

// writeDifferences writes what differs from the version in force, one line a difference.
func writeDifferences(b *bytes.Buffer, r *configcheck.Report) {
	if len(r.Differences) == 0 {
		fmt.Fprintf(b, "no differences from version %d\n", *r.InForce)
		return
	}
	fmt.Fprintf(b, "differences from version %d:\n", *r.InForce)
	for _, d := range r.Differences {
		fmt.Fprintf(b, "  %s %s", differenceMarks[d.Change], d.Entry)
		if d.Name != "" {
			fmt.Fprintf(b, " %q", d.Name)
		}
		switch d.Change {
		case configcheck.Changed:
			fmt.Fprintf(b, " %s: %s -> %s\n", d.Field, d.Old, d.New)
		default:
			fmt.Fprintf(b, ": %s%s\n", d.Old, d.New)
		}
	}
}
