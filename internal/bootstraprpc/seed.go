// Package bootstraprpc connects package bootstrap to the network: a Seed answers candidates, and a Candidate asks the seeds until
// it knows the initial voters.
package bootstraprpc

import (
	"context"
	"sync"

	"fuchsiaflow/bootstrap"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/rpc"
)

// Seed answers the requests of candidates on one host. It is safe for concurrent use.
type Seed struct {
	mu       sync.Mutex
	acceptor *bootstrap.Acceptor
	save     func(*bootstrap.AcceptorState) error
	failed   error // of save; the acceptor has agreed to something that is not durable
}

// NewSeed returns the seed of a host. state is nil if the host takes no part in the agreement. save makes a new state durable; it
// is nil on a host without a disk.
func NewSeed(state *bootstrap.AcceptorState, save func(*bootstrap.AcceptorState) error) *Seed {
	return &Seed{acceptor: bootstrap.NewAcceptor(state), save: save}
}

// Learn records the decided list, which candidates are told.
func (s *Seed) Learn(decided []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptor.Learn(decided)
}

// Answer answers a request. It returns an error if the new state could not be made durable; the seed then answers nothing more.
func (s *Seed) Answer(r *bootstrap.Request) (bootstrap.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return bootstrap.Reply{}, s.failed
	}
	reply, changed := s.acceptor.Handle(bootclock.Now(), r)
	if changed && s.save != nil {
		s.failed = s.save(s.acceptor.State())
	}
	return reply, s.failed
}

// Serve implements the method Bootstrap of rpc.PeerServer.
func (s *Seed) Serve(_ context.Context, r *rpc.BootstrapRequest) (*rpc.BootstrapReply, error) {
	request, err := clusterview.Decode[bootstrap.Request]("bootstrap request", r.Request)
	if err != nil {
		return nil, err
	}
	reply, err := s.Answer(&request)
	if err != nil {
		return nil, err
	}
	return &rpc.BootstrapReply{Reply: clusterview.Encode(reply)}, nil
}
