package forward

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/routes"
)

// Guards against log lines from which nobody can tell what the choice of a target rested on.
func TestLogLinesTellWhatTheChoiceRestedOn(t *testing.T) {
	for name, behavior := range map[string]targetBehavior{"request finished": answer, "attempt failed": abortConnection} {
		answering, _ := newForwarder(t, behavior)
		target, _ := answering.view.Target("a")
		target.Age, target.Sequence = 3*time.Second, 41
		var out bytes.Buffer
		log := slog.New(slog.NewJSONHandler(&out, nil))
		view := clusterview.NewView(log, nil)
		view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: "store-1"}, Targets: []fleet.Target{target}})
		f := newTestForwarder(view, log)
		_, _, _ = exchange(t, f, newRoute(routes.Unsafe, 2))
		line := lastLine(t, &out, name)
		age, _ := line["report_age_ms"].(float64)
		chosen, ok := line["chosen_ms"].(float64)
		if line["target"] != "a" || line["report_from"] != "store-1" || line["report_sequence"] != 41.0 || age < 3000 || age > 6000 || !ok || chosen > 1000 {
			t.Errorf("%s: %v", name, line)
		}
	}
}

// lastLine returns the last log line with a message.
func lastLine(t *testing.T, out *bytes.Buffer, message string) (found map[string]any) {
	t.Helper()
	for _, text := range bytes.Split(out.Bytes(), []byte("\n")) {
		var line map[string]any
		if json.Unmarshal(text, &line) == nil && line["msg"] == message {
			found = line
		}
	}
	return found
}
