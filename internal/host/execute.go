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

// prefixBlock is the number of prompt bytes that one prefix key covers. Engines cache
// prompts in blocks of about 16 tokens of 4 bytes.
const prefixBlock = 64

// maxPrefixKeys bounds the keys of one prompt.
const maxPrefixKeys = 64

// prefixKeys hashes the leading blocks of a prompt; key i covers blocks 0 to i.
func prefixKeys(prompt string) []uint64 {
	var keys []uint64
	digest := xxhash.New()
	for len(prompt) >= prefixBlock && len(keys) < maxPrefixKeys {
		_, _ = digest.WriteString(prompt[:prefixBlock])
		prompt = prompt[prefixBlock:]
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

// job is a request with what the dispatcher needs to know of it.
type job struct {
	*rpc.GenerateRequest
	kind         routing.Kind
	minVersion   uint64
	group        string
	stepDeadline time.Time
}

func (j *job) routing(ctx context.Context, domain string) routing.Request {
	deadline, _ := ctx.Deadline()
	return routing.Request{
		ID: j.RequestId, Kind: j.kind, Tenancy: j.Tenancy, Pool: j.Pool, Model: j.Model, MinVersion: j.minVersion,
		PrefixKeys: prefixKeys(j.Prompt), ExpectedTokens: int(j.MaxTokens), Deadline: deadline, StepDeadline: j.stepDeadline,
		Group: j.group, Domain: domain,
	}
}

// Generate runs an engine request and passes on each chunk. A failure with outcome not_run
// means that no byte reached a target, or that the target stated that it did not start.
func (e *executor) Generate(ctx context.Context, j *job, emit func(*rpc.GenerateChunk) error) (err error) {
	arrived := time.Now()
	g, err := e.dispatcher.Acquire(ctx, j.routing(ctx, e.targets.domain))
	if err != nil {
		return err
	}
	queued := time.Since(arrived)
	addr, ok := e.ready(g)
	if !ok {
		g.Done(routing.ResultRefused, 0, 0)
		return &errs.Unavailable{Resource: "target " + g.Target, Reason: "it left before dispatch"}
	}
	ctx, span := e.tracing.ClientSpan(ctx, "target generate", attribute.String("target", g.Target), attribute.String("tenancy", j.Tenancy))
	defer func() { observe.End(span, err) }()
	start := time.Now()
	tokens, first := 0, time.Duration(0)
	err = e.client.Generate(ctx, addr, engine.Request{
		RequestID: j.RequestId, Model: j.Model, Prompt: j.Prompt, MaxTokens: j.MaxTokens, Offset: j.Offset, Unsafe: j.Unsafe,
	}, func(c engine.Chunk) error {
		if first == 0 {
			first = time.Since(start)
		}
		tokens += int(c.Tokens)
		g.Progress(tokens)
		return emit(&rpc.GenerateChunk{
			RequestId: c.RequestID, Seq: c.Seq, Offset: c.Offset, Text: c.Text, Tokens: c.Tokens,
			Version: c.Version, Done: c.Done, Total: c.Total, Target: g.Target,
		})
	})
	g.Done(resultKind(ctx, err), tokens, first)
	e.log.DebugContext(ctx, "request ended at target", "request", j.RequestId, "target", g.Target, "tenancy", j.Tenancy,
		"queued_seconds", queued.Seconds(), "seconds", time.Since(start).Seconds(), "result", string(resultKind(ctx, err)))
	if err != nil && ctx.Err() != nil {
		e.cancelOnTarget(addr, j.RequestId)
	}
	return err
}

// cancelTimeout bounds the notice to a target that a request is no longer wanted.
const cancelTimeout = time.Second

func (e *executor) cancelOnTarget(addr, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// The connection is closed in any case, which most engines take as a cancellation.
	_ = e.client.Cancel(ctx, addr, request)
}

// Call runs a plain service request.
func (e *executor) Call(ctx context.Context, r *rpc.CallRequest) (*rpc.CallReply, error) {
	deadline, _ := ctx.Deadline()
	g, err := e.dispatcher.Acquire(ctx, routing.Request{
		ID: r.RequestId, Kind: routing.Desk, Tenancy: r.Tenancy, Pool: r.Pool, ExpectedTokens: 1, Deadline: deadline, Domain: e.targets.domain,
	})
	if err != nil {
		return nil, err
	}
	addr, ok := e.ready(g)
	if !ok {
		g.Done(routing.ResultRefused, 0, 0)
		return nil, &errs.Unavailable{Resource: "target " + g.Target, Reason: "it left before dispatch"}
	}
	ctx, span := e.tracing.ClientSpan(ctx, "target call", attribute.String("target", g.Target), attribute.String("tenancy", r.Tenancy))
	start := time.Now()
	reply, err := e.client.Call(ctx, addr, engine.CallRequest{RequestID: r.RequestId, Body: json.RawMessage(r.Body), Unsafe: r.Unsafe})
	g.Done(resultKind(ctx, err), 1, time.Since(start))
	observe.End(span, err)
	if err != nil {
		return nil, err
	}
	return &rpc.CallReply{RequestId: reply.RequestID, Body: reply.Body, Target: g.Target}, nil
}

// ready checks the target again at the moment of dispatch, because it may have left while
// the assignment was on its way.
func (e *executor) ready(g *grant) (addr string, ok bool) {
	if !e.targets.Dispatchable(g.Target) {
		return "", false
	}
	return e.targets.Address(g.Target)
}

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
