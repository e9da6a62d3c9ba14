package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
)

func runeCount(s string) uint64 { return uint64(utf8.RuneCountInString(s)) }

func newChunkWriter(w http.ResponseWriter) (*json.Encoder, func() error) {
	return json.NewEncoder(w), http.NewResponseController(w).Flush
}

// handleOrder executes an order. It continues when the connection of the host that sent it is
// closed; only a crash ends it.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.OrderBody
	if !decodeRequest(w, r, &o) {
		return
	}
	ctx := e.incarnationContext()
	e.swapMu.Lock() // orders are executed one at a time
	defer e.swapMu.Unlock()
	fail, duration, status, reason := e.acceptOrder(o)
	if status != http.StatusOK {
		writeJSON(w, status, engine.Refusal{NotRun: true, Reason: reason})
		return
	}
	if o.Kind == engine.OrderRole {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	version := o.Version
	if fail {
		duration, version, status = duration/2, 0, http.StatusInternalServerError
	}
	if !fail {
		if err := fetchWeights(ctx, e.client.http, e.engineOpts.StoreURL, o.Model, o.Version); errs.OutcomeOf(err) == errs.NotRun && err != nil {
			writeJSON(w, http.StatusServiceUnavailable, engine.Refusal{Reason: err.Error()}) // the old weights remain loaded
			return
		} else if err != nil {
			version, status = 0, http.StatusInternalServerError
		}
	}
	if sleep(ctx, duration) != nil || !e.setVersion(ctx, o, version) {
		panic(http.ErrAbortHandler) // crashed
	}
	writeJSON(w, status, engine.Refusal{Reason: http.StatusText(status)})
}

// acceptOrder validates and records an order. It returns whether the load must fail as injected, and
// the duration of the load.
func (e *Engine) acceptOrder(o engine.OrderBody) (fail bool, duration time.Duration, status int, reason string) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	switch {
	case e.engineOpts.CheckFence && o.Fence < e.fence:
		return false, 0, http.StatusConflict, "old fence number"
	case time.Now().UnixMilli() > o.ExpiresMS:
		return false, 0, http.StatusServiceUnavailable, "the order has expired"
	case o.Kind != engine.OrderLoad && o.Kind != engine.OrderRole:
		return false, 0, http.StatusBadRequest, "unknown kind of order"
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	if o.Kind == engine.OrderRole {
		e.role = o.Role
		return false, 0, http.StatusOK, ""
	}
	if fail = e.swapsToFail > 0; fail {
		e.swapsToFail--
	}
	return fail, e.engineOpts.SwapDuration, http.StatusOK, ""
}

// setVersion sets the version of the order's model and returns true, unless ctx has ended because the
// engine crashed.
func (e *Engine) setVersion(ctx context.Context, o engine.OrderBody, version uint64) bool {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	e.versionChanges = append(e.versionChanges, VersionChange{At: time.Now(), Model: o.Model, From: e.models[o.Model], To: version, Fence: o.Fence})
	e.models[o.Model] = version
	return true
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	s := engine.State{ID: e.ID(), Incarnation: e.Incarnation(), Loaded: e.certainModels()}
	e.mu.Lock()
	s.Load = engine.Load{Running: e.running, Queued: e.queued}
	e.mu.Unlock()
	e.stateMu.Lock()
	s.Role, s.Fence = e.role, e.fence
	for model, v := range e.models {
		if v == 0 {
			s.Uncertain = append(s.Uncertain, model)
		}
	}
	e.stateMu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// kvCache is the data of an exported KV cache.
type kvCache struct {
	Tokens   []string `json:"tokens"`
	Versions []uint64 `json:"versions"`
}

func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !decodeRequest(w, r, &req) {
		return
	}
	e.stateMu.Lock()
	s := e.streams[req.RequestID]
	var kv engine.KV
	if s != nil {
		kv = engine.KV{RequestID: req.RequestID, Model: s.model, Version: e.models[s.model]}
		for _, text := range s.tokens[:len(s.versions)] {
			kv.Offset += runeCount(text)
		}
		kv.Data, _ = json.Marshal(kvCache{s.tokens, s.versions})
	}
	e.stateMu.Unlock()
	if s == nil {
		writeJSON(w, http.StatusNotFound, engine.Refusal{Reason: "no such request"})
		return
	}
	writeJSON(w, http.StatusOK, kv)
}

func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	var kv engine.KV
	var cache kvCache
	if !decodeRequest(w, r, &kv) {
		return
	}
	if err := json.Unmarshal(kv.Data, &cache); err != nil || len(cache.Versions) > len(cache.Tokens) {
		writeJSON(w, http.StatusBadRequest, engine.Refusal{Reason: "not a KV cache"})
		return
	}
	e.stateMu.Lock()
	if e.streams[kv.RequestID] == nil {
		e.addStream(kv.RequestID, &stream{model: kv.Model, tokens: cache.Tokens, versions: cache.Versions})
	}
	e.stateMu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}
