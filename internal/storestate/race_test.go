//go:build race

package storestate

// raceDetector tells that the tests run under the race detector.
const raceDetector = true
