package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/consensus"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

const (
	// transportRing bounds the message batches that wait for one peer. Consensus repeats
	// what is dropped.
	transportRing = 256
	// transportTimeout bounds one delivery, so that a silent peer does not hold the duty.
	transportTimeout = time.Second
)

type outgoingBatch struct {
	group    string
	messages []consensus.Message
}

// transport sends consensus messages to the other voters, one duty per peer.
type transport struct {
	peer func(host string) (rpc.PeerClient, error)
	log  *slog.Logger

	mu    sync.Mutex
	kern  *kernel.Kernel
	rings map[string]*kernel.Ring[outgoingBatch]
}

func newTransport(peer func(string) (rpc.PeerClient, error), log *slog.Logger) *transport {
	return &transport{peer: peer, log: log, rings: make(map[string]*kernel.Ring[outgoingBatch])}
}

// Start implements kernel.Service.
func (t *transport) Start(_ context.Context, k *kernel.Kernel) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kern = k
	return nil
}

// Stop implements kernel.Service.
func (t *transport) Stop(context.Context) error { return nil }

// Send implements group.Transport.
func (t *transport) Send(group string, messages []consensus.Message) {
	byPeer := make(map[string][]consensus.Message)
	for _, m := range messages {
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for peer, batch := range byPeer {
		if ring := t.ring(peer); ring != nil {
			_ = ring.Push(context.Background(), outgoingBatch{group: group, messages: batch})
		}
	}
}

func (t *transport) ring(peer string) *kernel.Ring[outgoingBatch] {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kern == nil {
		return nil
	}
	ring, ok := t.rings[peer]
	if !ok {
		ring = kernel.NewRing[outgoingBatch]("transport/"+peer, transportRing, kernel.DropOldest)
		t.rings[peer] = ring
		t.kern.Go("transport/"+peer, func(ctx context.Context) error { return t.deliver(ctx, peer, ring) })
	}
	return ring
}

func (t *transport) deliver(ctx context.Context, peer string, ring *kernel.Ring[outgoingBatch]) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-ring.C():
			t.send(ctx, peer, batch)
		}
	}
}

func (t *transport) send(ctx context.Context, peer string, batch outgoingBatch) {
	data, err := cbor.Marshal(batch.messages)
	if err != nil {
		t.log.Error("consensus messages cannot be encoded", "error", err)
		return
	}
	client, err := t.peer(peer)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transportTimeout)
	defer cancel()
	if _, err := client.Raft(ctx, &rpc.RaftRequest{Group: batch.group, Messages: data}); err != nil {
		t.log.Debug("consensus messages are not delivered", "peer", peer, "group", batch.group, "error", err)
	}
}
