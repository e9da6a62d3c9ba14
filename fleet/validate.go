package fleet

import (
	"net/netip"
	"strconv"
	"time"
	"unicode/utf8"

	"fuchsiaflow/errs"
)

// Limits of what a target may report. Anything beyond comes from a faulty or foreign sender.
const (
	maxNameBytes = 256
	maxSlots     = 1 << 20
	maxWarmup    = time.Hour
)

// Validate returns errs.Invalid if the report cannot be one of a target of this system. Its names must be
// encodable, and its address must be one that a connection can be opened to.
func (t *Target) Validate() error {
	names := []struct{ path, value string }{{"$.id", t.ID}, {"$.service", t.Service}, {"$.domain", t.Domain}, {"$.release", t.Release}}
	for i, name := range names {
		required := i < 2
		if len(name.value) > maxNameBytes || !utf8.ValidString(name.value) || required && name.value == "" {
			return &errs.Invalid{Path: name.path, Want: "a name in UTF-8 of up to 256 bytes", Got: strconv.Quote(name.value[:min(len(name.value), maxNameBytes)])}
		}
	}
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return &errs.Invalid{Path: "$.address", Want: "an IP address and a port from 1 to 65535", Got: strconv.Quote(t.Address)}
	}
	if t.Slots < 0 || t.Slots > maxSlots {
		return &errs.Invalid{Path: "$.slots", Want: "0 to " + strconv.Itoa(maxSlots), Got: strconv.Itoa(t.Slots)}
	}
	if t.WarmupRemaining < 0 || t.WarmupRemaining > maxWarmup {
		return &errs.Invalid{Path: "$.warmup", Want: "0 to " + maxWarmup.String(), Got: t.WarmupRemaining.String()}
	}
	return nil
}
