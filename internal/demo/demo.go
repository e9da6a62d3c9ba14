package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/fakes"
)

// Sizes and intervals of the demo, which takes about ten seconds.
const (
	engineCount    = 9
	serviceCount   = 3
	tokenInterval  = 2 * time.Millisecond
	swapDuration   = 150 * time.Millisecond
	deskInterval   = 60 * time.Millisecond
	deskTimeout    = 10 * time.Second
	stalenessBound = 2
	stepTimeout    = 20 * time.Second
	// readyTimeout bounds the time until all hosts are ready and own all targets.
	readyTimeout = 15 * time.Second
)

// Report holds the counts and events of a run of the demo.
type Report struct {
	SamplesRequested     int               `json:"samples_requested"`
	SamplesDelivered     int               `json:"samples_delivered"`
	SamplesDuplicated    int               `json:"samples_duplicated"`
	SamplesLost          int               `json:"samples_lost"`
	SamplesOverStaleness int               `json:"samples_over_staleness"`
	SamplesMislabelled   int               `json:"samples_mislabelled"`
	SamplesWrong         int               `json:"samples_wrong"`
	SamplesWithdrawn     int               `json:"samples_withdrawn"`
	StalenessMean        float64           `json:"staleness_mean"`
	StalenessMax         uint64            `json:"staleness_max"`
	TrainerIdleSeconds   float64           `json:"trainer_idle_seconds"`
	DeskRequests         int               `json:"desk_requests"`
	DeskAnswers          int               `json:"desk_answers"`
	DeskWrong            int               `json:"desk_wrong"`
	DeskNotRun           int               `json:"desk_not_run"`
	DeskUnknown          int               `json:"desk_unknown"`
	UnsafeExecutedTwice  int               `json:"unsafe_executed_twice"`
	RanAfterNotRun       int               `json:"ran_after_not_run"`
	ConfigApplied        uint64            `json:"config_applied"`
	ConfigVersions       map[string]uint64 `json:"config_versions"`
	Events               []string          `json:"events"`
	Seconds              float64           `json:"seconds"`
}

// GuaranteeViolation is the error for a violated guarantee.
type GuaranteeViolation struct {
	Guarantee string
	Count     int
}

func (e *GuaranteeViolation) Error() string {
	return fmt.Sprintf("guarantee violated: %s (%d times)", e.Guarantee, e.Count)
}

// FailureCode implements errs.Failure.
func (e *GuaranteeViolation) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *GuaranteeViolation) FailureOutcome() errs.Outcome { return errs.Ran }

// Check returns an error for the first violated guarantee, or nil.
func (r *Report) Check() error {
	checks := []GuaranteeViolation{
		{"every sample is delivered", r.SamplesLost + r.SamplesRequested - r.SamplesDelivered},
		{"no sample is delivered twice", r.SamplesDuplicated},
		{"no sample is older than the bound", r.SamplesOverStaleness},
		{"every sample names its versions", r.SamplesMislabelled},
		{"every sample is whole", r.SamplesWrong},
		{"every desk answer is whole", r.DeskWrong},
		{"unsafe requests run at most once", r.UnsafeExecutedTwice},
		{"not run means not run", r.RanAfterNotRun},
	}
	for _, c := range checks {
		if c.Count != 0 {
			return &c
		}
	}
	for host, version := range r.ConfigVersions {
		if version != r.ConfigApplied {
			return &GuaranteeViolation{Guarantee: "the newest configuration is in force on host " + host, Count: 1}
		}
	}
	return nil
}

// demoRun is one execution of the demo.
type demoRun struct {
	input    *Input
	cluster  *Cluster
	recorder *fakes.VersionRecorder
	engines  []*fakes.Engine
	services []*fakes.Service
	trainer  *fakes.Trainer
	desks    map[string]*fakes.Desk
	progress io.Writer
	report   *Report
}

// Run sends the input through a cluster that keeps its data under dir, and writes progress to
// w. If a guarantee is violated, it returns the report together with a *GuaranteeViolation error.
func Run(ctx context.Context, input *Input, dir string, w io.Writer, log *slog.Logger) (*Report, error) {
	start := time.Now()
	cluster, err := NewCluster(3, dir, log)
	if err != nil {
		return nil, err
	}
	r := &demoRun{input: input, cluster: cluster, recorder: fakes.NewVersionRecorder(), progress: w, report: &Report{ConfigVersions: make(map[string]uint64)}}
	defer r.shutdown()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.runWorkload(ctx); err != nil {
		return r.report, err
	}
	r.fillReport()
	r.report.Seconds = time.Since(start).Seconds()
	return r.report, r.report.Check()
}

// logEvent adds an event to the report and prints it.
func (r *demoRun) logEvent(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.report.Events = append(r.report.Events, text)
	fmt.Fprintln(r.progress, text)
}

