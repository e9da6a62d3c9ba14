// Package routing chooses hosts and targets for requests and queues requests in front of
// targets.
//
// An entry host calls PickHost to find the owner host of a suitable target. The owner host
// runs a Dispatcher, which holds requests in a bounded queue and hands them to targets
// through short dispatch windows. Engines admit requests in arrival order and know no
// priorities, so a request must wait here, where order can still be chosen, and not there.
//
// The choice of a target is a Profile of small parts: Filters drop endpoints that must not
// be used, weighted Scorers rate the rest, and a Picker selects one.
//
// The package is a deterministic state machine. Time and the random source are arguments,
// and nothing in it is safe for concurrent use.
package routing
