package host

import (
	"sync"
	"time"

	"fuchsiaflow/errs"
)

// payloadStore holds sample payloads in memory by digest, up to maxBytes. When full, it refuses new
// payloads, because evicting an accepted one would lose a sample.
type payloadStore struct {
	maxBytes int

	mu        sync.Mutex
	usedBytes int
	payloads  map[string]storedPayload
}

type storedPayload struct {
	data     []byte
	storedAt time.Time
}

func newPayloadStore(limit int) *payloadStore {
	return &payloadStore{maxBytes: limit, payloads: make(map[string]storedPayload)}
}

// Put stores a payload. It has no effect if the digest is already stored, and fails with
// errs.Overloaded if the store is full.
func (s *payloadStore) Put(digest string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.payloads[digest]; ok {
		return nil
	}
	if s.usedBytes+len(data) > s.maxBytes {
		return &errs.Overloaded{Resource: "payload store"}
	}
	s.payloads[digest] = storedPayload{data: data, storedAt: time.Now()}
	s.usedBytes += len(data)
	return nil
}

// Get returns a payload.
func (s *payloadStore) Get(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.payloads[digest]
	return p.data, ok
}

// Drop removes payloads. Unknown digests are ignored.
func (s *payloadStore) Drop(digests []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range digests {
		s.usedBytes -= len(s.payloads[digest].data)
		delete(s.payloads, digest)
	}
}

// DropUnneeded removes the payloads that are at least as old as age and not in needed, and returns
// their number.
func (s *payloadStore) DropUnneeded(now time.Time, age time.Duration, needed map[string]bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := 0
	for digest, p := range s.payloads {
		if now.Sub(p.storedAt) >= age && !needed[digest] {
			s.usedBytes -= len(p.data)
			delete(s.payloads, digest)
			dropped++
		}
	}
	return dropped
}

// Size returns the number of payloads and their total size in bytes.
func (s *payloadStore) Size() (count, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.payloads), s.usedBytes
}
