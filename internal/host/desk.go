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
	// bytesPerToken is used to estimate the tokens of a prompt, because only the models have
	// tokenizers.
	bytesPerToken = 4
	// maxRetryRatio is the maximum ratio of retries to requests. Without a limit, retries keep a
	// slow pool slow.
	maxRetryRatio = 0.1
)

// deskService serves desk requests, which are latency-sensitive and, unlike samples, not part of a
// training step. It reserves quota, claims the idempotency key if there is one, picks a host that
// owns suitable targets, and retries a request if that is safe.
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

	mu          sync.Mutex
	random      *rand.Rand
	retryBudget *retry.Budget
}

// Do implements api.DeskService.
func (d *deskService) Do(ctx context.Context, tenancy string, r api.DeskRequest, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	cfg := d.config.Current()
	if cfg == nil {
		return nil, &errs.Unavailable{Resource: "host", Reason: "no configuration is in force"}
	}
	t, pool, err := d.validate(cfg, tenancy, r)
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
	d.metrics.recordDeskRequest(time.Since(start), err)
	return reply, err
}

// settle replaces the reserved quota by the actual usage. A failed request that may have run keeps
// its whole reservation.
func (d *deskService) settle(r api.DeskRequest, reply *api.DeskReply, err error) {
	switch {
	case err == nil && !reply.Repeated:
		d.quota.Settle(r.RequestID, len(r.Prompt)/bytesPerToken+reply.Tokens)
	case err == nil || errs.OutcomeOf(err) == errs.NotRun:
		d.quota.Settle(r.RequestID, 0)
	}
}

// validate returns the tenancy and the pool of a request, or an error if the request does not suit
// them.
func (d *deskService) validate(cfg *confstate.Config, tenancy string, r api.DeskRequest) (*confstate.Tenancy, *confstate.Pool, error) {
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
		return nil, nil, &errs.Invalid{Path: "$", Want: "prompt for an engine pool, body for a service pool", Got: "the other field"}
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
	if r.IdempotencyKey != "" {
		return d.serveClaimed(ctx, t, pool, r, emit)
	}
	return d.runWithRetries(ctx, t, pool, r, retry.Call{Idempotent: safe}, emit)
}

// serveClaimed runs a request with a key at most once, even if the request is not marked unsafe: a
// caller that sends a key expects a single run. The answer is emitted in one part when it is
// complete, because a resent request may be served from the stored answer.
func (d *deskService) serveClaimed(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	claim := claimRequest{claimID: claimID{tenancy: t.Name, key: r.IdempotencyKey}, homeDomain: t.Home, digest: requestDigest(r)}
	answer, repeated, err := d.claims.Do(ctx, claim, func(ctx context.Context) ([]byte, error) {
		reply, err := d.runWithRetries(ctx, t, pool, markUnsafe(r), retry.Call{Claimed: true}, nil)
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
		return &reply, emitWholeReply(&reply, emit)
	}
	return &reply, nil
}

// markUnsafe returns a copy of r that is marked unsafe, so that no connection sends it twice.
func markUnsafe(r api.DeskRequest) api.DeskRequest {
	r.Unsafe = true
	return r
}

// emitWholeReply emits a complete reply as a single chunk.
func emitWholeReply(reply *api.DeskReply, emit func(api.DeskChunk) error) error {
	text := reply.Output
	if len(reply.Body) > 0 {
		text = string(reply.Body)
	}
	return emit(api.DeskChunk{RequestID: reply.RequestID, Text: text, Done: true, Total: uint64(len([]rune(text)))})
}

// requestDigest returns a digest of the content of a request. Each part is hashed with its length,
// so that different requests cannot have the same concatenation.
func requestDigest(r api.DeskRequest) string {
	h := sha256.New()
	for _, part := range []string{r.Pool, r.Model, r.Prompt, strconv.Itoa(r.MaxTokens), string(r.Body)} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// runWithRetries runs a request until it succeeds or must not be retried.
func (d *deskService) runWithRetries(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, call retry.Call, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	call.Deadline, _ = ctx.Deadline()
	d.mu.Lock()
	d.retryBudget.RecordRequest(time.Now())
	d.mu.Unlock()
	emitted := false
	recordingEmit := emit
	if emit != nil {
		recordingEmit = func(c api.DeskChunk) error {
			emitted = true
			return emit(c)
		}
	}
	var unavailableHosts []string
	for call.Attempt = 1; ; call.Attempt++ {
		host, reply, err := d.runAttempt(ctx, t, pool, r, call.Attempt, unavailableHosts, recordingEmit)
		if err == nil {
			return reply, nil
		}
		if errs.CodeOf(err) == errs.CodeUnavailable {
			unavailableHosts = append(unavailableHosts, host)
		}
		decision := d.decideRetry(call, err)
		// After a part was emitted there is no retry, because another run could produce a different
		// text.
		if !decision.Retry || emitted || !sleep(ctx, decision.After) {
			return nil, withOutcome(err, retry.CombineOutcomes(call.EarlierOutcome, errs.OutcomeOf(err)))
		}
		call.EarlierOutcome = retry.CombineOutcomes(call.EarlierOutcome, errs.OutcomeOf(err))
	}
}

func (d *deskService) decideRetry(call retry.Call, err error) retry.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	call.Budget, call.Rand = d.retryBudget, d.random
	return retry.Decide(time.Now(), call, err)
}

// withOutcome returns err with the combined outcome of all attempts. That the last attempt did not
// run says nothing about the earlier ones.
func withOutcome(err error, outcome errs.Outcome) error {
	if errs.OutcomeOf(err) == outcome {
		return err
	}
	return &errs.Remote{Code: errs.CodeOf(err), Outcome: outcome, Message: err.Error(), After: errs.RetryAfterOf(err)}
}

// runAttempt runs a request once and returns the host that it picked. It picks a host in avoid only
// if there is no other.
func (d *deskService) runAttempt(ctx context.Context, t *confstate.Tenancy, pool *confstate.Pool, r api.DeskRequest, number int, avoid []string, emit func(api.DeskChunk) error) (string, *api.DeskReply, error) {
	// Each attempt has its own ID, so that late chunks of an earlier attempt can be ignored.
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
		run = d.callService
	}
	reply, err := run(ctx, host, t, r, id, emit)
	return host, reply, err
}

