// Package transport sends the messages of consensus groups between hosts, with one goroutine and
// one stream for each peer.
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
	// ringCapacity limits the number of batches queued for one peer. When it is full, the
	// oldest batch is dropped; the consensus protocol sends its messages again.
	ringCapacity = 256
	// sendTimeout limits the delivery of one batch, so that an unresponsive peer does not block
	// the goroutine.
	sendTimeout = time.Second
	// idleTimeout is the time after which a stream without messages is closed.
	idleTimeout = 5 * time.Second
	// maxGatheredBatches limits the number of batches, after joining those of the same group, that
	// are sent before the ring is read again.
	maxGatheredBatches = 16
	// maxSendBytes is the maximum payload of several messages in one send; larger messages are
	// sent alone. A replica that catches up has many messages in flight, and each send is held in
	// memory several times on both sides.
	maxSendBytes = 512 << 10
)

// outgoingBatch holds messages of one group to one peer.
type outgoingBatch struct {
	group    string
	messages []consensus.Message
}

// payloadBytes returns the size of the log entries and snapshots in messages.
func payloadBytes(messages []consensus.Message) int {
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

// split divides a batch into batches with a payload of at most maxSendBytes or with one message.
func (b outgoingBatch) split() []outgoingBatch {
	var out []outgoingBatch
	start, size := 0, 0
	for i := range b.messages {
		n := payloadBytes(b.messages[i : i+1])
		if i > start && size+n > maxSendBytes {
			out = append(out, outgoingBatch{b.group, b.messages[start:i]})
			start, size = i, 0
		}
		size += n
	}
	return append(out, outgoingBatch{b.group, b.messages[start:]})
}

// Transport sends consensus messages to the other replicas, with one goroutine per peer.
type Transport struct {
	peer func(host string) (rpc.PeerClient, error)
	log  *slog.Logger

	mu    sync.Mutex
	kern  *kernel.Kernel
	rings map[string]*kernel.Ring[outgoingBatch]
}

// New returns a transport that obtains the client for a host from peer.
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
		ring = kernel.NewRing[outgoingBatch]("transport/"+peer, ringCapacity, kernel.DropOldest)
		t.rings[peer] = ring
		t.kern.Go("transport/"+peer, func(ctx context.Context) error { return t.deliver(ctx, peer, ring) })
	}
	return ring
}

// raftStream is an open stream to one peer.
type raftStream struct {
	grpc.BidiStreamingClient[rpc.RaftRequest, rpc.RaftReply]
	cancel context.CancelFunc
}

func (t *Transport) deliver(ctx context.Context, peer string, ring *kernel.Ring[outgoingBatch]) error {
	var stream *raftStream
	idle := time.NewTimer(idleTimeout)
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
			idle.Reset(idleTimeout)
			var err error
			if stream, err = t.send(ctx, stream, peer, gatherBatches(ring, batch)); err != nil {
				t.log.Debug("consensus messages are not delivered", "peer", peer, "group", batch.group, "error", err)
				stream.close()
				stream = nil
			}
		}
	}
}

// gatherBatches returns first and the batches queued behind it, up to maxGatheredBatches batches or
// maxSendBytes. It joins adjacent small batches of the same group.
func gatherBatches(ring *kernel.Ring[outgoingBatch], first outgoingBatch) []outgoingBatch {
	batches := first.split()
	size := payloadBytes(first.messages)
	for len(batches) < maxGatheredBatches && size < maxSendBytes {
		select {
		case next := <-ring.C():
			size += payloadBytes(next.messages)
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

// send delivers batches one after the other and waits for the reply to each. It opens a stream if
// there is none, and returns the stream.
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
	timeout := time.AfterFunc(sendTimeout, stream.cancel)
	defer timeout.Stop()
	for _, batch := range batches {
		timeout.Reset(sendTimeout)
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

// Receive delivers the messages of a stream to the replicas of their groups until the stream ends or
// stopping returns true. It is the server side of Transport.
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

// Replica receives the messages for its group.
type Replica interface {
	Deliver(messages []consensus.Message)
}
