//go:build race

package storestate

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
