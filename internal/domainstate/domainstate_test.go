package domainstate

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
)

// register is a section whose state is the last command.
type register struct{ value []byte }

func (r *register) Name() string { return "register" }
func (r *register) Apply(_ uint64, cmd []byte) ([]byte, error) {
	if len(cmd) == 0 {
		return nil, &errs.Interrupted{Operation: "register", Reason: "empty command"}
	}
	r.value = cmd
	return cmd, nil
}
func (r *register) Snapshot() ([]byte, error)    { return r.value, nil }
func (r *register) Restore(b []byte) error       { r.value = b; return nil }
func (r *register) Query([]byte) ([]byte, error) { return r.value, nil }

// must returns a function that unwraps a result and fails the test on an error.
func must[T any](t testing.TB) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Guards against an older configuration or desired version replacing a newer one (P9).
func TestVersionsNeverDecrease(t *testing.T) {
	s := must[*State](t)(New())
	enc, dec := must[[]byte](t), must[ConfigResult](t)
	cfg := Config{Version: 3, Digest: "d3", Body: []byte("b"), Index: 70}
	if r := dec(DecodeConfigResult(s.Apply(1, enc(EncodeConfig(cfg))))); !r.Changed {
		t.Error("version 3 was not accepted")
	}
	if r := dec(DecodeConfigResult(s.Apply(2, enc(EncodeConfig(Config{Version: 2, Digest: "d2"}))))); r.Changed || r.Config.Version != 3 {
		t.Errorf("result of an older configuration: %+v", r)
	}
	_, err := DecodeConfigResult(s.Apply(3, enc(EncodeConfig(Config{Version: 3, Digest: "dx"}))))
	if errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("different digest for the same version: %v", err)
	}
	got := must[Config](t)(DecodeConfig(s.Query(enc(EncodeConfigQuery(0)))))
	if got.Digest != "d3" || got.Index != 70 || string(got.Body) != "b" {
		t.Errorf("configuration = %+v", got)
	}
	s.Apply(4, enc(EncodeDesiredVersion(DesiredVersion{Model: "m", Version: 9})))
	s.Apply(5, enc(EncodeDesiredVersion(DesiredVersion{Model: "m", Version: 8})))
	if m := must[map[string]uint64](t)(DecodeDesiredVersions(s.Query(enc(EncodeDesiredQuery())))); m["m"] != 9 {
		t.Errorf("desired = %v, want 9", m)
	}
}

// Guards against an encoding that loses the code, outcome, message or details of a failure, or the
// result that is returned together with a failure.
func TestRepliesPreserveFailures(t *testing.T) {
	s := must[*State](t)(New(&register{}))
	enc := must[[]byte](t)
	for name, cmd := range map[string][]byte{
		string(errs.CodeInterrupted): enc(Encode("register", nil)),
		string(errs.CodeNotFound):    enc(Encode("claims", nil)),
		string(errs.CodeCorrupt):     []byte{0xff},
		string(errs.CodeInvalid):     enc(EncodeLedger(ledger.Command{})),
	} {
		r := must[Reply](t)(DecodeReply(s.Apply(1, cmd)))
		if errs.CodeOf(r.Err()) != errs.Code(name) || r.Err().Error() == "" {
			t.Errorf("code = %s, want %s", errs.CodeOf(r.Err()), name)
		}
	}
	r := must[Reply](t)(DecodeReply(s.Apply(1, enc(Encode("register", nil)))))
	if errs.OutcomeOf(r.Err()) != errs.Unknown {
		t.Errorf("outcome = %s, want unknown", errs.OutcomeOf(r.Err()))
	}
	step := ledger.OpenStep{Tenancy: "a", Step: "s", Model: "m", DeadlineMs: 1, Groups: []ledger.Group{{Samples: 1, MaxTokens: 1}}}
	s.Apply(2, enc(EncodeLedger(ledger.Command{OpenStep: &step})))
	fetch := ledger.Fetch{Tenancy: "a", Step: "s", Ack: 4, TrainerVersion: 7}
	result := must[ledger.Result](t)(DecodeLedgerResult(s.Apply(3, enc(EncodeLedger(ledger.Command{Fetch: &fetch})))))
	var remote *errs.Remote
	if !errors.As(result.Failure, &remote) || remote.Details["acknowledged"] != "0" || result.NewestVersion != 7 {
		t.Errorf("result = %+v", result)
	}
}

// Guards against a snapshot that omits a section.
func TestSnapshotCoversAllSections(t *testing.T) {
	original := must[*State](t)(New(&register{}))
	enc := must[[]byte](t)
	step := ledger.OpenStep{Tenancy: "a", Step: "s", Model: "m", DeadlineMs: 1, Groups: []ledger.Group{{Samples: 1, MaxTokens: 1}}}
	original.Apply(1, enc(EncodeLedger(ledger.Command{OpenStep: &step})))
	original.Apply(2, enc(EncodeConfig(Config{Version: 1, Digest: "d", Body: []byte("x")})))
	original.Apply(3, enc(EncodeDesiredVersion(DesiredVersion{Model: "m", Version: 2})))
	original.Apply(4, enc(Encode("register", []byte("r"))))
	snap := must[[]byte](t)(original.Snapshot())
	restored := must[*State](t)(New(&register{value: []byte("old")}))
	if err := restored.Restore(snap); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snap, must[[]byte](t)(restored.Snapshot())) {
		t.Error("the snapshot of the restored state differs")
	}
	steps := must[[]ledger.StepStatus](t)(DecodeSteps(restored.Query(enc(EncodeLedgerQuery(LedgerQuery{Tenancy: "a"})))))
	if len(steps) != 1 || steps[0].Step != "s" {
		t.Errorf("steps = %+v", steps)
	}
	if r := must[Reply](t)(DecodeReply(restored.Query(enc(Encode("register", nil))))); string(r.Body) != "r" {
		t.Errorf("section returned %q", r.Body)
	}
	withoutSection := must[*State](t)(New())
	if err := withoutSection.Restore(snap); errs.CodeOf(err) != errs.CodeNotFound {
		t.Errorf("restore without the section: %v", err)
	}
}
