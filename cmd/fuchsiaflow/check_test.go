package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/configcheck"
)

// Guards against an unintended change of the text, and against a key in it.
func TestCheckText(t *testing.T) {
	var out bytes.Buffer
	c := checkCommand{File: filepath.Join("testdata", "check-next.json"), Against: filepath.Join("testdata", "check-in-force.json"), Platform: true}
	err := c.checkPlatform(&out)
	want, readErr := os.ReadFile(filepath.Join("testdata", "check-report.txt"))
	if readErr != nil {
		t.Fatal(readErr)
	}
	if diff := cmp.Diff(string(want), out.String()); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	if err == nil || exitCode(err) != exitInvalid || strings.Contains(err.Error()+out.String(), "key-of-") {
		t.Errorf("error %v, want exit code %d and no key", err, exitInvalid)
	}
}

// Guards against wrong exit codes, against output that is not JSON where it was asked for, and against a key in either.
func TestCheckExitCodes(t *testing.T) {
	inForce, err := os.ReadFile(filepath.Join("testdata", "check-in-force.json"))
	if err != nil {
		t.Fatal(err)
	}
	warned := strings.Replace(string(inForce), `"TimeoutMs": 1500`, `"TimeoutMs": 15`, 1)
	for name, c := range map[string]struct {
		document, against string
		strict            bool
		code, errorCount  int
	}{
		"sound":                    {string(inForce), "", true, 0, 0},
		"warnings":                 {warned, "", false, 0, 0},
		"strict":                   {warned, "", true, exitInvalid, 0},
		"not above":                {warned, string(inForce), false, exitInvalid, 1},
		"repeated":                 {string(inForce), string(inForce), true, 0, 0},
		"not JSON":                 {`{"Tenants":[{"ApiKeys":[key-of-x]}]}`, "", false, exitInvalid, 1},
		"key that is a number":     {`{"Version":1,"Tenants":[{"ApiKeys":[1]}]}`, "", false, exitInvalid, 1},
		"version in force invalid": {warned, `{"Tenants":[{"ApiKeys":["key-of-x]}]}`, false, exitInvalid, -1},
	} {
		var out bytes.Buffer
		command := checkCommand{File: write(t, c.document), Platform: true, JSON: true, Strict: c.strict}
		if c.against != "" {
			command.Against = write(t, c.against)
		}
		code, message := 0, ""
		if err := command.checkPlatform(&out); err != nil {
			code, message = exitCode(err), err.Error()
		}
		var report configcheck.Report
		errorCount := -1 // no report
		if json.Unmarshal(out.Bytes(), &report) == nil {
			errorCount = report.Count(configcheck.Error)
		}
		if code != c.code || errorCount != c.errorCount || strings.Contains(message+out.String(), "key-of-") {
			t.Errorf("%s: exit code %d, %d errors; want %d, %d, and no key; %s\n%s", name, code, errorCount, c.code, c.errorCount, message, &out)
		}
	}
}

// Guards against a flag without an effect, for example --strict in a script that forgets --platform.
func TestCheckFlagsNeedPlatform(t *testing.T) {
	for _, c := range []checkCommand{{Strict: true}, {JSON: true, Settings: true}, {Against: "f", Settings: true, Platform: true}} {
		if err := c.Run(); err == nil || exitCode(err) != exitInvalid || !strings.Contains(err.Error(), c.reportFlag()) {
			t.Errorf("%+v: error %v, want one that names the flag", c, err)
		}
	}
}

// write returns the path of a new file.
func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
