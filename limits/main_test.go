package limits

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run gives the same verdict. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
