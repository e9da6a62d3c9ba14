package host

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/routing"
)

// prefixBlockBytes is the size of the prompt blocks that prefix keys are computed from. Engines
// cache prompts in blocks of about 16 tokens of 4 bytes.
const prefixBlockBytes = 64

// maxPrefixKeys limits the number of keys of one prompt.
const maxPrefixKeys = 64

// prefixKeys hashes the leading blocks of a prompt; key i covers blocks 0 to i. A prompt that is
// shorter than a block has one key.
func prefixKeys(prompt string) []uint64 {
	var keys []uint64
	digest := xxhash.New()
	for len(prompt) >= prefixBlockBytes && len(keys) < maxPrefixKeys {
		_, _ = digest.WriteString(prompt[:prefixBlockBytes])
		prompt = prompt[prefixBlockBytes:]
		keys = append(keys, digest.Sum64())
	}
	if len(keys) == 0 {
		_, _ = digest.WriteString(prompt)
		keys = append(keys, digest.Sum64())
	}
	return keys
}

// executor runs requests on the targets that this host owns.
type executor struct {
	dispatcher *dispatcher
	targets    *targetService
	client     *engine.Client
	tracing    *observe.Tracing
	log        *slog.Logger
}

// dispatchRequest is an engine request with the additional data that the dispatcher needs.
type dispatchRequest struct {
	*rpc.GenerateRequest
	kind         routing.Kind
	minVersion   uint64
	group        string
	stepDeadline time.Time
}

func (r *dispatchRequest) routingRequest(ctx context.Context, domain string) routing.Request {
	deadline, _ := ctx.Deadline()
	return routing.Request{
		ID: r.RequestId, Kind: r.kind, Tenancy: r.Tenancy, Pool: r.Pool, Model: r.Model, MinVersion: r.minVersion,
		PrefixKeys: prefixKeys(r.Prompt), ExpectedTokens: int(r.MaxTokens), Deadline: deadline, StepDeadline: r.stepDeadline,
		Group: r.group, Domain: domain,
	}
}

// Generate runs an engine request and calls emit for each chunk. An error with the outcome not_run
// means that no byte reached a target, or that the target stated that it did not start the request.
func (e *executor) Generate(ctx context.Context, r *dispatchRequest, emit func(*rpc.GenerateChunk) error) (err error) {
	arrived := time.Now()
	p, err := e.dispatcher.Acquire(ctx, r.routingRequest(ctx, e.targets.domain))
	if err != nil {
		return err
	}
	queued := time.Since(arrived)
	addr, ok := e.targetAddress(p)
	if !ok {
		p.Done(routing.ResultRefused, 0, 0)
		return &errs.Unavailable{Resource: "target " + p.Target, Reason: "it left before dispatch"}
	}
	ctx, span := e.tracing.StartClientSpan(ctx, "target generate", attribute.String("target", p.Target), attribute.String("tenancy", r.Tenancy))
	defer func() { observe.EndSpan(span, err) }()
	start := time.Now()
	tokens, first := 0, time.Duration(0)
	err = e.client.Generate(ctx, addr, engine.Request{
		RequestID: r.RequestId, Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Offset: r.Offset, Unsafe: r.Unsafe,
	}, func(c engine.Chunk) error {
		if first == 0 {
			first = time.Since(start)
		}
		tokens += int(c.Tokens)
		p.RecordProgress(tokens)
		return emit(&rpc.GenerateChunk{
			RequestId: c.RequestID, Seq: c.Seq, Offset: c.Offset, Text: c.Text, Tokens: c.Tokens,
			Version: c.Version, Done: c.Done, Total: c.Total, Target: p.Target,
		})
	})
	p.Done(resultKind(ctx, err), tokens, first)
	e.log.DebugContext(ctx, "request ended at target", "request", r.RequestId, "target", p.Target, "tenancy", r.Tenancy,
		"queued_seconds", queued.Seconds(), "seconds", time.Since(start).Seconds(), "result", string(resultKind(ctx, err)))
	if err != nil && ctx.Err() != nil {
		e.cancelOnTarget(addr, r.RequestId)
	}
	return err
}

// cancelTimeout limits the call that cancels a request on its target.
const cancelTimeout = time.Second

func (e *executor) cancelOnTarget(addr, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// An error is ignored: the connection is closed in any case, and most engines treat that as a
	// cancellation.
	_ = e.client.Cancel(ctx, addr, request)
}

// Call runs a request to a service pool.
func (e *executor) Call(ctx context.Context, r *rpc.CallRequest) (*rpc.CallReply, error) {
	deadline, _ := ctx.Deadline()
	p, err := e.dispatcher.Acquire(ctx, routing.Request{
		ID: r.RequestId, Kind: routing.Desk, Tenancy: r.Tenancy, Pool: r.Pool, ExpectedTokens: 1, Deadline: deadline, Domain: e.targets.domain,
	})
	if err != nil {
		return nil, err
	}
	addr, ok := e.targetAddress(p)
	if !ok {
		p.Done(routing.ResultRefused, 0, 0)
		return nil, &errs.Unavailable{Resource: "target " + p.Target, Reason: "it left before dispatch"}
	}
	ctx, span := e.tracing.StartClientSpan(ctx, "target call", attribute.String("target", p.Target), attribute.String("tenancy", r.Tenancy))
	start := time.Now()
	reply, err := e.client.Call(ctx, addr, engine.CallRequest{RequestID: r.RequestId, Body: json.RawMessage(r.Body), Unsafe: r.Unsafe})
	p.Done(resultKind(ctx, err), 1, time.Since(start))
	observe.EndSpan(span, err)
	if err != nil {
		return nil, err
	}
	return &rpc.CallReply{RequestId: reply.RequestID, Body: reply.Body, Target: p.Target}, nil
}

// targetAddress returns the address of the assigned target. It returns false if the target may no
// longer receive requests, because it may have left since the assignment.
func (e *executor) targetAddress(p *permit) (addr string, ok bool) {
	if !e.targets.Dispatchable(p.Target) {
		return "", false
	}
	return e.targets.Address(p.Target)
}

// resultKind classifies the result of a request for the routing core.
func resultKind(ctx context.Context, err error) routing.ResultKind {
	switch {
	case err == nil:
		return routing.ResultOK
	case errs.OutcomeOf(err) == errs.NotRun:
		return routing.ResultRefused
	case ctx.Err() == context.Canceled:
		return routing.ResultCancelled
	case errs.CodeOf(err) == errs.CodeDeadline:
		return routing.ResultTimeout
	default:
		return routing.ResultFailed
	}
}
