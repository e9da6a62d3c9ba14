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

// downloadParts is the number of writes that a download is divided into; the rate limit applies
// before each of them.
const downloadParts = 16

// StoreOptions configures a Store.
type StoreOptions struct {
	Size           int // bytes per version
	BytesPerSecond int // for all downloads together; zero means no limit
	MaxDownloads   int // concurrent downloads, above which it answers 503; zero means no limit
}

// StoreStats counts the downloads of a store.
type StoreStats struct {
	Downloads int // completed
	Refused   int
	Active    int // in progress
	Peak      int // maximum of Active
}

// Store is a fake weight store with a limited rate: GET /v1/weights/{model}/{version}.
type Store struct {
	*target

	storeMu   sync.Mutex
	storeOpts StoreOptions
	nextSend  time.Time // when the next part may be sent
	stats     StoreStats
}

// NewStore starts a store on a port of 127.0.0.1.
func NewStore(o StoreOptions) (*Store, error) {
	s := &Store{target: newTarget(TargetOptions{ID: "weight-store"}, "store"), storeOpts: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.handleDownload)
	s.handler = mux
	return s, s.start()
}

// URL returns the base URL for EngineOptions.Store.
func (s *Store) URL() string { return "http://" + s.Addr() }

// SetRate changes the rate limit. It applies to the downloads in progress from their next part on.
func (s *Store) SetRate(bytesPerSecond int) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.storeOpts.BytesPerSecond, s.nextSend = bytesPerSecond, time.Time{}
}

// Stats returns a copy of the counts.
func (s *Store) Stats() StoreStats {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.stats
}

func (s *Store) handleDownload(w http.ResponseWriter, r *http.Request) {
	if _, err := strconv.ParseUint(r.PathValue("version"), 10, 64); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Refusal{Reason: "the version is not a number"})
		return
	}
	if !s.beginDownload() {
		writeJSON(w, http.StatusServiceUnavailable, engine.Refusal{NotRun: true, Reason: "too many downloads"})
		return
	}
	complete := false
	defer func() { s.endDownload(complete) }()
	size := s.storeOpts.Size
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for i := range downloadParts {
		n := size*(i+1)/downloadParts - size*i/downloadParts
		if sleep(r.Context(), s.reserve(n)) != nil {
			return
		}
		if _, err := w.Write(make([]byte, n)); err != nil {
			return
		}
	}
	complete = true
}

func (s *Store) beginDownload() bool {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.storeOpts.MaxDownloads > 0 && s.stats.Active >= s.storeOpts.MaxDownloads {
		s.stats.Refused++
		return false
	}
	s.stats.Active++
	s.stats.Peak = max(s.stats.Peak, s.stats.Active)
	return true
}

func (s *Store) endDownload(complete bool) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.stats.Active--
	if complete {
		s.stats.Downloads++
	}
}

// reserve takes n bytes from the rate limit and returns the delay before they may be sent.
func (s *Store) reserve(n int) time.Duration {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.storeOpts.BytesPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if s.nextSend.Before(now) {
		s.nextSend = now
	}
	s.nextSend = s.nextSend.Add(time.Duration(n) * time.Second / time.Duration(s.storeOpts.BytesPerSecond))
	return s.nextSend.Sub(now)
}

// fetchWeights downloads a version and discards the data. It does nothing if store is empty.
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
