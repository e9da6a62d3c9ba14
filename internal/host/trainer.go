package host

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/ledger"
)

// fetchPollInterval is the interval at which a waiting fetch asks the home domain for samples.
const fetchPollInterval = 50 * time.Millisecond

// trainerService serves trainers. Every decision is made by the domain group of the tenancy's home,
// through commands and queries; this host only collects the payloads.
type trainerService struct {
	config   *configService
	groups   *groupClient
	payloads *payloadService
	log      *slog.Logger
	metrics  *hostMetrics
}

func (s *trainerService) findTenancy(name string) (*confstate.Config, *confstate.Tenancy, error) {
	cfg := s.config.Current()
	if cfg == nil {
		return nil, nil, &errs.Unavailable{Resource: "host", Reason: "no configuration is in force"}
	}
	t := cfg.Tenancy(name)
	if t == nil {
		return nil, nil, &errs.NotFound{Kind: "tenancy", ID: name}
	}
	return cfg, t, nil
}

// OpenStep implements api.TrainerService.
func (s *trainerService) OpenStep(ctx context.Context, tenancy string, r api.OpenStepRequest) (*api.OpenStepReply, error) {
	cfg, t, err := s.findTenancy(tenancy)
	if err != nil {
		return nil, err
	}
	if err := validateStep(cfg, t, r); err != nil {
		return nil, err
	}
	command := &ledger.OpenStep{
		Tenancy: tenancy, Step: r.Step, Model: r.Model, Pool: r.Pool, StalenessBound: stalenessBound(t),
		DeadlineMs: time.Now().Add(time.Duration(r.TimeoutMS) * time.Millisecond).UnixMilli(),
	}
	for _, g := range r.Groups {
		command.Groups = append(command.Groups, ledger.Group{Prompt: g.Prompt, Samples: g.Samples, MaxTokens: g.MaxTokens})
	}
	result, err := s.applyCommand(ctx, t.Home, ledger.Command{OpenStep: command})
	if err != nil {
		return nil, err
	}
	return &api.OpenStepReply{Step: r.Step, Slots: result.Opened.Slots}, nil
}

// stalenessBound returns the staleness bound of a tenancy, or 0 if it has none.
func stalenessBound(t *confstate.Tenancy) uint64 {
	if t.StalenessBound == nil {
		return 0
	}
	return *t.StalenessBound
}

// validateStep checks the model and the pool of a step against the tenancy.
func validateStep(cfg *confstate.Config, t *confstate.Tenancy, r api.OpenStepRequest) error {
	if r.Model != t.Model {
		return &errs.Invalid{Path: "$.model", Want: "the model of the tenancy, " + t.Model, Got: strconv.Quote(r.Model)}
	}
	pool := cfg.Pool(r.Pool)
	if pool == nil || !slices.Contains(t.Pools, r.Pool) {
		return &errs.NotFound{Kind: "pool of tenancy " + t.Name, ID: r.Pool}
	}
	if pool.Kind != confstate.Engine || !slices.Contains(pool.Models, r.Model) {
		return &errs.Invalid{Path: "$.pool", Want: "an engine pool that serves model " + r.Model, Got: strconv.Quote(r.Pool)}
	}
	return nil
}

// Publish implements api.TrainerService.
func (s *trainerService) Publish(ctx context.Context, tenancy string, r api.PublishRequest) (*api.PublishReply, error) {
	_, t, err := s.findTenancy(tenancy)
	if err != nil {
		return nil, err
	}
	if r.Model != t.Model {
		return nil, &errs.Invalid{Path: "$.model", Want: "the model of the tenancy, " + t.Model, Got: strconv.Quote(r.Model)}
	}
	result, err := s.applyCommand(ctx, t.Home, ledger.Command{Publish: &ledger.Publish{Tenancy: tenancy, Model: r.Model, Version: r.Version}})
	if err != nil {
		return nil, err
	}
	return &api.PublishReply{Model: r.Model, Newest: result.NewestVersion}, nil
}

// Step implements api.TrainerService.
func (s *trainerService) Step(ctx context.Context, tenancy, step string) (*api.StepStatus, error) {
	_, t, err := s.findTenancy(tenancy)
	if err != nil {
		return nil, err
	}
	status, err := s.stepStatus(ctx, t.Home, tenancy, step)
	if err != nil {
		return nil, err
	}
	return &api.StepStatus{
		Step: step, Slots: status.Slots, Planned: status.Planned, Ready: status.Ready, Delivered: status.Batched,
		Acknowledged: status.Acknowledged, Missing: status.Missing, Cursor: status.Cursor, Closed: status.Closed, Complete: status.Finished,
	}, nil
}

