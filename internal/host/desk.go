package host

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/retry"
	"fuchsiaflow/routing"
)

const (
	// bytesPerToken estimates the tokens of a prompt, because tokenizers belong to models.
	bytesPerToken = 4
	// retryShare is the share of traffic that may be retries. A pool that is slow must not
	// be kept slow by them.
	retryShare = 0.1
)

// deskService serves single requests: it reserves quota, claims unsafe requests, chooses a
// host that owns suitable targets, and repeats what is safe to repeat.
type deskService struct {
	self     string
	domain   string
	config   *configService
	quota    *quotaService
	claims   *claimService
	members  *membershipService
	peer     func(host string) (rpc.PeerClient, error)
	executor *executor
	metrics  *hostMetrics

	mu     sync.Mutex
	random *rand.Rand
	budget *retry.Budget
}

// Do implements api.Desk.
func (d *deskService) Do(ctx context.Context, tenancy string, r api.DeskRequest, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	cfg := d.config.Current()
	if cfg == nil {
		return nil, &errs.Unavailable{Resource: "host", Reason: "no configuration is in force"}
	}
	t, pool, err := d.check(cfg, tenancy, r)
	if err != nil {
		return nil, err
	}
	reserved := len(r.Prompt)/bytesPerToken + r.MaxTokens
	if err := d.quota.Reserve(ctx, r.RequestID, t, reserved); err != nil {
		return nil, err
	}
	start := time.Now()
	reply, err := d.serve(ctx, t, pool, r, emit)
	d.settle(r, reply, err)
	d.metrics.deskRequest(time.Since(start), err)
	return reply, err
}

func (d *deskService) settle(r api.DeskRequest, reply *api.DeskReply, err error) {
	switch {
	case err == nil && !reply.Repeated:
		d.quota.Settle(r.RequestID, len(r.Prompt)/bytesPerToken+reply.Tokens)
	case err == nil || errs.OutcomeOf(err) == errs.NotRun:
		d.quota.Settle(r.RequestID, 0)
	}
}

func (d *deskService) check(cfg *confstate.Config, tenancy string, r api.DeskRequest) (*confstate.Tenancy, *confstate.Pool, error) {
	t := cfg.Tenancy(tenancy)
	if t == nil {
		return nil, nil, &errs.NotFound{Kind: "tenancy", ID: tenancy}
	}
	pool, err := allowedPool(cfg, t, r.Pool)
	if err != nil {
		return nil, nil, err
	}
	isEngine := pool.Kind == confstate.Engine
	if isEngine != (r.Prompt != "") {
		return nil, nil, &errs.Invalid{Path: "$", Want: "prompt for an engine pool, body for a service pool", Got: "the other"}
	}
	if isEngine && !slices.Contains(pool.Models, r.Model) {
		return nil, nil, &errs.Invalid{Path: "$.model", Want: "a model of pool " + pool.Name, Got: strconv.Quote(r.Model)}
	}
	if isEngine && r.MaxTokens == 0 {
		return nil, nil, &errs.Invalid{Path: "$.max_tokens", Want: "1 or more", Got: "0"}
	}
	return t, pool, nil
}

func allowedPool(cfg *confstate.Config, t *confstate.Tenancy, name string) (*confstate.Pool, error) {
	pool := cfg.Pool(name)
	if pool == nil || !slices.Contains(t.Pools, name) {
		return nil, &errs.NotFound{Kind: "pool of tenancy " + t.Name, ID: name}
	}
	return pool, nil
}

func (d *deskService) serve(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	safe := !r.Unsafe && pool.RetrySafe != nil && *pool.RetrySafe
	if r.Key != "" {
		return d.serveClaimed(ctx, t, pool, r, emit)
	}
	return d.attempts(ctx, t, pool, r, retry.Call{Idempotent: safe}, emit)
}

// serveClaimed runs a request with a key, which is at most once even when the request is not
// marked unsafe: a caller that sends a key expects one run. Its answer is streamed only once it is
// whole, because a resend may be served from the stored answer.
func (d *deskService) serveClaimed(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	claim := claimRequest{claimID: claimID{tenancy: t.Name, key: r.Key}, home: t.Home, digest: requestDigest(r)}
	answer, repeated, err := d.claims.Do(ctx, claim, func(ctx context.Context) ([]byte, error) {
		reply, err := d.attempts(ctx, t, pool, unsafeRequest(r), retry.Call{Claimed: true}, nil)
		if err != nil {
			return nil, err
		}
		return json.Marshal(reply)
	})
	if err != nil {
		return nil, err
	}
	var reply api.DeskReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return nil, &errs.Corrupt{What: "stored answer", Detail: err.Error()}
	}
	reply.Repeated = repeated
	if emit != nil {
		return &reply, emitWhole(&reply, emit)
	}
	return &reply, nil
}

