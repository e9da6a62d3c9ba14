// Package measure compares routing policies in simulated time.
//
// For a given seed, all policies run with the same arrivals, output lengths and failures. Engines,
// trainers and desks are simple models. The policy under test uses the real routing.Dispatcher and
// routing.PickHost. The baselines choose a target when a request arrives and leave queueing to the
// engine, with the same retries, staleness checks and queue bounds.
//
// The scheduler of sample slots and the planner of weight swaps are interfaces, so that those of
// packages ledger and weights can replace the simple implementations here.
//
// The defaults of routing.Config that balance desks against trainers were tuned on seeds 1 and 2, so
// use other seeds to evaluate them. To run the whole measurement:
//
//	FUCHSIAFLOW_MEASURE=<seed> go test ./internal/measure -run Full -v
//
// Simplifications: one owner host per failure domain, no link latency, and a swap pauses the requests
// of an engine, which then continue on the new weights.
package measure
