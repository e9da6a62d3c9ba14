package joined

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/ledger"
)

// oracle tracks what actually happened and records the first violation of each guarantee.
type oracle struct {
	violations       map[string]string
	committedDigests map[uint64]string          // of committed configurations, by version
	servedVersions   map[string]uint64          // newest version in force, by host, across restarts
	usedVersions     map[string]map[uint64]bool // model versions that an engine used, by request
	executions       map[string]int             // by request
	executionsByKey  map[string]int             // by key of an unsafe request
	notRun           map[string]bool            // requests that were reported as not run
	openRequests     map[string]map[string]bool // requests accepted and not completed, by host
	ackCounts        map[string]map[int]int     // acknowledged deliveries, by step and slot
	eventCounts      map[string]int             // by event, to show that the runs cover them
}

func newOracle() oracle {
	return oracle{
		violations: make(map[string]string), committedDigests: make(map[uint64]string), servedVersions: make(map[string]uint64),
		usedVersions: make(map[string]map[uint64]bool), executions: make(map[string]int), executionsByKey: make(map[string]int),
		notRun: make(map[string]bool), openRequests: make(map[string]map[string]bool), ackCounts: make(map[string]map[int]int), eventCounts: make(map[string]int),
	}
}

func (o *oracle) recordViolation(guarantee, format string, args ...any) {
	if o.violations[guarantee] == "" {
		o.violations[guarantee] = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) recordCommitted(version uint64, digest string) {
	if previous, ok := o.committedDigests[version]; ok && previous != digest {
		o.recordViolation("P9", "version %d was committed with two digests", version)
	}
	o.committedDigests[version] = digest
}

// recordExecution records that an engine starts to execute a request.
func (o *oracle) recordExecution(request, key string) {
	base, _, _ := strings.Cut(request, ".") // each attempt of a request has its own suffix
	o.executions[base]++
	if o.usedVersions[request] == nil {
		o.usedVersions[request] = make(map[uint64]bool)
	}
	if key == "" {
		return
	}
	if o.executionsByKey[key]++; o.executionsByKey[key] > 1 {
		o.recordViolation("P6", "key %s ran %d times", key, o.executionsByKey[key])
	}
}

// checkDelivery checks the version labels and staleness of samples when the leader delivers them.
// newest is the newest published version.
func (o *oracle) checkDelivery(newest uint64, samples []ledger.SampleRef) {
	for _, s := range samples {
		o.eventCounts["delivered"]++
		if len(s.Versions) > 1 {
			o.eventCounts["mixed versions"]++
		}
		if used := slices.Sorted(maps.Keys(o.usedVersions[attemptID(s.Attempt)])); !slices.Equal(used, s.Versions) {
			o.recordViolation("P1", "attempt %x is labelled %v, the engine used %v", s.Attempt, s.Versions, used)
		}
		if oldest := slices.Min(s.Versions); newest-oldest > stalenessBound && newest > oldest {
			o.recordViolation("P2", "attempt %x of version %d is delivered after %d was published, bound %d", s.Attempt, oldest, newest, stalenessBound)
		}
	}
}

func (o *oracle) recordAcks(step string, samples []ledger.SampleRef) {
	for _, s := range samples {
		if o.ackCounts[step] == nil {
			o.ackCounts[step] = make(map[int]int)
		}
		if o.ackCounts[step][s.Slot]++; o.ackCounts[step][s.Slot] > 1 {
			o.recordViolation("P3", "slot %d of step %s is acknowledged twice", s.Slot, step)
		}
	}
}

// checkAnswer checks an answer that its caller has received.
func (o *oracle) checkAnswer(request, prompt, text string) {
	o.eventCounts["answered"]++
	if text != expectedText(prompt) {
		o.recordViolation("P4", "request %s with prompt %q is answered %q", request, prompt, text)
	}
}

// requestAccepted records that a host is responsible for a request until requestCompleted.
func (o *oracle) requestAccepted(host, request string) {
	if o.openRequests[host] == nil {
		o.openRequests[host] = make(map[string]bool)
	}
	o.openRequests[host][request] = true
}

func (o *oracle) requestCompleted(host, request string) { delete(o.openRequests[host], request) }

// checkDrained checks that a host that exits after a drain has no open requests.
func (o *oracle) checkDrained(host string) {
	o.eventCounts["drained"]++
	if n := len(o.openRequests[host]); n > 0 {
		o.recordViolation("P8", "host %s exited with %d open requests, such as %s", host, n, slices.Sorted(maps.Keys(o.openRequests[host]))[0])
	}
}

// checkDispatch checks that a request is not dispatched long after its owner learnt that the
// target leaves or is retired. If leaving is false, the target is neither.
func (o *oracle) checkDispatch(now time.Time, target string, since time.Time, leaving bool) {
	if leaving && now.Sub(since) > maxDispatchAfterLeave {
		o.recordViolation("P7", "target %s received a request %v after its departure", target, now.Sub(since))
	}
}

// checkActiveConfig checks that the configuration of a host is committed and not older than one
// that it had before.
func (o *oracle) checkActiveConfig(host string, e confstate.Entry) {
	if e.Version < o.servedVersions[host] {
		o.recordViolation("P9", "host %s reverted from version %d to %d", host, o.servedVersions[host], e.Version)
	}
	if committed := o.committedDigests[e.Version]; e.Version > 0 && committed != e.Digest {
		o.recordViolation("P9", "host %s serves version %d with another digest than the committed one", host, e.Version)
	}
	o.servedVersions[host] = max(o.servedVersions[host], e.Version)
}

// checkFinalState checks what must hold after all faults have ended and the simulation has run on.
func (sim *simulation) checkFinalState() {
	for request := range sim.notRun {
		if sim.executions[request] > 0 {
			sim.recordViolation("P5", "request %s was reported as not run and ran", request)
		}
	}
	for _, s := range sim.steps {
		for slot := range s.slots {
			if n := sim.ackCounts[s.name][slot]; n != 1 {
				sim.recordViolation("P3", "slot %d of step %s is acknowledged %d times", slot, s.name, n)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sim.hosts)) {
		if e := sim.hosts[name].activeConfig(); e.Version != sim.configStore.Current().Version {
			sim.recordViolation("P9", "host %s has version %d, the newest is %d", name, e.Version, sim.configStore.Current().Version)
		}
	}
}