// Fetch implements api.TrainerService. If payloads of the batch are lost, it reports them, so that their
// slots are planned again, and fetches again.
func (s *trainerService) Fetch(ctx context.Context, tenancy, step string, r api.FetchRequest) (*api.FetchReply, error) {
	_, t, err := s.findTenancy(tenancy)
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(time.Duration(r.WaitMS) * time.Millisecond)
	for {
		if err := s.awaitSamples(ctx, t, step, r, until); err != nil {
			return nil, err
		}
		batch, err := s.fetchBatch(ctx, t, step, r)
		if err != nil {
			return nil, err
		}
		samples, lost := s.payloads.Collect(ctx, batch.Samples)
		if len(lost) > 0 {
			if err := s.reportLostPayloads(ctx, t, step, lost); err != nil {
				return nil, err
			}
			continue
		}
		if len(batch.Samples) > 0 || batch.Complete || batch.Closed || !time.Now().Before(until) {
			s.metrics.samplesDelivered.Add(float64(len(samples)))
			return fetchReply(batch, samples), nil
		}
		if !sleep(ctx, fetchPollInterval) {
			return nil, &errs.Deadline{Operation: "fetch", Outcome: errs.Ran}
		}
	}
}

// awaitSamples polls until a fetch would acknowledge or deliver something, or until the given time.
// Polling with queries adds no entries to the replicated log.
func (s *trainerService) awaitSamples(ctx context.Context, t *confstate.Tenancy, step string, r api.FetchRequest, until time.Time) error {
	for time.Now().Before(until) {
		status, err := s.stepStatus(ctx, t.Home, t.Name, step)
		if err != nil {
			return err
		}
		if r.Ack != status.Cursor || r.Version > status.NewestVersion || status.Ready+status.Batched > 0 || status.Closed || status.Finished {
			return nil
		}
		if !sleep(ctx, fetchPollInterval) {
			return &errs.Deadline{Operation: "fetch", Outcome: errs.NotRun}
		}
	}
	return nil
}

func (s *trainerService) fetchBatch(ctx context.Context, t *confstate.Tenancy, step string, r api.FetchRequest) (*ledger.Batch, error) {
	result, err := s.applyCommand(ctx, t.Home, ledger.Command{Fetch: &ledger.Fetch{
		Tenancy: t.Name, Step: step, Ack: r.Ack, MaxSamples: r.Max, TrainerVersion: r.Version, AckRevision: r.AckRevision,
	}})
	if err != nil {
		return nil, err
	}
	return result.Batch, nil
}

// reportLostPayloads tells the home domain which payloads are lost, so that their slots are planned
// again.
func (s *trainerService) reportLostPayloads(ctx context.Context, t *confstate.Tenancy, step string, lost []ledger.SampleRef) error {
	for _, ref := range lost {
		s.log.Warn("sample payload is lost, its slot is planned again", "tenancy", t.Name, "step", step, "slot", ref.Slot)
		_, err := s.applyCommand(ctx, t.Home, ledger.Command{PayloadLost: &ledger.PayloadLost{
			Tenancy: t.Name, Step: step, Slot: ref.Slot, Attempt: ref.Attempt,
		}})
		if err != nil {
			return err
		}
	}
	return nil
}

func fetchReply(b *ledger.Batch, samples []api.Sample) *api.FetchReply {
	reply := &api.FetchReply{
		Batch: b.Number, Revision: b.Revision, Samples: samples, Withdrawn: b.Withdrawn,
		Remaining: b.Ready + len(b.Missing), Complete: b.Complete,
	}
	if len(samples) == 0 {
		reply.Batch = 0
	}
	if b.Closed {
		reply.Missing = b.Missing
	}
	return reply
}

// applyCommand commits a ledger command in the domain group of the home domain.
func (s *trainerService) applyCommand(ctx context.Context, homeDomain string, c ledger.Command) (ledger.Result, error) {
	data, err := domainstate.EncodeLedger(c)
	if err != nil {
		return ledger.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	data, err = s.groups.ProposeIdempotent(ctx, domainGroup(homeDomain), data)
	if err != nil {
		return ledger.Result{}, err
	}
	result, err := domainstate.DecodeLedgerResult(data)
	if err != nil {
		return result, err
	}
	return result, result.Failure
}

// stepStatus queries the status of a step from the home domain.
func (s *trainerService) stepStatus(ctx context.Context, homeDomain, tenancy, step string) (ledger.StepStatus, error) {
	query, err := domainstate.EncodeLedgerQuery(domainstate.LedgerQuery{Tenancy: tenancy, Step: step})
	if err != nil {
		return ledger.StepStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	data, err := s.groups.Read(ctx, domainGroup(homeDomain), query)
	if err != nil {
		return ledger.StepStatus{}, err
	}
	list, err := domainstate.DecodeSteps(data)
	if err != nil {
		return ledger.StepStatus{}, err
	}
	return list[0], nil
}
