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

// oracle knows what truly happened and records the first violation of each guarantee.
type oracle struct {
	red      map[string]string
	digests  map[uint64]string          // committed configurations
	served   map[string]uint64          // newest version in force by host, across restarts
	versions map[string]map[uint64]bool // versions that an engine used, by request
	runs     map[string]int             // executions by request
	keyRuns  map[string]int             // executions by key of an unsafe request
	notRun   map[string]bool            // requests reported as not_run
	open     map[string]map[string]bool // accepted and not answered, by host
	acked    map[string]map[int]int     // acknowledged deliveries by step and slot
	seen     map[string]int             // events, to show that the runs reach them
}

func newOracle() oracle {
	return oracle{
		red: make(map[string]string), digests: make(map[uint64]string), served: make(map[string]uint64),
		versions: make(map[string]map[uint64]bool), runs: make(map[string]int), keyRuns: make(map[string]int),
		notRun: make(map[string]bool), open: make(map[string]map[string]bool), acked: make(map[string]map[int]int), seen: make(map[string]int),
	}
}

func (o *oracle) violated(guarantee, format string, args ...any) {
	if o.red[guarantee] == "" {
		o.red[guarantee] = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) committed(version uint64, digest string) {
	if have, ok := o.digests[version]; ok && have != digest {
		o.violated("P9", "version %d was committed with two digests", version)
	}
	o.digests[version] = digest
}

// executed records that an engine starts a request.
func (o *oracle) executed(request, key string) {
	base, _, _ := strings.Cut(request, ".") // the attempts of a request have a suffix each
	o.runs[base]++
	if o.versions[request] == nil {
		o.versions[request] = make(map[uint64]bool)
	}
	if key == "" {
		return
	}
	if o.keyRuns[key]++; o.keyRuns[key] > 1 {
		o.violated("P6", "key %s ran %d times", key, o.keyRuns[key])
	}
}

// checkDelivery checks samples at the moment at which their delivery is decided.
func (o *oracle) checkDelivery(newest uint64, samples []ledger.SampleRef) {
	for _, s := range samples {
		o.seen["delivered"]++
		if len(s.Versions) > 1 {
			o.seen["mixed versions"]++
		}
		if truth := slices.Sorted(maps.Keys(o.versions[attemptID(s.Attempt)])); !slices.Equal(truth, s.Versions) {
			o.violated("P1", "attempt %x is labelled %v, the engine used %v", s.Attempt, s.Versions, truth)
		}
		if oldest := slices.Min(s.Versions); newest-oldest > bound && newest > oldest {
			o.violated("P2", "attempt %x of version %d is delivered after %d was published, bound %d", s.Attempt, oldest, newest, bound)
		}
	}
}

func (o *oracle) acknowledged(step string, samples []ledger.SampleRef) {
	for _, s := range samples {
		if o.acked[step] == nil {
			o.acked[step] = make(map[int]int)
		}
		if o.acked[step][s.Slot]++; o.acked[step][s.Slot] > 1 {
			o.violated("P3", "slot %d of step %s is acknowledged twice", s.Slot, step)
		}
	}
}

// answered checks an answer that reached its caller.
func (o *oracle) answered(request, prompt, text string) {
	o.seen["answered"]++
	if text != expected(prompt) {
		o.violated("P4", "request %s with prompt %q is answered %q", request, prompt, text)
	}
}

// accepted and settled bound the time in which a host has a request.
func (o *oracle) accepted(host, request string) {
	if o.open[host] == nil {
		o.open[host] = make(map[string]bool)
	}
	o.open[host][request] = true
}

func (o *oracle) settled(host, request string) { delete(o.open[host], request) }

// stopped checks that a host that stops by itself has no request left.
func (o *oracle) stopped(host string) {
	o.seen["drained"]++
	if n := len(o.open[host]); n > 0 {
		o.violated("P8", "host %s stopped with %d requests, such as %s", host, n, slices.Sorted(maps.Keys(o.open[host]))[0])
	}
}

// dispatched checks the time since the departure of the target reached its owner.
func (o *oracle) dispatched(now time.Time, target string, departed time.Time, known bool) {
	if known && now.Sub(departed) > departureBound {
		o.violated("P7", "target %s received a request %v after its departure", target, now.Sub(departed))
	}
}

// inForce checks the configuration that a host serves.
func (o *oracle) inForce(host string, e confstate.Entry) {
	if e.Version < o.served[host] {
		o.violated("P9", "host %s went back from version %d to %d", host, o.served[host], e.Version)
	}
	if have := o.digests[e.Version]; e.Version > 0 && have != e.Digest {
		o.violated("P9", "host %s serves version %d with another digest than the committed one", host, e.Version)
	}
	o.served[host] = max(o.served[host], e.Version)
}

// finish checks what must hold after all faults have ended.
func (w *world) finish() {
	for request := range w.notRun {
		if w.runs[request] > 0 {
			w.violated("P5", "request %s was reported as not run and ran", request)
		}
	}
	for _, s := range w.steps {
		for slot := range s.slots {
			if n := w.acked[s.name][slot]; n != 1 {
				w.violated("P3", "slot %d of step %s is acknowledged %d times", slot, s.name, n)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		if e := w.hosts[name].active(); e.Version != w.store.Current().Version {
			w.violated("P9", "host %s has version %d, the newest is %d", name, e.Version, w.store.Current().Version)
		}
	}
}
