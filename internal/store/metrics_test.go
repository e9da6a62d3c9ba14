package store

import (
	"os"
	"strings"
	"testing"

	"fuchsiaflow/internal/observe"
)

// Guards against metrics that operators cannot look up.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	m := observe.NewMetrics()
	openStoreWith(t, t.TempDir(), m)
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	const prefix = "fuchsiaflow_"
	seen := 0
	for _, f := range families {
		name, ours := strings.CutPrefix(f.GetName(), prefix)
		if !ours {
			continue
		}
		seen++
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("metric %s is not in docs/OPERATIONS.md", f.GetName())
		}
	}
	if seen < 10 {
		t.Errorf("only %d metrics of a store host", seen)
	}
}
