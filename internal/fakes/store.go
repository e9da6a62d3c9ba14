package fakes

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
)

// storeParts is in how many parts the weights of a version are sent.
const storeParts = 16

// StoreOptions configures a Store.
type StoreOptions struct {
	Size      int // bytes of the weights of one version
	Rate      int // bytes per second over all downloads; zero means no limit
	MaxActive int // downloads at the same time, above which it refuses; zero means no limit
}

// StoreTally counts what a store served.
type StoreTally struct {
	Downloads int // complete
	Refused   int
	Active    int // under way
	Peak      int // most downloads at the same time
}

// Store is a fake weight store with a limited rate: GET /v1/weights/{model}/{version}.
type Store struct {
	*target

	state sync.Mutex
	so    StoreOptions
	next  time.Time // when the next part may be sent
	tally StoreTally
}

// NewStore starts a store on a port of 127.0.0.1.
func NewStore(o StoreOptions) (*Store, error) {
	s := &Store{target: newTarget(TargetOptions{ID: "weight-store"}, "store"), so: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.download)
	s.handler = mux
	return s, s.start()
}

// URL returns the base URL for EngineOptions.Store.
func (s *Store) URL() string { return "http://" + s.Addr() }

// SetRate changes the rate, for downloads under way from their next part on.
func (s *Store) SetRate(bytesPerSecond int) {
	s.state.Lock()
	defer s.state.Unlock()
	s.so.Rate, s.next = bytesPerSecond, time.Time{}
}

// Tally returns a copy of the counts.
func (s *Store) Tally() StoreTally {
	s.state.Lock()
	defer s.state.Unlock()
	return s.tally
}

func (s *Store) download(w http.ResponseWriter, r *http.Request) {
	if _, err := strconv.ParseUint(r.PathValue("version"), 10, 64); err != nil {
		reply(w, http.StatusBadRequest, engine.Refusal{Reason: "the version is not a number"})
		return
	}
	if !s.enter() {
		reply(w, http.StatusServiceUnavailable, engine.Refusal{NotRun: true, Reason: "too many downloads"})
		return
	}
	complete := false
	defer func() { s.leave(complete) }()
	size := s.so.Size
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for i := range storeParts {
		n := size*(i+1)/storeParts - size*i/storeParts
		if pause(r.Context(), s.reserve(n)) != nil {
			return
		}
		if _, err := w.Write(make([]byte, n)); err != nil {
			return
		}
	}
	complete = true
}

func (s *Store) enter() bool {
	s.state.Lock()
	defer s.state.Unlock()
	if s.so.MaxActive > 0 && s.tally.Active >= s.so.MaxActive {
		s.tally.Refused++
		return false
	}
	s.tally.Active++
	s.tally.Peak = max(s.tally.Peak, s.tally.Active)
	return true
}

func (s *Store) leave(complete bool) {
	s.state.Lock()
	defer s.state.Unlock()
	s.tally.Active--
	if complete {
		s.tally.Downloads++
	}
}

// reserve takes n bytes of the rate and returns how long to wait for them.
func (s *Store) reserve(n int) time.Duration {
	s.state.Lock()
	defer s.state.Unlock()
	if s.so.Rate <= 0 {
		return 0
	}
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(n) * time.Second / time.Duration(s.so.Rate))
	return s.next.Sub(now)
}

// fetchWeights downloads a version. Without a store there is nothing to do.
func fetchWeights(ctx context.Context, c *http.Client, store, model string, version uint64) error {
	if store == "" {
		return nil
	}
	req, err := sling.New().Base(store).Get("/v1/weights/" + model + "/" + strconv.FormatUint(version, 10)).Request()
	if err != nil {
		return &errs.Invalid{Path: "model", Want: "a name that fits into a URL", Got: model}
	}
	resp, err := c.Do(req.WithContext(ctx))
	if err != nil {
		return &errs.Interrupted{Operation: "download of " + model, Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &errs.Unavailable{Resource: "weight store", Reason: resp.Status}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return &errs.Interrupted{Operation: "download of " + model, Reason: err.Error()}
	}
	return nil
}
