// Package faultcheck verifies that the checks of property-based tests can fail: a check that passes for
// the real code must detect each injected fault.
package faultcheck

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Verify runs a check, which compares the code under test with an oracle, without a fault and with each
// of the faults injected. The check returns a description of the violation that it found, or "". It
// must find none without a fault and one with each fault.
func Verify(t *testing.T, check func(rt *rapid.T, fault string) string, faults ...string) {
	t.Helper()
	for _, fault := range append([]string{""}, faults...) {
		t.Run("fault="+fault, func(t *testing.T) {
			violation := ""
			rapid.Check(t, func(rt *rapid.T) {
				if violation == "" {
					violation = check(rt, fault)
				}
				if violation != "" && fault == "" {
					message := violation
					violation = "" // rapid calls the property again to shrink the failing case
					rt.Fatal(message)
				}
			})
			if t.Log(violation); violation == "" && fault != "" {
				t.Error("the injected fault was not detected")
			}
		})
	}
}

// failureRecorder records the failure of a property instead of reporting it to the test.
type failureRecorder struct {
	rapid.TB
	message string
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.message += fmt.Sprintf(format, args...)
}
func (r *failureRecorder) Failed() bool          { return false } // keeps rapid from ending the test
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Fatalf(string, ...any) {}

// FailureMessage returns the failure message of a property that is expected to fail, or "" if it passes.
func FailureMessage(t *testing.T, property func(*rapid.T)) string {
	t.Helper()
	// Shrinking is not needed here. The setting is restored for the tests that follow.
	const shrinkTime = "rapid.shrinktime"
	previous := flag.Lookup(shrinkTime).Value.String()
	if err := flag.Set(shrinkTime, "1ms"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set(shrinkTime, previous) }()
	r := &failureRecorder{TB: t}
	rapid.Check(r, property)
	return r.message
}
