package faultcheck

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a FailureMessage that reports a failure for every property or for none, which would void all
// tests that inject faults, and against a changed shrink time.
func TestFailureDistinguishesProperties(t *testing.T) {
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	property := func(limit int) func(*rapid.T) {
		return func(rt *rapid.T) {
			if n := rapid.IntRange(0, 9).Draw(rt, "n"); n > limit {
				rt.Fatalf("%d is above %d", n, limit)
			}
		}
	}
	before := flag.Lookup("rapid.shrinktime").Value.String()
	if got := FailureMessage(t, property(9)); got != "" {
		t.Errorf("a property that holds failed: %s", got)
	}
	if FailureMessage(t, property(3)) == "" {
		t.Error("a property that does not hold passed")
	}
	if after := flag.Lookup("rapid.shrinktime").Value.String(); after != before {
		t.Errorf("shrink time is %s afterwards, was %s", after, before)
	}
}
