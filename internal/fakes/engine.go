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
	chunkTokens = 4
	maxStreams  = 1 << 14 // streams that an engine keeps for resuming
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	TargetOptions
	Models        map[string]uint64 // loaded at each start
	TokenInterval time.Duration     // time to generate one token
	SwapDuration  time.Duration     // time to load a version, after its download
	Store         string            // base URL of the weight store, optional
	CheckFence    bool              // refuse orders with an old fence number
	NoResume      bool              // the engine cannot resume streams
	Truth         *Truth            // shared record of what produced each token, optional
}

// VersionChange is a change of a loaded version. To is zero after a load that failed
// halfway, which leaves weights of an uncertain version.
type VersionChange struct {
	At       time.Time
	Model    string
	From, To uint64
	Fence    uint64
}

// Engine is a fake model engine. Its outputs are those of Output.
type Engine struct {
	*target
	eo EngineOptions

	// swap is held for writing while weights are loaded, so that no token is generated.
	swap sync.RWMutex

	state     sync.Mutex
	models    map[string]uint64
	role      string
	fence     uint64
	failSwaps int
	mislabel  bool
	streams   map[string]*stream
	order     []string // stream ids, oldest first
	changes   []VersionChange
	orders    []engine.OrderBody
}

// stream is a request that the engine generates or has generated.
type stream struct {
	model     string
	tokens    []string
	versions  []uint64 // of the tokens generated so far
	cancelled bool
}

// NewEngine starts an engine on a port of 127.0.0.1.
func NewEngine(o EngineOptions) (*Engine, error) {
	e := &Engine{target: newTarget(o.TargetOptions, "engine"), eo: o}
	e.loaded = e.certain
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("POST /v1/orders", e.load)
	mux.HandleFunc("GET /v1/state", e.report)
	mux.HandleFunc("POST /v1/kv/export", e.export)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.handler = mux
	return e, e.Restart()
}

// Restart starts the engine after a crash. It has forgotten its streams, its fence number
// and every version loaded since the first start.
func (e *Engine) Restart() error {
	e.state.Lock()
	e.models, e.streams, e.order = maps.Clone(e.eo.Models), make(map[string]*stream), nil
	if e.models == nil {
		e.models = make(map[string]uint64)
	}
	e.role, e.fence = "", 0
	e.state.Unlock()
	return e.start()
}

// FailSwaps makes the next n orders to load a version fail halfway.
func (e *Engine) FailSwaps(n int) {
	e.state.Lock()
	defer e.state.Unlock()
	e.failSwaps = n
}

// SetSwapDuration changes the time to load a version, as a slow weight store would.
func (e *Engine) SetSwapDuration(d time.Duration) {
	e.state.Lock()
	defer e.state.Unlock()
	e.eo.SwapDuration = d
}

// Mislabel makes the engine report the version before the one that it uses. It proves that
// the check of labels can fail.
func (e *Engine) Mislabel(on bool) {
	e.state.Lock()
	defer e.state.Unlock()
	e.mislabel = on
}

// Changes returns all changes of loaded versions, over all incarnations.
func (e *Engine) Changes() []VersionChange {
	e.state.Lock()
	defer e.state.Unlock()
	return slices.Clone(e.changes)
}

// Orders returns all orders that were carried out or failed halfway.
func (e *Engine) Orders() []engine.OrderBody {
	e.state.Lock()
	defer e.state.Unlock()
	return slices.Clone(e.orders)
}

// certain returns the loaded models without those of an uncertain version.
func (e *Engine) certain() map[string]uint64 {
	e.state.Lock()
	defer e.state.Unlock()
	out := maps.Clone(e.models)
	maps.DeleteFunc(out, func(_ string, v uint64) bool { return v == 0 })
	return out
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	release, ok := e.admit(w, r, &req)
	if !ok {
		return
	}
	defer release()
	s, status := e.open(req)
	if s == nil {
		reply(w, status, engine.Refusal{Reason: http.StatusText(status)})
		return
	}
	if !e.eo.NoResume {
		w.Header().Set(engine.HeaderResume, engine.ResumeByOffset)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	e.write(w, r, req, s)
}

// open finds the stream of a request or starts it. Without KV cache or memory of it, a
// stream cannot be resumed.
func (e *Engine) open(req engine.Request) (*stream, int) {
	e.state.Lock()
	defer e.state.Unlock()
	s := e.streams[req.RequestID]
	switch {
	case s != nil && !(e.eo.NoResume && req.Offset > 0):
		return s, http.StatusOK
	case req.Offset > 0:
		return nil, http.StatusNotFound
	}
	if _, ok := e.models[req.Model]; !ok {
		return nil, http.StatusNotFound
	}
	s = &stream{model: req.Model, tokens: tokensOf(req.Prompt, req.RequestID, req.MaxTokens)}
	e.remember(req.RequestID, s)
	e.executed(req.RequestID, req.Prompt)
	return s, http.StatusOK
}

func (e *Engine) remember(id string, s *stream) {
	if len(e.order) == maxStreams {
		delete(e.streams, e.order[0])
		e.order = e.order[1:]
	}
	e.streams[id] = s
	e.order = append(e.order, id)
}

// write streams the output from the token at the offset on.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, req engine.Request, s *stream) {
	enc, flush := newChunkWriter(w)
	c := engine.Chunk{RequestID: req.RequestID}
	pos := uint64(0)
	for i, text := range s.tokens {
		end := pos + chars(text)
		if end > req.Offset {
			version, ok := e.token(r, req.RequestID, s, i)
			if !ok {
				return
			}
			if c.Tokens > 0 && (c.Version != version || c.Tokens == chunkTokens) {
				if enc.Encode(c) != nil || flush() != nil {
					return
				}
				c = engine.Chunk{RequestID: req.RequestID, Seq: c.Seq + 1}
			}
			if c.Tokens == 0 {
				c.Offset, c.Version = pos, version
			}
			c.Text += text
			c.Tokens++
		}
		pos = end
	}
	c.Done, c.Total = true, pos
	if c.Tokens == 0 {
		c.Offset = pos
	}
	_ = enc.Encode(c)
}

// token generates token i unless it exists, and returns the version to report for it.
func (e *Engine) token(r *http.Request, id string, s *stream, i int) (version uint64, ok bool) {
	if !e.exists(s, i) && pause(r.Context(), e.eo.TokenInterval) != nil {
		return 0, false
	}
	e.swap.RLock()
	defer e.swap.RUnlock()
	e.state.Lock()
	defer e.state.Unlock()
	if s.cancelled || r.Context().Err() != nil {
		return 0, false
	}
	if len(s.versions) <= i {
		s.versions = append(s.versions, e.models[s.model])
	}
	version = s.versions[i]
	e.eo.Truth.produce(id, i, version)
	if e.mislabel && version > 0 {
		version--
	}
	return version, true
}

func (e *Engine) exists(s *stream, i int) bool {
	e.state.Lock()
	defer e.state.Unlock()
	return i < len(s.versions)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !decode(w, r, &req) {
		return
	}
	e.state.Lock()
	s := e.streams[req.RequestID]
	if s != nil {
		s.cancelled = true
	}
	e.state.Unlock()
	if s == nil {
		reply(w, http.StatusNotFound, engine.Refusal{Reason: "no such request"})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