// unsafeRequest marks a request so that no connection repeats it.
func unsafeRequest(r api.DeskRequest) api.DeskRequest {
	r.Unsafe = true
	return r
}

func emitWhole(reply *api.DeskReply, emit func(api.DeskChunk) error) error {
	text := reply.Output
	if len(reply.Body) > 0 {
		text = string(reply.Body)
	}
	return emit(api.DeskChunk{RequestID: reply.RequestID, Text: text, Done: true, Total: uint64(len([]rune(text)))})
}

// requestDigest identifies the content of a request under its key.
func requestDigest(r api.DeskRequest) string {
	h := sha256.New()
	for _, part := range []string{r.Pool, r.Model, r.Prompt, strconv.Itoa(r.MaxTokens), string(r.Body)} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// attempts runs a request until it succeeds or may not be repeated.
func (d *deskService) attempts(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, call retry.Call, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	call.Deadline, _ = ctx.Deadline()
	d.mu.Lock()
	d.budget.RecordRequest(time.Now())
	d.mu.Unlock()
	emitted := false
	counted := emit
	if emit != nil {
		counted = func(c api.DeskChunk) error {
			emitted = true
			return emit(c)
		}
	}
	var unreached []string
	for call.Attempt = 1; ; call.Attempt++ {
		host, reply, err := d.attempt(ctx, t, pool, r, call.Attempt, unreached, counted)
		if err == nil {
			return reply, nil
		}
		if errs.CodeOf(err) == errs.CodeUnavailable {
			unreached = append(unreached, host)
		}
		decision := d.decide(call, err)
		// A second run could produce another text than the part that the caller has.
		if !decision.Retry || emitted || !pause(ctx, decision.After) {
			return nil, outcomeAs(err, retry.CombineOutcomes(call.EarlierOutcome, errs.OutcomeOf(err)))
		}
		call.EarlierOutcome = retry.CombineOutcomes(call.EarlierOutcome, errs.OutcomeOf(err))
	}
}

func (d *deskService) decide(call retry.Call, err error) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	call.Budget, call.Rand = d.budget, d.random
	return retry.Decide(time.Now(), call, err)
}

// outcomeAs reports a failure with the outcome of all attempts together: a last attempt that
// did not run proves nothing about the ones before it.
func outcomeAs(err error, outcome errs.Outcome) error {
	if errs.OutcomeOf(err) == outcome {
		return err
	}
	return &errs.Remote{Code: errs.CodeOf(err), Outcome: outcome, Message: err.Error(), After: errs.RetryAfterOf(err)}
}

// attempt runs a request on a host, which it returns, that is not in avoid if there is another.
func (d *deskService) attempt(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, number int, avoid []string, emit func(api.DeskChunk) error) (string, *api.DeskReply, error) {
	// Each attempt has its own id, so that late parts of an earlier one are recognized.
	id := r.RequestID
	if number > 1 {
		id += "." + strconv.Itoa(number)
	}
	host, err := d.pickHost(ctx, r, id, t.Name, avoid)
	if err != nil {
		return "", nil, err
	}
	run := d.generate
	if pool.Kind == confstate.Service {
		run = d.call
	}
	reply, err := run(ctx, host, t, r, id, emit)
	return host, reply, err
}

// targetWait bounds how long a request waits for a first target of its pool, as after the
// start of a host, whose view of the others fills within a gossip round.
const (
	targetWait  = time.Second
	targetPause = 25 * time.Millisecond
)

func (d *deskService) pickHost(ctx context.Context, r api.DeskRequest, id, tenancy string, avoid []string) (string, error) {
	request := routing.Request{
		ID: id, Kind: routing.Desk, Tenancy: tenancy, Pool: r.Pool, Model: r.Model, Domain: d.domain, AvoidHosts: avoid,
	}
	if r.Prompt != "" {
		request.PrefixKeys = prefixKeys(r.Prompt)
	}
	for until := time.Now().Add(targetWait); ; {
		now := time.Now()
		summaries := d.members.Summaries(now)
		d.mu.Lock()
		host, ok := routing.PickHost(now, request, summaries, d.random)
		d.mu.Unlock()
		if ok {
			return host, nil
		}
		if now.After(until) || !pause(ctx, targetPause) {
			return "", &errs.Unavailable{Resource: "pool " + r.Pool, Reason: "no target is known"}
		}
	}
}

