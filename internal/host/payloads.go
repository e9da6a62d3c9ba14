package host

import (
	"sync"
	"time"

	"fuchsiaflow/errs"
)

// payloadStore holds sample payloads in memory by digest. It is bounded in bytes and
// refuses new payloads when full: dropping an accepted one would lose a sample.
type payloadStore struct {
	limit int

	mu   sync.Mutex
	used int
	data map[string]storedPayload
}

type storedPayload struct {
	data []byte
	at   time.Time
}

func newPayloadStore(limit int) *payloadStore {
	return &payloadStore{limit: limit, data: make(map[string]storedPayload)}
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
	s.data[digest] = storedPayload{data: data, at: time.Now()}
	s.used += len(data)
	return nil
}

// Get returns a payload.
func (s *payloadStore) Get(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.data[digest]
	return p.data, ok
}

// Drop releases payloads.
func (s *payloadStore) Drop(digests []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range digests {
		s.used -= len(s.data[digest].data)
		delete(s.data, digest)
	}
}

// DropUnneeded releases the payloads that are older than age and not in needed.
func (s *payloadStore) DropUnneeded(now time.Time, age time.Duration, needed map[string]bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := 0
	for digest, p := range s.data {
		if now.Sub(p.at) >= age && !needed[digest] {
			s.used -= len(p.data)
			delete(s.data, digest)
			dropped++
		}
	}
	return dropped
}

// Size returns the number of payloads and their bytes.
func (s *payloadStore) Size() (count, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data), s.used
}
