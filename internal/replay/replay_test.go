package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// minTraces is the minimum number of recorded traces, one per fault.
const minTraces = 8

func readTraces(t *testing.T) map[string][]byte {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "testdata", "traces", "*.jsonl"))
	if err != nil || len(files) < minTraces {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	out := make(map[string][]byte, len(files))
	for _, file := range files {
		if out[strings.TrimSuffix(filepath.Base(file), ".jsonl")], err = os.ReadFile(file); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func runTrace(data []byte) (*Report, error) {
	trace, err := Parse(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return Run(trace)
}

// Guards against a core that handles a recorded fault in another way than its trace states, and
// against a core or deployment that no trace covers.
func TestRecordedTraces(t *testing.T) {
	covered := map[string]bool{}
	for name, data := range readTraces(t) {
		report, err := runTrace(data)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if report.Name != name {
			t.Errorf("file %s holds trace %s", name, report.Name)
		}
		covered[report.Core], covered[report.Deployment] = true, true
	}
	for _, want := range []string{"ledger", "claims", "config", "targets", "weights", "drumworks", "caal-ixcoy"} {
		if !covered[want] {
			t.Errorf("no trace covers %s", want)
		}
	}
}

// Guards against a replay that misses differences: each deliberately wrong outcome must be reported.
func TestWrongOutcomeIsReported(t *testing.T) {
	data := string(readTraces(t)["drumworks-late-duplicate-attempt"])
	for name, c := range map[string]struct{ old, new, want string }{
		"verdict":        {`"duplicate", "accepted", "duplicate"`, `"accepted", "accepted", "duplicate"`, `stated "accepted", got "duplicate"`},
		"count":          {`"delivered": 2`, `"delivered": 3`, "count delivered: stated 3, got 2"},
		"unstated count": {`"cancelled": 1, `, ``, "count cancelled: stated 0, got 1"},
		"reference":      {`"accept": {"attempt": "b2"`, `"accept": {"attempt": "b3"`, `got "attempt \"b3\" does not exist"`},
		"too many":       {`"verdicts": [`, `"verdicts": ["extra", `, "13 verdicts are stated for 12 events"},
	} {
		report, err := runTrace([]byte(strings.Replace(data, c.old, c.new, 1)))
		var mismatch *Mismatch
		if !errors.As(err, &mismatch) || !strings.Contains(err.Error(), c.want) || report == nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against the acceptance of malformed or ambiguous traces.
func TestMalformedTraces(t *testing.T) {
	const header = `{"name":"n","deployment":"d","core":"claims","outcome":{"verdicts":["x"],"counts":{}}}` + "\n"
	for _, c := range []struct{ text, want string }{
		{``, "line 0, $: want a header"},
		{header, "line 1, $: want a header and at least one event"},
		{strings.Replace(header, "claims", "claim", 1), "line 1, $.core"},
		{strings.Replace(header, `"name"`, `"title"`, 1), `unknown field "title"`},
		{strings.Replace(header, `"d",`, `"d","deployment":"e",`, 1), `field "deployment" is repeated`},
		{header + `{"at_ms":0,"begin":{"keys":"k"}}`, `line 2, $.begin: json: unknown field "keys"`},
		{header + `{"at_ms":0,"begin":{"key":"k","key":"l"}}`, `field "key" is repeated`},
		{header + `{"at_ms":0,"publish":{}}`, "line 2, $.publish: want one of begin, expire"},
		{header + `{"at_ms":0,"expire":{},"restore":{}}`, "want at_ms and one event"},
		{header + `{"expire":{}}`, "$.at_ms: want a value"},
		{header + `{"at_ms":null,"expire":{}}`, "$.at_ms: want 0 or more"},
		{header + `{"at_ms":5,"expire":{}}` + "\n" + `{"at_ms":4,"expire":{}}`, "line 3, $.at_ms: want 5 or more"},
		{header + `{"at_ms":0,"expire":{}} {}`, "line 2, $: want one JSON value"},
	} {
		_, err := runTrace([]byte(c.text))
		var malformed *Malformed
		if !errors.As(err, &malformed) || errs.CodeOf(err) != errs.CodeInvalid || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.text, err, c.want)
		}
	}
	if _, err := runTrace([]byte(strings.Repeat("x", MaxLineBytes+1))); errs.CodeOf(err) != errs.CodeTooLarge {
		t.Errorf("long line: %v", err)
	}
}
