package fakes

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"fuchsiaflow/internal/engine"
)

const (
	maxChunkTokens = 4
	maxStreams     = 1 << 14 // streams kept for resuming
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	TargetOptions
	Models          map[string]uint64 // versions by model, loaded at each start
	TokenInterval   time.Duration     // time to generate one token
	SwapDuration    time.Duration     // time to load a version after its download
	StoreURL        string            // base URL of the weight store, optional
	CheckFence      bool              // refuse orders with an outdated fence number
	NoResume        bool              // the engine cannot resume streams
	VersionRecorder *VersionRecorder  // records the version that produced each token; optional
}

// VersionChange is a change of the loaded version of a model. To is zero after a load that failed
// midway, which leaves weights of an uncertain version.
type VersionChange struct {
	At       time.Time
	Model    string
	From, To uint64
	Fence    uint64
}

// Engine is a fake model engine. It generates the text that Output returns.
type Engine struct {
	*target
	engineOpts EngineOptions

	// swapMu is write-locked while weights are loaded, so that no token is generated meanwhile.
	swapMu sync.RWMutex

	stateMu        sync.Mutex
	models         map[string]uint64
	role           string
	fence          uint64
	swapsToFail    int
	mislabel       bool
	streams        map[string]*stream
	streamOrder    []string // request IDs, oldest stream first
	versionChanges []VersionChange
	orders         []engine.OrderBody
}

// stream is the output of a request, generated in part or whole.
type stream struct {
	model     string
	tokens    []string
	versions  []uint64 // by generated token
	cancelled bool
}

// NewEngine starts an engine on a port of 127.0.0.1.
func NewEngine(o EngineOptions) (*Engine, error) {
	e := &Engine{target: newTarget(o.TargetOptions, "engine"), engineOpts: o}
	e.loadedModels = e.certainModels
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.handleGenerate)
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/state", e.handleState)
	mux.HandleFunc("POST /v1/kv/export", e.handleExportKV)
	mux.HandleFunc("POST /v1/kv/import", e.handleImportKV)
	e.handler = mux
	return e, e.Restart()
}

// Restart starts the engine after a crash, without its streams, its fence number and the versions
// loaded since the first start.
func (e *Engine) Restart() error {
	e.stateMu.Lock()
	e.models, e.streams, e.streamOrder = maps.Clone(e.engineOpts.Models), make(map[string]*stream), nil
	if e.models == nil {
		e.models = make(map[string]uint64)
	}
	e.role, e.fence = "", 0
	e.stateMu.Unlock()
	return e.start()
}

// FailNextSwaps makes the next n orders to load a version fail midway.
func (e *Engine) FailNextSwaps(n int) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.swapsToFail = n
}

// SetSwapDuration sets the time to load a version after its download.
func (e *Engine) SetSwapDuration(d time.Duration) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.engineOpts.SwapDuration = d
}

// Mislabel makes the engine report the version before the one that it uses. Tests use it to show
// that the check of version labels detects a wrong label.
func (e *Engine) Mislabel(on bool) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.mislabel = on
}

// VersionChanges returns the changes of loaded versions in all incarnations.
func (e *Engine) VersionChanges() []VersionChange {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return slices.Clone(e.versionChanges)
}

// Orders returns all accepted orders in all incarnations, including those that failed midway.
func (e *Engine) Orders() []engine.OrderBody {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return slices.Clone(e.orders)
}

// certainModels returns the loaded models except those of an uncertain version.
func (e *Engine) certainModels() map[string]uint64 {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	out := maps.Clone(e.models)
	maps.DeleteFunc(out, func(_ string, v uint64) bool { return v == 0 })
	return out
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	release, ok := e.admit(w, r, &req)
	if !ok {
		return
	}
	defer release()
	s, status := e.openStream(req)
	if s == nil {
		writeJSON(w, status, engine.Refusal{Reason: http.StatusText(status)})
		return
	}
	if !e.engineOpts.NoResume {
		w.Header().Set(engine.HeaderResume, engine.ResumeByOffset)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	e.writeStream(w, r, req, s)
}

// openStream returns the stream of a request, or starts one if the offset is zero. A positive offset
// resumes a stream that the engine has generated or imported, unless NoResume is set. Without such a
// stream or the model, the status is 404.
func (e *Engine) openStream(req engine.Request) (*stream, int) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	s := e.streams[req.RequestID]
	switch {
	case s != nil && !(e.engineOpts.NoResume && req.Offset > 0):
		return s, http.StatusOK
	case req.Offset > 0:
		return nil, http.StatusNotFound
	}
	if _, ok := e.models[req.Model]; !ok {
		return nil, http.StatusNotFound
	}
	s = &stream{model: req.Model, tokens: outputTokens(req.Prompt, req.RequestID, req.MaxTokens)}
	e.addStream(req.RequestID, s)
	e.recordExecution(req.RequestID, req.Prompt)
	return s, http.StatusOK
}

// addStream stores a stream and evicts the oldest one above maxStreams.
func (e *Engine) addStream(id string, s *stream) {
	if len(e.streamOrder) == maxStreams {
		delete(e.streams, e.streamOrder[0])
		e.streamOrder = e.streamOrder[1:]
	}
	e.streams[id] = s
	e.streamOrder = append(e.streamOrder, id)
}

// writeStream sends the output from the requested offset on. A chunk holds at most maxChunkTokens
// tokens, all of the same version.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, req engine.Request, s *stream) {
	enc, flush := newChunkWriter(w)
	chunk := engine.Chunk{RequestID: req.RequestID}
	offset := uint64(0)
	for i, text := range s.tokens {
		end := offset + runeCount(text)
		if end > req.Offset {
			version, ok := e.generateToken(r, req.RequestID, s, i)
			if !ok {
				return
			}
			if chunk.Tokens > 0 && (chunk.Version != version || chunk.Tokens == maxChunkTokens) {
				if enc.Encode(chunk) != nil || flush() != nil {
					return
				}
				chunk = engine.Chunk{RequestID: req.RequestID, Seq: chunk.Seq + 1}
			}
			if chunk.Tokens == 0 {
				chunk.Offset, chunk.Version = offset, version
			}
			chunk.Text += text
			chunk.Tokens++
		}
		offset = end
	}
	chunk.Done, chunk.Total = true, offset
	if chunk.Tokens == 0 {
		chunk.Offset = offset
	}
	_ = enc.Encode(chunk)
}

// generateToken generates token i unless that was done before, and returns the version to report for
// it. ok is false once the request is cancelled or its connection is closed.
func (e *Engine) generateToken(r *http.Request, id string, s *stream, i int) (version uint64, ok bool) {
	if !e.isGenerated(s, i) && sleep(r.Context(), e.engineOpts.TokenInterval) != nil {
		return 0, false
	}
	e.swapMu.RLock()
	defer e.swapMu.RUnlock()
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if s.cancelled || r.Context().Err() != nil {
		return 0, false
	}
	if len(s.versions) <= i {
		s.versions = append(s.versions, e.models[s.model])
	}
	version = s.versions[i]
	e.engineOpts.VersionRecorder.record(id, i, version)
	if e.mislabel && version > 0 {
		version--
	}
	return version, true
}

func (e *Engine) isGenerated(s *stream, i int) bool {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return i < len(s.versions)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !decodeRequest(w, r, &req) {
		return
	}
	e.stateMu.Lock()
	s := e.streams[req.RequestID]
	if s != nil {
		s.cancelled = true
	}
	e.stateMu.Unlock()
	if s == nil {
		writeJSON(w, http.StatusNotFound, engine.Refusal{Reason: "no such request"})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
