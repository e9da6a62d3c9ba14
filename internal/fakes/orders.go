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

func chars(s string) uint64 { return uint64(utf8.RuneCountInString(s)) }

func newChunkWriter(w http.ResponseWriter) (*json.Encoder, func() error) {
	return json.NewEncoder(w), http.NewResponseController(w).Flush
}

// load carries out an order.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o engine.OrderBody
	if !decode(w, r, &o) {
		return
	}
	life := e.life()
	e.swap.Lock() // orders are carried out one at a time
	defer e.swap.Unlock()
	fail, took, status, reason := e.accept(o)
	if status != http.StatusOK {
		reply(w, status, engine.Refusal{NotRun: true, Reason: reason})
		return
	}
	if o.Kind == engine.OrderRole {
		reply(w, http.StatusOK, struct{}{})
		return
	}
	// The order goes on when the host that gave it is gone, so only a crash ends it.
	to := o.Version
	if fail {
		took, to, status = took/2, 0, http.StatusInternalServerError
	}
	if !fail {
		if err := fetchWeights(life, e.caller.http, e.eo.Store, o.Model, o.Version); errs.OutcomeOf(err) == errs.NotRun && err != nil {
			reply(w, http.StatusServiceUnavailable, engine.Refusal{Reason: err.Error()}) // the old weights stay
			return
		} else if err != nil {
			to, status = 0, http.StatusInternalServerError
		}
	}
	if pause(life, took) != nil || !e.change(life, o, to) {
		panic(http.ErrAbortHandler) // crashed
	}
	reply(w, status, engine.Refusal{Reason: http.StatusText(status)})
}

// accept checks an order and records it. It returns whether the load is to fail and how
// long it takes.
func (e *Engine) accept(o engine.OrderBody) (fail bool, took time.Duration, status int, reason string) {
	e.state.Lock()
	defer e.state.Unlock()
	switch {
	case e.eo.CheckFence && o.Fence < e.fence:
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
	if fail = e.failSwaps > 0; fail {
		e.failSwaps--
	}
	return fail, e.eo.SwapDuration, http.StatusOK, ""
}

// change sets a version, unless the engine has crashed since the order began.
func (e *Engine) change(life context.Context, o engine.OrderBody, to uint64) bool {
	e.state.Lock()
	defer e.state.Unlock()
	if life.Err() != nil {
		return false
	}
	e.changes = append(e.changes, VersionChange{At: time.Now(), Model: o.Model, From: e.models[o.Model], To: to, Fence: o.Fence})
	e.models[o.Model] = to
	return true
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	s := engine.State{ID: e.ID(), Incarnation: e.Incarnation(), Loaded: e.certain()}
	e.mu.Lock()
	s.Load = engine.Load{Running: e.running, Queued: e.queued}
	e.mu.Unlock()
	e.state.Lock()
	s.Role, s.Fence = e.role, e.fence
	for model, v := range e.models {
		if v == 0 {
			s.Uncertain = append(s.Uncertain, model)
		}
	}
	e.state.Unlock()
	reply(w, http.StatusOK, s)
}

// cache is the content of an exported KV cache.
type cache struct {
	Tokens   []string `json:"tokens"`
	Versions []uint64 `json:"versions"`
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !decode(w, r, &req) {
		return
	}
	e.state.Lock()
	s := e.streams[req.RequestID]
	var kv engine.KV
	if s != nil {
		kv = engine.KV{RequestID: req.RequestID, Model: s.model, Version: e.models[s.model]}
		for _, text := range s.tokens[:len(s.versions)] {
			kv.Offset += chars(text)
		}
		kv.Data, _ = json.Marshal(cache{s.tokens, s.versions})
	}
	e.state.Unlock()
	if s == nil {
		reply(w, http.StatusNotFound, engine.Refusal{Reason: "no such request"})
		return
	}
	reply(w, http.StatusOK, kv)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv engine.KV
	var c cache
	if !decode(w, r, &kv) {
		return
	}
	if err := json.Unmarshal(kv.Data, &c); err != nil || len(c.Versions) > len(c.Tokens) {
		reply(w, http.StatusBadRequest, engine.Refusal{Reason: "not a KV cache"})
		return
	}
	e.state.Lock()
	if e.streams[kv.RequestID] == nil {
		e.remember(kv.RequestID, &stream{model: kv.Model, tokens: c.Tokens, versions: c.Versions})
	}
	e.state.Unlock()
	reply(w, http.StatusOK, struct{}{})
}
