// Package faultcheck shows that the checks of stateful tests can fail: a check that holds
// for the real code must find each deliberate fault.
package faultcheck

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Verify runs a check against an oracle. The check returns what it found wrong, or "".
// Without a fault it must find nothing, and each deliberate fault must be found.
func Verify(t *testing.T, check func(rt *rapid.T, fault string) string, faults ...string) {
	t.Helper()
	for _, fault := range append([]string{""}, faults...) {
		t.Run("fault="+fault, func(t *testing.T) {
			found := ""
			rapid.Check(t, func(rt *rapid.T) {
				if found == "" {
					found = check(rt, fault)
				}
				if found != "" && fault == "" {
					bad := found
					found = "" // the next call is a step of minimization
					rt.Fatal(bad)
				}
			})
			if t.Log(found); found == "" && fault != "" {
				t.Error("fault was not found")
			}
		})
	}
}

// recorder takes the failure of a check that is expected to fail.
type recorder struct {
	rapid.TB
	message string
}

func (r *recorder) Errorf(format string, args ...any) { r.message += fmt.Sprintf(format, args...) }
func (r *recorder) Failed() bool                      { return false } // keeps rapid from ending the test
func (r *recorder) Log(...any)                        {}
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) Fatalf(string, ...any)             {}

// Failure returns the message of a property that is expected to fail, or "".
func Failure(t *testing.T, property func(*rapid.T)) string {
	t.Helper()
	// The smallest failing case is of no interest here, but it is in the tests that follow.
	const shrinkTime = "rapid.shrinktime"
	former := flag.Lookup(shrinkTime).Value.String()
	if err := flag.Set(shrinkTime, "1ms"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set(shrinkTime, former) }()
	r := &recorder{TB: t}
	rapid.Check(r, property)
	return r.message
}
