// Package routing selects the host and the target for each request and queues requests in
// front of the targets.
//
// A pool is a set of targets, any of which can serve a request to the pool. Each target is owned
// by one host. An entry host, which accepts requests from callers, calls PickHost to find a host
// that owns suitable targets. The owner host runs a Dispatcher, which keeps requests in a bounded
// queue and limits the number of requests in flight on each target by a dispatch window. Inference
// engines run requests in arrival order and have no priorities, so requests wait in the
// dispatcher, where they can still be reordered, rather than in the engine.
//
// A Profile selects the target: Filters drop ineligible endpoints, weighted Scorers rate the
// others, and a Picker selects one of them.
//
// The package is a deterministic state machine: the current time and the random source are
// arguments. Its types are not safe for concurrent use.
package routing
