package domainstate

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
)

// register is a section that keeps the last command.
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

func must[T any](t testing.TB) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Guards against a configuration or a desired version that goes back to an older one (P9).
func TestMonotoneMaximum(t *testing.T) {
	s := must[*State](t)(New())
	enc, dec := must[[]byte](t), must[ConfigResult](t)
	cfg := Config{Version: 3, Digest: "d3", Body: []byte("b"), Index: 70}
	if r := dec(DecodeConfigResult(s.Apply(1, enc(EncodeConfig(cfg))))); !r.Changed {
		t.Error("version 3 was not taken")
	}
	if r := dec(DecodeConfigResult(s.Apply(2, enc(EncodeConfig(Config{Version: 2, Digest: "d2"}))))); r.Changed || r.Config.Version != 3 {
		t.Errorf("older configuration: %+v", r)
	}
	_, err := DecodeConfigResult(s.Apply(3, enc(EncodeConfig(Config{Version: 3, Digest: "dx"}))))
	if errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("other digest under the same version: %v", err)
	}
	got := must[Config](t)(DecodeConfig(s.Query(enc(EncodeConfigQuery(0)))))
	if got.Digest != "d3" || got.Index != 70 || string(got.Body) != "b" {
		t.Errorf("configuration = %+v", got)
	}
	s.Apply(4, enc(EncodeDesiredVersion(DesiredVersion{Model: "m", Version: 9})))
	s.Apply(5, enc(EncodeDesiredVersion(DesiredVersion{Model: "m", Version: 8})))
	if m := must[map[string]uint64](t)(DecodeDesired(s.Query(enc(EncodeDesiredQuery())))); m["m"] != 9 {
		t.Errorf("desired = %v, want 9", m)
	}
}

// Guards against a failure that loses its code, outcome, message or details on the way to
// the proposer, and against a result that is lost next to a failure.
func TestFailuresCrossTheEncoding(t *testing.T) {
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
	res := must[ledger.Result](t)(DecodeLedgerResult(s.Apply(3, enc(EncodeLedger(ledger.Command{Fetch: &fetch})))))
	var remote *errs.Remote
	if !errors.As(res.Failure, &remote) || remote.Details["acknowledged"] != "0" || res.NewestVersion != 7 {
		t.Errorf("result = %+v", res)
	}
}

// Guards against a section that a snapshot leaves out.
func TestSnapshotCoversAllSections(t *testing.T) {
	a := must[*State](t)(New(&register{}))
	enc := must[[]byte](t)
	step := ledger.OpenStep{Tenancy: "a", Step: "s", Model: "m", DeadlineMs: 1, Groups: []ledger.Group{{Samples: 1, MaxTokens: 1}}}
	a.Apply(1, enc(EncodeLedger(ledger.Command{OpenStep: &step})))
	a.Apply(2, enc(EncodeConfig(Config{Version: 1, Digest: "d", Body: []byte("x")})))
	a.Apply(3, enc(EncodeDesiredVersion(DesiredVersion{Model: "m", Version: 2})))
	a.Apply(4, enc(Encode("register", []byte("r"))))
	snap := must[[]byte](t)(a.Snapshot())
	b := must[*State](t)(New(&register{value: []byte("old")}))
	if err := b.Restore(snap); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snap, must[[]byte](t)(b.Snapshot())) {
		t.Error("restored state has another snapshot")
	}
	steps := must[[]ledger.StepStatus](t)(DecodeSteps(b.Query(enc(EncodeLedgerQuery(LedgerQuery{Tenancy: "a"})))))
	if len(steps) != 1 || steps[0].Step != "s" {
		t.Errorf("steps = %+v", steps)
	}
	if r := must[Reply](t)(DecodeReply(b.Query(enc(Encode("register", nil))))); string(r.Body) != "r" {
		t.Errorf("section answers %q", r.Body)
	}
	bare := must[*State](t)(New())
	if err := bare.Restore(snap); errs.CodeOf(err) != errs.CodeNotFound {
		t.Errorf("restore without the section: %v", err)
	}
}
