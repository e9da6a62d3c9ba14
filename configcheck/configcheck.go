// Package configcheck reviews a routing configuration before an operator applies it: errors for which hosts reject it,
// entries that never take effect, limits that contradict each other, and what differs from the version in force.
//
// It is designed for whole configurations, for example of 1,000 routes and 100,000 keys, that are checked once. Keys are
// known here by their digests only, and a report shows at most two bytes of one.
//
// The package is deterministic and does no I/O.
package configcheck

import (
	"fmt"

	"fuchsiaflow/errs"
	"fuchsiaflow/routes"
)

// Severity tells what a finding means for the operator.
type Severity string

// The severities.
const (
	// Error means that hosts reject the configuration, or that it cannot come into force.
	Error Severity = "error"
	// Warning means that a part of the configuration does not do what it states.
	Warning Severity = "warning"
	// Note means that a part is unusual but may be meant.
	Note Severity = "note"
)

// Finding is one result of the check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the field, with the names that the errors of hosts use, for example "$.routes[2].timeout".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Summary counts the entries of a configuration.
type Summary struct {
	Version  uint64 `json:"version"`
	Routes   int    `json:"routes"`
	Services int    `json:"services"`
	Accounts int    `json:"accounts"`
}

// Report is the result of the check of a configuration.
type Report struct {
	// Configuration is nil if the document could not be decoded.
	Configuration *Summary `json:"configuration,omitempty"`
	// InForce is the version with which the configuration was compared; nil without one.
	InForce *uint64 `json:"in_force,omitempty"`
	// Findings are in the order of their severities: errors, warnings, notes.
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences,omitempty"`
}

// Count returns the number of findings of a severity.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Check reviews a configuration. inForce is the one with which it is compared; nil if there is none.
func Check(c, inForce *routes.Config) *Report {
	var f findings
	for _, v := range c.Violations() {
		f.addViolation(v)
	}
	f.checkVersion(c, inForce)
	f.checkRoutes(c)
	f.checkServices(c)
	f.checkAccounts(c)
	f.checkLimits(c)
	report := &Report{Configuration: summarize(c), Findings: f.sorted()}
	if inForce != nil {
		report.InForce = &inForce.Version
		report.Differences = Compare(inForce, c)
	}
	return report
}

// Unreadable returns the report about a document that could not be decoded.
func Unreadable(reason *errs.Invalid) *Report {
	var f findings
	f.addViolation(reason)
	return &Report{Findings: f.sorted()}
}

func summarize(c *routes.Config) *Summary {
	return &Summary{Version: c.Version, Routes: len(c.Routes), Services: len(c.Services), Accounts: len(c.Accounts)}
}

// findings collects the results of the single checks.
type findings struct{ list []Finding }

func (f *findings) add(s Severity, path, format string, args ...any) {
	f.list = append(f.list, Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (f *findings) addViolation(v *errs.Invalid) {
	f.add(Error, v.Path, "want %s, got %s", v.Want, v.Got)
}

// sorted returns the findings by severity, and in the order in which they were found within one. It is never nil, so
// that scripts get an empty JSON array.
func (f *findings) sorted() []Finding {
	sorted := make([]Finding, 0, len(f.list))
	for _, s := range []Severity{Error, Warning, Note} {
		for _, finding := range f.list {
			if finding.Severity == s {
				sorted = append(sorted, finding)
			}
		}
	}
	return sorted
}

// checkVersion applies the rule of the state group, which acknowledges a version that is not above the stored one and
// keeps the stored one.
func (f *findings) checkVersion(c, inForce *routes.Config) {
	const path = "$.version"
	switch {
	case c.Version == 0:
		f.add(Error, path, "version 0 never comes into force; the first version is 1")
	case inForce == nil || c.Version > inForce.Version:
	case c.Version == inForce.Version && len(Compare(inForce, c)) == 0:
		f.add(Note, path, "version %d is in force already with the same content", c.Version)
	default:
		f.add(Error, path, "version %d is not above version %d, which is in force; hosts acknowledge it and change nothing",
			c.Version, inForce.Version)
	}
}
