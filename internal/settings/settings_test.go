package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

const validDocument = `{
 "host":"e1","failure_domain":"Sololá","http":"0.0.0.0:8080","peer":"127.0.0.1:7070","data_dir":"/d",
 "operator_token":"op-secret","cluster_token":"cl-secret",
 "hosts":[{"host":"e2","failure_domain":"Yeka","peer":"127.0.0.2:7070","http":"127.0.0.2:8080"}],
 "groups":{"control":["e1","e2"],"domains":{"Sololá":["e1"],"Yeka":["e2"]}},
 "timing":{"heartbeat":20}}`

// Guards against missing defaults and against defaults that override explicit values.
func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	if s.Timing.Heartbeat != 20*time.Millisecond || s.Timing.TargetLease != 3*time.Second {
		t.Errorf("timing = %+v", s.Timing)
	}
	if s.Trace.Exporter != ExporterNone || s.Log.Level != slog.LevelInfo || !s.IsControlVoter() || !s.IsDomainVoter() {
		t.Errorf("settings = %+v", s)
	}
}

// Guards against accepting an invalid document, and against errors that lack the path of the
// invalid value or the accepted values.
func TestParseRejectsInvalidDocuments(t *testing.T) {
	for _, c := range []struct{ old, new, path, want string }{
		{`"data_dir"`, `"datadir"`, "$.datadir", "data_dir"},
		{`"host":"e1",`, ``, "$.host", "name"},
		{`"host":"e1"`, `"host":7`, "$.host", "name"},
		{`"host":"e1"`, `"host":"e1","host":"e3"`, "$.host", "once"},
		{`"heartbeat":20`, `"heartbeat":"20"`, "$.timing.heartbeat", "10 to 10000"},
		{`"heartbeat":20`, `"heartbeat":9`, "$.timing.heartbeat", "10 to 10000"},
		{`"heartbeat":20`, `"heartbeat":2.5`, "$.timing.heartbeat", "whole number"},
		{`"heartbeat":20`, `"election":200`, "$.timing.election", "300"},
		{`"heartbeat":20`, `"hearbeat":20`, "$.timing.hearbeat", "heartbeat"},
		{`127.0.0.2:7070`, `localhost:7070`, "$.hosts[0].peer", "IP:port"},
		{`127.0.0.1:7070`, `127.0.0.1`, "$.peer", "IP:port"},
		{`127.0.0.1:7070`, `127.0.0.1:0`, "$.peer", "IP:port"},
		{`127.0.0.1:7070`, `0.0.0.0:7070`, "$.peer", "reach"},
		{`"heartbeat":20}`, `"heartbeat":20},"bootstrap":true,"join":true`, "$.join", "bootstrap"},
		{`"data_dir":"/d",`, `"data_dir":"/d","join":1,`, "$.join", "true or false"},
		{`"control":["e1","e2"]`, `"control":["e1","e9"]`, "$.groups.control[1]", "$.hosts"},
		{`"control":["e1","e2"]`, `"control":[]`, "$.groups.control", "at least one"},
		{`"Yeka":["e2"]`, `"Yeka":["e1"]`, "$.groups.domains.Yeka[0]", "Yeka"},
		{`"Yeka":["e2"]`, `"Ye ka":["e2"]`, "$.groups.domains.Ye ka", "name"},
		{`"data_dir":"/d",`, ``, "$.data_dir", "voter"},
		{`"operator_token":"op-secret"`, `"operator_token":["op-secret"]`, "$.operator_token", "token"},
		{`"timing"`, `"trace":{"exporter":"otlp"},"timing"`, "$.trace.endpoint", "IP:port"},
		{`"timing"`, `"log":{"level":"loud"},"timing"`, "$.log.level", "debug, info, warn, error"},
		{`{"heartbeat":20}}`, `{"heartbeat":20}} x`, "$", "one JSON document"},
		{`"heartbeat":20`, `"heartbeat":`, "$.timing.heartbeat", "valid JSON"},
	} {
		doc := strings.Replace(validDocument, c.old, c.new, 1)
		if doc == validDocument {
			t.Fatalf("replacement %q did not apply", c.old)
		}
		_, err := Parse([]byte(doc))
		var e *errs.Invalid
		if !errors.As(err, &e) {
			t.Errorf("%s -> %s: err = %v", c.old, c.new, err)
			continue
		}
		if e.Path != c.path || !strings.Contains(e.Want, c.want) {
			t.Errorf("%s -> %s: path %s, want %q", c.old, c.new, e.Path, e.Want)
		}
		if strings.Contains(err.Error(), "op-secret") || strings.Contains(err.Error(), "cl-secret") {
			t.Errorf("error shows a token: %v", err)
		}
	}
}

// Guards against tokens in logs, formatted output and encoded settings.
func TestSecretsAreNotPrinted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(validDocument), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	log.Info("settings", "pointer", s, "value", *s, "token", s.ClusterToken)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		fmt.Fprintf(&out, verb+verb+verb, s, *s, s.OperatorToken)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	out.Write(encoded)
	for _, secret := range []string{"op-secret", "cl-secret", fmt.Sprintf("%x", "op-secret")} {
		if strings.Contains(out.String(), secret) {
			t.Errorf("output shows %q: %s", secret, out.String())
		}
	}
	if s.ClusterToken.Reveal() != "cl-secret" {
		t.Error("Reveal does not return the token")
	}
}

// Guards against an example file that is no longer valid.
func TestExampleFileIsValid(t *testing.T) {
	s, err := Load(filepath.Join("..", "..", "examples", "settings-kolfe-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Host != "kolfe-1" || len(s.Hosts) != 13 || !s.IsControlVoter() || !s.IsDomainVoter() || !s.Bootstrap {
		t.Errorf("settings = %v", s)
	}
}
