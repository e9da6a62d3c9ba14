package fakes

import (
	"net/http"
	"sync/atomic"

	"fuchsiaflow/internal/engine"
)

// Service is a fake plain service. Its answers are those of Answer.
type Service struct {
	*target
	breakNext atomic.Int64
}

// NewService starts a service on a port of 127.0.0.1.
func NewService(o TargetOptions) (*Service, error) {
	s := &Service{target: newTarget(o, "service")}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call", s.call)
	s.handler = mux
	return s, s.start()
}

// Restart starts the service after a crash, with a new incarnation.
func (s *Service) Restart() error { return s.start() }

// BreakNext makes the next n calls run and then lose their connection instead of the
// answer.
func (s *Service) BreakNext(n int) { s.breakNext.Store(int64(n)) }

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	var req engine.CallRequest
	release, ok := s.admit(w, r, &req)
	if !ok {
		return
	}
	defer release()
	s.executed(req.RequestID, string(req.Body))
	if s.breakNext.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, engine.CallReply{RequestID: req.RequestID, Body: Answer(req.Body, req.RequestID)})
}