func (d *deskService) call(ctx context.Context, host string, t *confstate.Tenancy, r api.DeskRequest, id string, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	request := &rpc.CallRequest{RequestId: id, Tenancy: t.Name, Pool: r.Pool, Body: r.Body, Unsafe: r.Unsafe, TimeoutMs: remainingMS(ctx)}
	var reply *rpc.CallReply
	var err error
	if host == d.self {
		reply, err = d.executor.Call(ctx, request)
	} else {
		reply, err = d.remoteCall(ctx, host, request)
	}
	if err != nil {
		return nil, err
	}
	answer := &api.DeskReply{RequestID: r.RequestID, Body: reply.Body, Tokens: 1}
	if emit != nil {
		return answer, emitWhole(answer, emit)
	}
	return answer, nil
}

func (d *deskService) remoteCall(ctx context.Context, host string, request *rpc.CallRequest) (*rpc.CallReply, error) {
	peer, err := d.peer(host)
	if err != nil {
		return nil, err
	}
	return peer.Call(ctx, request)
}

func (d *deskService) generate(ctx context.Context, host string, t *confstate.Tenancy, r api.DeskRequest, id string, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	request := &rpc.GenerateRequest{
		RequestId: id, Tenancy: t.Name, Pool: r.Pool, Model: r.Model, Prompt: r.Prompt,
		MaxTokens: uint32(r.MaxTokens), Unsafe: r.Unsafe, TimeoutMs: remainingMS(ctx),
	}
	out := newOutput(id, r.RequestID, emit)
	if err := d.stream(ctx, host, request, out.add); err != nil {
		return nil, err
	}
	if !out.assembler.Complete() {
		return nil, &errs.Interrupted{Operation: "generate", Reason: "the answer ended before its last part"}
	}
	if out.assembler.Uncertain() {
		return nil, uncertainAnswer(id)
	}
	return &api.DeskReply{
		RequestID: r.RequestID, Output: out.assembler.Text(), Versions: out.assembler.Versions(), Tokens: int(out.assembler.Tokens()),
	}, nil
}

func (d *deskService) stream(ctx context.Context, host string, request *rpc.GenerateRequest, add func(*rpc.GenerateChunk) error) error {
	if host == d.self {
		return d.executor.Generate(ctx, &job{GenerateRequest: request, kind: routing.Desk}, add)
	}
	peer, err := d.peer(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peer.Generate(ctx, request)
	if err != nil {
		return err
	}
	for {
		chunk, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := add(chunk); err != nil {
			return err
		}
	}
}

// uncertainAnswer reports an answer of weights whose version is not certain, as after a load
// that failed halfway. It is discarded, and repeated if that is safe.
func uncertainAnswer(request string) error {
	return &errs.Corrupt{What: "answer to " + request, Detail: "a part has no certain weight version"}
}

// output joins the chunks of one answer and passes on its text in order.
type output struct {
	assembler *engine.Assembler
	publicID  string
	emit      func(api.DeskChunk) error
	sent      int
}

func newOutput(id, publicID string, emit func(api.DeskChunk) error) *output {
	return &output{assembler: engine.NewAssembler(id, 0), publicID: publicID, emit: emit}
}

func (o *output) add(c *rpc.GenerateChunk) error {
	_, err := o.assembler.Add(engine.Chunk{
		RequestID: c.RequestId, Seq: c.Seq, Offset: c.Offset, Text: c.Text, Tokens: c.Tokens,
		Version: c.Version, Done: c.Done, Total: c.Total,
	})
	if err != nil || o.emit == nil {
		return err
	}
	if o.assembler.Uncertain() {
		return uncertainAnswer(c.RequestId)
	}
	length, complete := o.assembler.Len(), o.assembler.Complete()
	if length == o.sent && !complete {
		return nil
	}
	chunk := api.DeskChunk{
		RequestID: o.publicID, Offset: uint64(o.sent), Text: o.assembler.TextFrom(o.sent), Version: c.Version, Done: complete,
	}
	if complete {
		chunk.Total = uint64(length)
	}
	o.sent = length
	return o.emit(chunk)
}

// remainingMS returns the time left until the deadline of ctx.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return api.DefaultTimeout.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
