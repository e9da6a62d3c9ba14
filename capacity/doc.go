// Package capacity estimates, from results and statements, how long a request takes at a target and how many concurrent
// requests are worthwhile there, its knee. It is designed for targets of different speeds, of which some become slow long
// before they are full and whose speed changes within a second, and for many hosts with few requests each, which share
// what they learn as compact statements.
//
// A result is the latency of a request, or the time between two output events of an engine, at a number of concurrent
// requests. An Estimator separates it into the latency at one request, the present slowness and the growth with the number
// of requests. Load and slowness that a target states are evidence with an age; they count as far as they have predicted
// results better than results alone.
//
// The package is deterministic and does no I/O: time is an argument. Its types are not safe for concurrent use.
package capacity
