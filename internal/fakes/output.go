// Package fakes provides test doubles of the programs around the system: engines, plain services, a
// weight store, a TCP proxy, a trainer and a desk. They communicate over HTTP on the loopback
// interface, inject failures on demand and count violations of the system's guarantees. Tests and the
// demo use them.
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

// The output length in tokens is Pareto distributed. With this exponent a few samples are far longer
// than the rest, which makes them stragglers.
const (
	minTokens   = 8
	maxTokens   = 2000
	paretoAlpha = 1.5
)

// words include characters of two and three bytes, so that code which counts offsets in bytes instead
// of characters fails.
var words = []string{"kiln", "Totonicapán", "drum", "Sololá", "→", "seam", "ሰላም", "row"}

// hash returns a hash of the parts that depends on their boundaries.
func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// outputTokens returns the tokens of an output. The first one is the request ID, so that a client
// that knows only the prompt can check the whole output.
func outputTokens(prompt, requestID string, limit uint32) []string {
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

// Output returns the output of a fake engine for a request and its number of tokens.
func Output(prompt, requestID string, limit uint32) (text string, tokens uint32) {
	t := outputTokens(prompt, requestID, limit)
	return strings.Join(t, ""), uint32(len(t))
}

// RequestIDOf returns the request ID at the start of an output of a fake engine.
func RequestIDOf(output string) string {
	id, _, _ := strings.Cut(output, " ")
	return id
}

// IsCompleteOutput reports whether output and tokens are what Output returns for prompt and limit.
func IsCompleteOutput(prompt string, limit uint32, output string, tokens uint32) bool {
	want, n := Output(prompt, RequestIDOf(output), limit)
	return output == want && tokens == n
}

// ServiceAnswer returns the answer of a fake plain service to body.
func ServiceAnswer(body json.RawMessage, requestID string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"id":%q,"digest":"%016x"}`, requestID, hash(canonicalJSON(body), requestID)))
}

// IsCorrectAnswer reports whether answer is what ServiceAnswer returns for body.
func IsCorrectAnswer(body, answer json.RawMessage) bool {
	var a struct{ ID string }
	return json.Unmarshal(answer, &a) == nil && canonicalJSON(answer) == canonicalJSON(ServiceAnswer(body, a.ID))
}

// canonicalJSON encodes a body in a canonical form, so that it can be compared with one that a proxy
// has decoded and encoded again.
func canonicalJSON(body json.RawMessage) string {
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

// VersionRecorder records which weight versions produced each token of each request, across all engines that
// share it. It is safe for concurrent use. A nil VersionRecorder records nothing and matches every label.
type VersionRecorder struct {
	mu       sync.Mutex
	versions map[string][][]uint64 // by request ID and token
}

// NewVersionRecorder returns an empty record.
func NewVersionRecorder() *VersionRecorder {
	return &VersionRecorder{versions: make(map[string][][]uint64)}
}

// record adds a version to a token. Version zero means weights of an uncertain version.
func (t *VersionRecorder) record(requestID string, token int, version uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byToken := t.versions[requestID]
	for len(byToken) <= token {
		byToken = append(byToken, nil)
	}
	if !slices.Contains(byToken[token], version) {
		byToken[token] = append(byToken[token], version)
	}
	t.versions[requestID] = byToken
}

// Matches reports whether label, the versions stated for an output, can be correct: each of the first
// tokens was produced by a version in the label, and each version in the label produced one of them.
func (t *VersionRecorder) Matches(requestID string, tokens uint32, label []uint64) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byToken := t.versions[requestID]
	if len(byToken) < int(tokens) || len(label) == 0 || slices.Contains(label, 0) {
		return false
	}
	used := make(map[uint64]bool)
	for _, versions := range byToken[:tokens] {
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