func (r *demoRun) start(ctx context.Context) error {
	if err := r.cluster.StartAll(ctx); err != nil {
		return err
	}
	r.logEvent("started %d hosts in %d failure domains", len(r.cluster.HostNames()), len(Domains))
	if err := r.applyConfig(ctx, 1); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.cluster.AwaitReady(readyCtx); err != nil {
		return err
	}
	r.logEvent("configuration 1 is in force on all hosts")
	if err := r.startTargets(); err != nil {
		return err
	}
	r.startCallers()
	return r.awaitTargets(readyCtx)
}

// applyConfig submits a configuration through the first running host.
func (r *demoRun) applyConfig(ctx context.Context, version uint64) error {
	body := confstate.CanonicalJSON(Config(version))
	for _, name := range r.cluster.HostNames() {
		if h := r.cluster.Host(name); h != nil {
			reply, err := h.Apply(ctx, body)
			if err == nil {
				r.report.ConfigApplied = reply.Version
			}
			return err
		}
	}
	return &errs.Unavailable{Resource: "cluster", Reason: "no host is running"}
}

func (r *demoRun) startTargets() error {
	for i := range engineCount {
		domain := Domains[i%len(Domains)]
		e, err := fakes.NewEngine(fakes.EngineOptions{
			TargetOptions: fakes.TargetOptions{
				ID: "engine-" + strconv.Itoa(i+1), FailureDomain: domain, Pool: "sorting", Slots: 8,
				Hosts: r.cluster.URLs(domain), AnnounceInterval: 500 * time.Millisecond,
			},
			Models: map[string]uint64{"sorter": 1}, TokenInterval: tokenInterval, SwapDuration: swapDuration, CheckFence: true, VersionRecorder: r.recorder,
		})
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
	}
	for i := range serviceCount {
		domain := Domains[i%len(Domains)]
		s, err := fakes.NewService(fakes.TargetOptions{
			ID: "log-" + strconv.Itoa(i+1), FailureDomain: domain, Pool: "intake-log", Slots: 8,
			Hosts: r.cluster.URLs(domain), AnnounceInterval: 500 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		r.services = append(r.services, s)
	}
	return nil
}

func (r *demoRun) startCallers() {
	urls := r.cluster.URLs("")
	r.trainer = fakes.NewTrainer(fakes.TrainerOptions{
		Hosts: urls, Token: TrainerToken, Model: "sorter", Pool: "sorting", StalenessBound: stalenessBound, VersionRecorder: r.recorder,
		AnswerLossRate: 0.05, Seed: 1,
	})
	r.desks = map[string]*fakes.Desk{
		"sorting":    fakes.NewDesk(fakes.DeskOptions{Hosts: urls, Token: DeskToken, Pool: "sorting", VersionRecorder: r.recorder}),
		"intake-log": fakes.NewDesk(fakes.DeskOptions{Hosts: urls, Token: DeskToken, Pool: "intake-log"}),
	}
}

// awaitTargets waits until the hosts own all targets.
func (r *demoRun) awaitTargets(ctx context.Context) error {
	for {
		owned := 0
		for _, name := range r.cluster.HostNames() {
			owned += r.cluster.Host(name).OwnedTargetCount()
		}
		if owned == engineCount+serviceCount {
			r.logEvent("%d engines and %d services announced themselves", engineCount, serviceCount)
			return nil
		}
		select {
		case <-ctx.Done():
			return &errs.Unavailable{Resource: "targets", Reason: fmt.Sprintf("only %d are owned", owned)}
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// runWorkload runs the trainer's steps while the desks send requests, and injects faults
// between the steps.
func (r *demoRun) runWorkload(ctx context.Context) error {
	deskCtx, stopDesk := context.WithCancel(ctx)
	var desk sync.WaitGroup
	desk.Go(func() { r.sendDeskRequests(deskCtx, ctx) })
	defer desk.Wait()
	defer stopDesk()
	if err := r.trainer.Publish(ctx, 1); err != nil {
		return err
	}
	for i, step := range r.input.Steps {
		if err := r.injectFault(ctx, i); err != nil {
			return err
		}
		began, before := time.Now(), r.trainer.Stats().Delivered
		if err := r.trainer.RunStep(ctx, step.Step, step.Groups, stepTimeout); err != nil {
			return err
		}
		r.logEvent("step %s: %d samples in %.2f s", step.Step, r.trainer.Stats().Delivered-before, time.Since(began).Seconds())
		if err := r.trainer.Publish(ctx, uint64(i+2)); err != nil {
			return err
		}
	}
	return nil
}

// injectFault applies the fault or configuration change that precedes a step, if any.
func (r *demoRun) injectFault(ctx context.Context, step int) error {
	switch step {
	case 1:
		r.engines[0].Crash()
		r.logEvent("engine-1 crashed")
	case 2:
		r.logEvent("host yeka-2 is killed")
		if err := r.engines[0].Restart(); err != nil {
			return err
		}
		return r.cluster.Kill(ctx, "yeka-2")
	case 3:
		if err := r.applyConfig(ctx, 2); err != nil {
			return err
		}
		r.logEvent("configuration %d is accepted", r.report.ConfigApplied)
		r.logEvent("host yeka-2 is started again")
		return r.cluster.Start(ctx, "yeka-2")
	case 4:
		r.logEvent("host akaki-3 is shut down gracefully")
		return r.cluster.Stop(ctx, "akaki-3")
	}
	return nil
}

// sendDeskRequests sends the recorded requests until sendCtx ends, and waits for their answers.
// The requests themselves run under ctx.
func (r *demoRun) sendDeskRequests(sendCtx, ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, request := range r.input.Desk {
		calls.Go(func() { r.sendDeskRequest(ctx, request) })
		select {
		case <-sendCtx.Done():
			return
		case <-time.After(deskInterval):
		}
	}
}

func (r *demoRun) sendDeskRequest(ctx context.Context, request DeskInput) {
	desk, ok := r.desks[request.Pool]
	if !ok {
		return
	}
	// The desk counts answers and failures itself.
	_, _ = desk.Do(ctx, fakes.DeskRequest{
		Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Body: request.Body, IdempotencyKey: request.Key, Unsafe: request.Unsafe, Timeout: deskTimeout,
	})
}

func (r *demoRun) fillReport() {
	t := r.trainer.Stats()
	rep := r.report
	rep.SamplesRequested, rep.SamplesDelivered, rep.SamplesDuplicated = t.Requested, t.Delivered, t.Duplicated
	rep.SamplesLost, rep.SamplesOverStaleness, rep.SamplesMislabelled = t.Lost, t.Stale, t.Mislabelled
	rep.SamplesWrong, rep.SamplesWithdrawn = t.Wrong+t.OutOfOrder, t.Withdrawn
	rep.TrainerIdleSeconds = t.IdleTime.Seconds()
	var sum uint64
	for _, s := range t.Staleness {
		sum += s
		rep.StalenessMax = max(rep.StalenessMax, s)
	}
	if len(t.Staleness) > 0 {
		rep.StalenessMean = float64(sum) / float64(len(t.Staleness))
	}
	for _, d := range r.desks {
		r.addDeskTally(d.Audit(r.executionCount))
	}
	for _, name := range r.cluster.HostNames() {
		if h := r.cluster.Host(name); h != nil {
			rep.ConfigVersions[name] = h.ConfigVersion()
		}
	}
}

func (r *demoRun) addDeskTally(d fakes.DeskStats) {
	rep := r.report
	rep.DeskRequests += d.Requests
	rep.DeskAnswers += d.Answers
	rep.DeskWrong += d.Wrong + d.Mislabelled
	rep.DeskNotRun += d.NotRun
	rep.DeskUnknown += d.Unknown
	rep.UnsafeExecutedTwice += d.UnsafeTwice
	rep.RanAfterNotRun += d.RanAfterNotRun
}

// executionCount returns how often the fake targets executed an input.
func (r *demoRun) executionCount(input string) int {
	n := 0
	for _, e := range r.engines {
		n += e.ExecutionsOfInput(input)
	}
	for _, s := range r.services {
		n += s.ExecutionsOfInput(input)
	}
	return n
}

// stopTimeout bounds the shutdown of the hosts at the end of the demo.
const stopTimeout = 5 * time.Second

func (r *demoRun) shutdown() {
	if r.trainer != nil {
		r.trainer.Close()
	}
	for _, d := range r.desks {
		d.Close()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, s := range r.services {
		s.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	r.cluster.KillAll(ctx)
}

// Print writes the report to w as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "\nsamples   requested %d  delivered %d  duplicated %d  lost %d  withdrawn and generated again %d\n",
		r.SamplesRequested, r.SamplesDelivered, r.SamplesDuplicated, r.SamplesLost, r.SamplesWithdrawn)
	fmt.Fprintf(w, "staleness mean %.2f  max %d  over the bound %d  mislabelled %d\n",
		r.StalenessMean, r.StalenessMax, r.SamplesOverStaleness, r.SamplesMislabelled)
	fmt.Fprintf(w, "desk      requests %d  answers %d  not run %d  unknown %d  unsafe executed twice %d\n",
		r.DeskRequests, r.DeskAnswers, r.DeskNotRun, r.DeskUnknown, r.UnsafeExecutedTwice)
	for _, name := range sortedKeys(r.ConfigVersions) {
		fmt.Fprintf(w, "host      %-8s configuration version %d\n", name, r.ConfigVersions[name])
	}
	fmt.Fprintf(w, "took %.1f s\n", r.Seconds)
}

func sortedKeys(m map[string]uint64) []string { return slices.Sorted(maps.Keys(m)) }
