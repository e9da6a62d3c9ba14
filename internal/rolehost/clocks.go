package rolehost

import (
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/usage"
)

// ReadClocks reads the clocks from which package usage derives true time.
func ReadClocks() usage.Reading {
	return usage.Reading{Wall: time.Now().Round(0), Steady: bootclock.Now()}
}