// maxTargetWait limits how long a request waits until a target of its pool is known. A host that
// has just started receives the summaries of the other hosts within a gossip round.
const (
	maxTargetWait      = time.Second
	targetPollInterval = 25 * time.Millisecond
)

// pickHost returns a host that owns suitable targets. It waits up to maxTargetWait until one is known.
func (d *deskService) pickHost(ctx context.Context, r api.DeskRequest, id, tenancy string, avoid []string) (string, error) {
	request := routing.Request{
		ID: id, Kind: routing.Desk, Tenancy: tenancy, Pool: r.Pool, Model: r.Model, Domain: d.domain, AvoidHosts: avoid,
	}
	if r.Prompt != "" {
		request.PrefixKeys = prefixKeys(r.Prompt)
	}
	for until := time.Now().Add(maxTargetWait); ; {
		now := time.Now()
		summaries := d.members.Summaries(now)
		d.mu.Lock()
		host, ok := routing.PickHost(now, request, summaries, d.random)
		d.mu.Unlock()
		if ok {
			return host, nil
		}
		if now.After(until) || !sleep(ctx, targetPollInterval) {
			return "", &errs.Unavailable{Resource: "pool " + r.Pool, Reason: "no target is known"}
		}
	}
}

func (d *deskService) callService(ctx context.Context, host string, t *confstate.Tenancy, r api.DeskRequest, id string, emit func(api.DeskChunk) error) (*api.DeskReply, error) {
	request := &rpc.CallRequest{RequestId: id, Tenancy: t.Name, Pool: r.Pool, Body: r.Body, Unsafe: r.Unsafe, TimeoutMs: remainingMS(ctx)}
	var reply *rpc.CallReply
	var err error
	if host == d.self {
		reply, err = d.executor.Call(ctx, request)
	} else {
		reply, err = d.callRemote(ctx, host, request)
	}
	if err != nil {
		return nil, err
	}
	answer := &api.DeskReply{RequestID: r.RequestID, Body: reply.Body, Tokens: 1}
	if emit != nil {
		return answer, emitWholeReply(answer, emit)
	}
	return answer, nil
}

func (d *deskService) callRemote(ctx context.Context, host string, request *rpc.CallRequest) (*rpc.CallReply, error) {
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
	answer := newAnswerStream(id, r.RequestID, emit)
	if err := d.stream(ctx, host, request, answer.add); err != nil {
		return nil, err
	}
	if !answer.assembler.Complete() {
		return nil, &errs.Interrupted{Operation: "generate", Reason: "the answer ended before its last chunk"}
	}
	if answer.assembler.Uncertain() {
		return nil, uncertainAnswerError(id)
	}
	return &api.DeskReply{
		RequestID: r.RequestID, Output: answer.assembler.Text(), Versions: answer.assembler.Versions(), Tokens: int(answer.assembler.Tokens()),
	}, nil
}

func (d *deskService) stream(ctx context.Context, host string, request *rpc.GenerateRequest, add func(*rpc.GenerateChunk) error) error {
	if host == d.self {
		return d.executor.Generate(ctx, &dispatchRequest{GenerateRequest: request, kind: routing.Desk}, add)
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

// uncertainAnswerError returns the error for an answer generated by weights of an uncertain
// version, as after a failed load. Such an answer is discarded, and the request is retried if that
// is safe.
func uncertainAnswerError(request string) error {
	return &errs.Corrupt{What: "answer to " + request, Detail: "the weight version of a part is uncertain"}
}

// answerStream assembles the chunks of one answer and emits its text in order.
type answerStream struct {
	assembler *engine.Assembler
	publicID  string // ID of the request, without the number of the attempt
	emit      func(api.DeskChunk) error
	emitted   int // characters emitted so far
}

func newAnswerStream(id, publicID string, emit func(api.DeskChunk) error) *answerStream {
	return &answerStream{assembler: engine.NewAssembler(id, 0), publicID: publicID, emit: emit}
}

func (s *answerStream) add(c *rpc.GenerateChunk) error {
	_, err := s.assembler.Add(engine.Chunk{
		RequestID: c.RequestId, Seq: c.Seq, Offset: c.Offset, Text: c.Text, Tokens: c.Tokens,
		Version: c.Version, Done: c.Done, Total: c.Total,
	})
	if err != nil || s.emit == nil {
		return err
	}
	if s.assembler.Uncertain() {
		return uncertainAnswerError(c.RequestId)
	}
	length, complete := s.assembler.Len(), s.assembler.Complete()
	if length == s.emitted && !complete {
		return nil
	}
	chunk := api.DeskChunk{
		RequestID: s.publicID, Offset: uint64(s.emitted), Text: s.assembler.TextFrom(s.emitted), Version: c.Version, Done: complete,
	}
	if complete {
		chunk.Total = uint64(length)
	}
	s.emitted = length
	return s.emit(chunk)
}

// remainingMS returns the time until the deadline of ctx in milliseconds, at least 1, or the
// default timeout if there is no deadline.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return api.DefaultTimeout.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
