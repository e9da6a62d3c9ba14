package ledger_test

import (
	"fmt"

	"fuchsiaflow/ledger"
)

func Example() {
	l := ledger.New()
	l.Apply(ledger.Command{Publish: &ledger.Publish{Tenancy: "kolfe", Model: "sorter", Version: 7}})
	l.Apply(ledger.Command{OpenStep: &ledger.OpenStep{
		Tenancy: "kolfe", Step: "monday-1", Model: "sorter", StalenessBound: 1, DeadlineMs: 1_700_000_000_000,
		Groups: []ledger.Group{{Prompt: "sort: kebero, masenqo", Samples: 2, MaxTokens: 64}},
	}})
	l.Apply(ledger.Command{Accept: &ledger.Accept{Produced: []ledger.AttemptOutput{
		{Tenancy: "kolfe", Step: "monday-1", Slot: 0, Attempt: 1, Versions: []uint64{7}, Tokens: 31, Holders: []string{"host-1", "host-2"}},
	}}})
	b := l.Apply(ledger.Command{Fetch: &ledger.Fetch{Tenancy: "kolfe", Step: "monday-1"}}).Batch
	fmt.Println("batch", b.Number, "samples", len(b.Samples), "versions", b.Samples[0].Versions, "missing", b.Missing)
	b = l.Apply(ledger.Command{Fetch: &ledger.Fetch{Tenancy: "kolfe", Step: "monday-1", Ack: b.Number}}).Batch
	fmt.Println("next", len(b.Samples), "complete", b.Complete)
	// Output:
	// batch 1 samples 1 versions [7] missing [1]
	// next 0 complete false
}
