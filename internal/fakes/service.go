package fakes

import (
	"net/http"
	"sync/atomic"

	"fuchsiaflow/internal/engine"
)

// Service is a fake plain service. It answers calls with ServiceAnswer.
type Service struct {
	*target
	callsToBreak atomic.Int64
}

// NewService starts a service on a port of 127.0.0.1.
func NewService(o TargetOptions) (*Service, error) {
	s := &Service{target: newTarget(o, "service")}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call", s.handleCall)
	s.handler = mux
	return s, s.start()
}

// Restart starts the service after a crash, with a new incarnation.
func (s *Service) Restart() error { return s.start() }

// BreakNext makes the next n calls run and then closes their connections without an answer.
func (s *Service) BreakNext(n int) { s.callsToBreak.Store(int64(n)) }

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	var req engine.CallRequest
	release, ok := s.admit(w, r, &req)
	if !ok {
		return
	}
	defer release()
	s.recordExecution(req.RequestID, string(req.Body))
	if s.callsToBreak.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, engine.CallReply{RequestID: req.RequestID, Body: ServiceAnswer(req.Body, req.RequestID)})
}
