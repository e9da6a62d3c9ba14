package host

import (
	"sync"

	"fuchsiaflow/errs"
)

// payloadStore holds sample payloads in memory by digest. It is bounded in bytes and
// refuses new payloads when full: dropping an accepted one would lose a sample.
type payloadStore struct {
	limit int

	mu   sync.Mutex
	used int
	data map[string][]byte
}

func newPayloadStore(limit int) *payloadStore {
	return &payloadStore{limit: limit, data: make(map[string][]byte)}
}

// Put stores a payload. Storing the same digest again has no effect.
func (s *payloadStore) Put(digest string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.data[digest]; ok {
		return nil
	}
	if s.used+len(data) > s.limit {
		return &errs.Overloaded{Resource: "payload store"}
	}
	s.data[digest] = data
	s.used += len(data)
	return nil
}

// Get returns a payload.
func (s *payloadStore) Get(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.data[digest]
	return data, ok
}

// Drop releases payloads.
func (s *payloadStore) Drop(digests []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range digests {
		s.used -= len(s.data[digest])
		delete(s.data, digest)
	}
}

// Size returns the number of payloads and their bytes.
func (s *payloadStore) Size() (count, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data), s.used
}
