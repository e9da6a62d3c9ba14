package domainstate

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
	"fuchsiaflow/ledger"
)

// TestMain fixes the seed, so that every run gives the same verdict. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "checks": "300", "steps": "60", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawCommand returns a valid command of any kind, with a damaged byte in some cases.
func drawCommand(t *rapid.T) []byte {
	small := rapid.Uint64Range(0, 4)
	c := ledger.Command{}
	var b []byte
	var err error
	slot := rapid.IntRange(-1, 4).Draw(t, "slot")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		c.OpenStep = &ledger.OpenStep{Tenancy: "a", Step: "s", Model: "m", StalenessBound: small.Draw(t, "bound"), DeadlineMs: 9, Groups: []ledger.Group{{Prompt: "p", Samples: 4, MaxTokens: 9}}}
	case 1:
		c.Publish = &ledger.Publish{Tenancy: "a", Model: "m", Version: small.Draw(t, "version")}
	case 2, 3:
		c.Accept = &ledger.Accept{Produced: []ledger.AttemptOutput{{Tenancy: "a", Step: "s", Slot: slot, Attempt: small.Draw(t, "attempt"), Versions: []uint64{small.Draw(t, "label")}, Holders: []string{"h"}}}}
	case 4:
		c.Fetch = &ledger.Fetch{Tenancy: "a", Step: "s", Ack: small.Draw(t, "ack"), MaxSamples: slot}
	case 5:
		c.PayloadLost = &ledger.PayloadLost{Tenancy: "a", Step: "s", Slot: slot}
	case 6:
		c.CloseStep = &ledger.CloseStep{Tenancy: "a", Step: "s", NowMs: int64(slot) * 5, Abandon: slot == 0}
	case 7:
		b, err = EncodeDesiredVersion(DesiredVersion{Model: "m", Version: small.Draw(t, "desired")})
	case 8:
		b, err = EncodeConfig(Config{Version: small.Draw(t, "config"), Digest: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "digest")})
	}
	if b == nil && err == nil {
		b, err = EncodeLedger(c)
	}
	if err != nil {
		t.Fatal(err)
	}
	return damage(t, b)
}

func damage(t *rapid.T, b []byte) []byte {
	b = bytes.Clone(b)
	if rapid.IntRange(0, 3).Draw(t, "damage") == 0 {
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
	}
	return b
}

func replicas(forget bool) func(*rapid.T) {
	return func(t *rapid.T) {
		a, errA := New(&register{})
		b, errB := New(&register{})
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		index, version, desired := uint64(0), uint64(0), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				index++
				cmd := drawCommand(t)
				if !bytes.Equal(a.Apply(index, cmd), b.Apply(index, cmd)) {
					t.Fatal("replicas answer differently")
				}
				if a.config.Version < version || a.desired["m"] < desired {
					t.Fatal("the configuration or a desired version went back")
				}
				version, desired = a.config.Version, a.desired["m"]
			},
			"restore": func(t *rapid.T) {
				snap, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if b, err = New(&register{}); err != nil {
					t.Fatal(err)
				}
				if err = b.Restore(snap); err != nil {
					t.Fatal(err)
				}
				if forget {
					b.desired = map[string]uint64{}
				}
			},
			"damaged snapshot": func(t *rapid.T) {
				snap, err := a.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				c, err := New(&register{})
				if err != nil {
					t.Fatal(err)
				}
				if c.Restore(damage(t, snap)) == nil {
					c.Apply(index+1, drawCommand(t)) // must not panic
				}
			},
		})
		snapA, errA := a.Snapshot()
		snapB, errB := b.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(snapA, snapB) {
			t.Fatal("replicas differ at the end")
		}
	}
}

// Guards against replicas that diverge after a restored snapshot or a damaged command, and
// against a panic on damaged input.
func TestReplicasAgreeProperty(t *testing.T) { rapid.Check(t, replicas(false)) }

// Guards against a comparison that cannot fail.
func TestForgottenSectionIsFound(t *testing.T) {
	if faultcheck.Failure(t, replicas(true)) == "" {
		t.Error("a section that a restore forgets was not found")
	}
}
