package joined

import (
	"fmt"
	"strconv"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/ledger"
)

const (
	trainerNode   = trainerHome + "-trainer"
	fetchInterval = 400 * time.Millisecond
)

// trainerStep is the state of a step at its trainer. pendingBatch is fetched but not yet
// acknowledged, and texts are its payloads by slot.
type trainerStep struct {
	sim          *simulation
	name         string
	slots        int
	prompts      []string // by slot
	opened       bool
	ackedBatch   uint64
	pendingBatch *ledger.Batch
	texts        map[int]string
	done         bool
}

// openStep starts a trainer that opens a step and fetches its samples until it is complete.
func (sim *simulation) openStep(groups, samples int) {
	s := &trainerStep{sim: sim, name: "step" + strconv.Itoa(sim.nextID()), slots: groups * samples}
	sim.steps = append(sim.steps, s)
	command := ledger.OpenStep{Tenancy: tenancy, Step: s.name, Model: model, StalenessBound: stalenessBound, DeadlineMs: sim.now().Add(time.Hour).UnixMilli()}
	for i := range groups {
		prompt := fmt.Sprintf("%s.%d:", s.name, i)
		command.Groups = append(command.Groups, ledger.Group{Prompt: prompt, Samples: samples, MaxTokens: 8})
		for range samples {
			s.prompts = append(s.prompts, prompt)
		}
	}
	if sim.brokenGuarantee == "P2" {
		command.StalenessBound++
	}
	s.poll(command)
}

// poll repeats the open request until it succeeds, and then fetches until the step is complete.
func (s *trainerStep) poll(command ledger.OpenStep) {
	if s.done {
		return
	}
	s.sim.net.After(fetchInterval, func() { s.poll(command) })
	if !s.opened {
		s.sim.sendToLeader(trainerNode, trainerHome, func(g *domainGroup) func() {
			if r := g.applyLedger(ledger.Command{OpenStep: &command}); r.Failure != nil {
				return nil
			}
			return func() { s.opened = true }
		})
		return
	}
	f := ledger.Fetch{Tenancy: tenancy, Step: s.name, Ack: s.ackedBatch, MaxSamples: 3}
	if s.pendingBatch != nil {
		f.Ack, f.AckRevision = s.pendingBatch.Number, s.pendingBatch.Revision
	}
	s.sim.sendToLeader(trainerNode, trainerHome, func(g *domainGroup) func() {
		r, texts := g.fetch(f)
		return func() { s.handleFetch(f, r, texts) }
	})
}

// handleFetch handles the reply to the current fetch; replies to earlier ones are dropped.
func (s *trainerStep) handleFetch(f ledger.Fetch, r ledger.Result, texts map[int]string) {
	switch {
	case s.done || s.pendingBatch == nil && f.Ack != s.ackedBatch,
		s.pendingBatch != nil && (f.Ack != s.pendingBatch.Number || f.AckRevision != s.pendingBatch.Revision):
	case r.Failure != nil:
		if errs.CodeOf(r.Failure) == errs.CodeConflict {
			s.pendingBatch = nil // samples were withdrawn from the batch
		}
	default:
		if s.pendingBatch != nil {
			s.sim.recordAcks(s.name, s.pendingBatch.Samples)
			for _, sample := range s.pendingBatch.Samples {
				s.sim.checkAnswer(fmt.Sprint(s.name, "/", sample.Slot), s.prompts[sample.Slot], s.texts[sample.Slot])
			}
			s.ackedBatch, s.pendingBatch = s.pendingBatch.Number, nil
		}
		if len(r.Batch.Samples) > 0 {
			s.pendingBatch, s.texts = r.Batch, texts
		}
		s.done = r.Batch.Complete
	}
}

// publish publishes the next version of the trainer's model.
func (sim *simulation) publish() {
	sim.publishedVersion++
	sim.publishUntilApplied(sim.publishedVersion, new(bool))
}

func (sim *simulation) publishUntilApplied(version uint64, applied *bool) {
	if *applied {
		return
	}
	sim.net.After(fetchInterval, func() { sim.publishUntilApplied(version, applied) })
	sim.sendToLeader(trainerNode, trainerHome, func(g *domainGroup) func() {
		g.applyLedger(ledger.Command{Publish: &ledger.Publish{Tenancy: tenancy, Model: model, Version: version}})
		g.apply(domainstate.EncodeDesiredVersion(domainstate.DesiredVersion{Model: model, Version: version}))
		return func() { *applied = true }
	})
}
