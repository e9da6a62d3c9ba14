// Package transport carries the messages of consensus groups between hosts: one duty and one
// stream for each peer.
package transport

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

const (
	// transportRing bounds the message batches that wait for one peer. Consensus repeats
	// what is dropped.
	transportRing = 256
	// transportTimeout bounds one delivery, so that a silent peer does not hold the duty.
	transportTimeout = time.Second
	// transportIdle is how long a stream without messages stays open.
	transportIdle = 5 * time.Second
	// maxGathered bounds the batches of different groups that are sent without a look at
	// the ring.
	maxGathered = 16
	// maxSendBytes is the size of the entries from which messages are not sent together. A
	// replica that catches up has many messages under way, and each send is in memory several
	// times on both sides.
	maxSendBytes = 512 << 10
)

type outgoingBatch struct {
	group    string
	messages []consensus.Message
}

// dataBytes returns the size of what makes messages large.
func dataBytes(messages []consensus.Message) int {
	n := 0
	for _, m := range messages {
		for _, e := range m.Entries {
			n += len(e.Data)
		}
		if m.Snapshot != nil {
			n += len(m.Snapshot.Data)
		}
	}
	return n
}

// split cuts the messages of a batch into batches of at most maxSendBytes, or of one message.
func (b outgoingBatch) split() []outgoingBatch {
	var out []outgoingBatch
	from, size := 0, 0
	for i := range b.messages {
		n := dataBytes(b.messages[i : i+1])
		if i > from && size+n > maxSendBytes {
			out = append(out, outgoingBatch{b.group, b.messages[from:i]})
			from, size = i, 0
		}
		size += n
	}
	return append(out, outgoingBatch{b.group, b.messages[from:]})
}

// Transport sends consensus messages to the other voters, one duty per peer.
type Transport struct {
	peer func(host string) (rpc.PeerClient, error)
	log  *slog.Logger

	mu    sync.Mutex
	kern  *kernel.Kernel
	rings map[string]*kernel.Ring[outgoingBatch]
}

// New returns a transport that reaches a host by peer.
func New(peer func(string) (rpc.PeerClient, error), log *slog.Logger) *Transport {
	return &Transport{peer: peer, log: log, rings: make(map[string]*kernel.Ring[outgoingBatch])}
}

// Start implements kernel.Service.
func (t *Transport) Start(_ context.Context, k *kernel.Kernel) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kern = k
	return nil
}

// Stop implements kernel.Service.
func (t *Transport) Stop(context.Context) error { return nil }

// Send implements group.Transport.
func (t *Transport) Send(group string, messages []consensus.Message) {
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

func (t *Transport) ring(peer string) *kernel.Ring[outgoingBatch] {
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

// raftStream is the open stream to one peer.
type raftStream struct {
	grpc.BidiStreamingClient[rpc.RaftRequest, rpc.RaftReply]
	cancel context.CancelFunc
}

func (t *Transport) deliver(ctx context.Context, peer string, ring *kernel.Ring[outgoingBatch]) error {
	var stream *raftStream
	idle := time.NewTimer(transportIdle)
	defer idle.Stop()
	defer func() { stream.close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			stream.close()
			stream = nil
		case batch := <-ring.C():
			idle.Reset(transportIdle)
			var err error
			if stream, err = t.send(ctx, stream, peer, gatherBatches(ring, batch)); err != nil {
				t.log.Debug("consensus messages are not delivered", "peer", peer, "group", batch.group, "error", err)
				stream.close()
				stream = nil
			}
		}
	}
}

// gatherBatches joins what waits for the peer already, as long as it is of the same group and small.
func gatherBatches(ring *kernel.Ring[outgoingBatch], first outgoingBatch) []outgoingBatch {
	batches := first.split()
	size := dataBytes(first.messages)
	for len(batches) < maxGathered && size < maxSendBytes {
		select {
		case next := <-ring.C():
			size += dataBytes(next.messages)
			if size >= maxSendBytes {
				batches = append(batches, next.split()...)
			} else if last := &batches[len(batches)-1]; last.group == next.group {
				last.messages = append(last.messages, next.messages...)
			} else {
				batches = append(batches, next)
			}
		default:
			return batches
		}
	}
	return batches
}

// send delivers batches in turn over the stream, which it opens when there is none.
func (t *Transport) send(ctx context.Context, stream *raftStream, peer string, batches []outgoingBatch) (*raftStream, error) {
	if stream == nil {
		client, err := t.peer(peer)
		if err != nil {
			return nil, err
		}
		streamCtx, cancel := context.WithCancel(ctx)
		opened, err := client.Raft(streamCtx)
		if err != nil {
			cancel()
			return nil, err
		}
		stream = &raftStream{BidiStreamingClient: opened, cancel: cancel}
	}
	timeout := time.AfterFunc(transportTimeout, stream.cancel)
	defer timeout.Stop()
	for _, batch := range batches {
		timeout.Reset(transportTimeout)
		data, err := cbor.Marshal(batch.messages)
		if err != nil {
			return stream, &errs.Corrupt{What: "consensus messages", Detail: err.Error()}
		}
		if err := stream.Send(&rpc.RaftRequest{Group: batch.group, Messages: data}); err != nil {
			return stream, err
		}
		if _, err := stream.Recv(); err != nil {
			return stream, err
		}
	}
	return stream, nil
}

func (s *raftStream) close() {
	if s != nil {
		s.cancel()
	}
}

// Receive hands the messages of a stream over to the replicas of their groups until the stream
// ends or stopping reports true. It is the server's side of Transport.
func Receive(stream grpc.BidiStreamingServer[rpc.RaftRequest, rpc.RaftReply], replica func(group string) (Replica, bool), stopping func() bool) error {
	for {
		r, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		g, ok := replica(r.Group)
		if !ok {
			return &errs.NotFound{Kind: "group", ID: r.Group}
		}
		var messages []consensus.Message
		if err := cbor.Unmarshal(r.Messages, &messages); err != nil {
			return &errs.Corrupt{What: "consensus messages", Detail: err.Error()}
		}
		g.Deliver(messages)
		if err := stream.Send(&rpc.RaftReply{}); err != nil || stopping() {
			return err
		}
	}
}

// Replica takes in messages of its group.
type Replica interface {
	Deliver(messages []consensus.Message)
}
