// Package measure compares routing policies in simulated time.
//
// One seed gives one run of all policies over the same arrivals, output lengths and failures.
// The engines, trainers and desks are small fakes; the policy under test drives the real
// routing.Dispatcher and routing.PickHost. The baselines choose a target when a request
// arrives and leave the queueing to the engine, with the same retries, staleness checks and
// queue bounds.
//
// The scheduler of sample slots and the planner of weight swaps are behind interfaces, so that
// the ones of packages ledger and weights can replace the simple ones here.
//
// The defaults of routing.Config that set the balance between desks and trainers were chosen
// on seeds 1 and 2, so only other seeds are independent evidence. The whole measurement runs
// with FUCHSIAFLOW_MEASURE=<seed> go test ./internal/measure -run Full -v.
//
// Simplifications: one owner host per failure domain, no link latency, and a swap pauses an
// engine's requests, which then continue on the new weights.
package measure
