// Package fakes has small stand-ins for the programs around the system: engines, plain
// services, a weight store, a network proxy, a trainer and a desk. They speak HTTP on loopback, inject failures on demand,
// and tally what the system's guarantees forbid. They serve tests and the demo.
package fakes

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// The output length in tokens is Pareto distributed. With this exponent a few samples run
// far longer than the rest, which is what makes stragglers.
const (
	minTokens   = 8
	maxTokens   = 2000
	paretoAlpha = 1.5
)

// words include characters of two and three bytes, so that offsets in bytes would fail.
var words = []string{"kiln", "Totonicapán", "drum", "Sololá", "→", "seam", "ሰላም", "row"}

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// tokensOf returns the tokens of an output. The first one names the request, so that a
// reader who knows only the prompt can check the whole output.
func tokensOf(prompt, requestID string, limit uint32) []string {
	h := hash(prompt, requestID)
	uniform := (float64(h>>11) + 1) / (1 << 53)
	n := min(int(minTokens*math.Pow(uniform, -1/paretoAlpha)), maxTokens, int(limit))
	tokens := make([]string, max(n, 1))
	tokens[0] = requestID + " "
	for i := 1; i < len(tokens); i++ {
		h = h*6364136223846793005 + 1442695040888963407 // PCG multiplier and increment
		tokens[i] = words[h>>61] + " "
	}
	return tokens
}

// Output returns the output of a fake engine and its number of tokens.
func Output(prompt, requestID string, limit uint32) (text string, tokens uint32) {
	t := tokensOf(prompt, requestID, limit)
	return strings.Join(t, ""), uint32(len(t))
}

// RequestOf returns the request id that an output of a fake engine names.
func RequestOf(output string) string {
	id, _, _ := strings.Cut(output, " ")
	return id
}

// Whole reports whether output is the whole output for prompt.
func Whole(prompt string, limit uint32, output string, tokens uint32) bool {
	want, n := Output(prompt, RequestOf(output), limit)
	return output == want && tokens == n
}

// Answer returns the answer of a fake plain service.
func Answer(body json.RawMessage, requestID string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"id":%q,"digest":"%016x"}`, requestID, hash(canonical(body), requestID)))
}

// WholeAnswer reports whether answer is the answer of a fake plain service to body.
func WholeAnswer(body, answer json.RawMessage) bool {
	var a struct{ ID string }
	return json.Unmarshal(answer, &a) == nil && canonical(answer) == canonical(Answer(body, a.ID))
}

// canonical makes bodies comparable that a proxy has encoded again.
func canonical(body json.RawMessage) string {
	var v any
	if json.Unmarshal(body, &v) != nil {
		return string(body)
	}
	out, err := json.Marshal(v)
	if err != nil {
		return string(body)
	}
	return string(out)
}

// Truth records which weight versions produced each token of each request, over all
// engines that share it. It is safe for concurrent use; a nil Truth records nothing.
type Truth struct {
	mu       sync.Mutex
	produced map[string][][]uint64
}

// NewTruth returns an empty record.
func NewTruth() *Truth { return &Truth{produced: make(map[string][][]uint64)} }

// produce records a token. Version zero stands for weights of an uncertain version.
func (t *Truth) produce(requestID string, token int, version uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := t.produced[requestID]
	for len(tokens) <= token {
		tokens = append(tokens, nil)
	}
	if !slices.Contains(tokens[token], version) {
		tokens[token] = append(tokens[token], version)
	}
	t.produced[requestID] = tokens
}

// Matches reports whether a label can be true: every token was produced by a version of
// the label, and every version of the label produced a token.
func (t *Truth) Matches(requestID string, tokens uint32, label []uint64) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	produced := t.produced[requestID]
	if len(produced) < int(tokens) || len(label) == 0 || slices.Contains(label, 0) {
		return false
	}
	used := make(map[uint64]bool)
	for _, versions := range produced[:tokens] {
		found := false
		for _, v := range versions {
			used[v] = true
			found = found || slices.Contains(label, v)
		}
		if !found {
			return false
		}
	}
	return !slices.ContainsFunc(label, func(v uint64) bool { return !used[v] })
}
