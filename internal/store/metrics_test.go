package store

import (
	"os"
	"strings"
	"testing"

	"fuchsiaflow/internal/observe"
)

// Guards against metrics that the operations manual does not describe.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	m := observe.NewMetrics()
	openReplicaIDWith(t, t.TempDir(), m)
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	const prefix = "fuchsiaflow_"
	count := 0
	for _, f := range families {
		name, ours := strings.CutPrefix(f.GetName(), prefix)
		if !ours {
			continue
		}
		count++
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("metric %s is not in docs/OPERATIONS.md", f.GetName())
		}
	}
	if count < 10 {
		t.Errorf("a store host registers only %d metrics", count)
	}
}
