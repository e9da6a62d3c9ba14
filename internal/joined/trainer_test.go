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
	trainerNode = home + "-trainer"
	fetchTime   = 400 * time.Millisecond
)

// trainerStep is a step as its trainer sees it. Open is the batch that is fetched and not
// acknowledged.
type trainerStep struct {
	w       *world
	name    string
	slots   int
	prompts []string // by slot
	opened  bool
	cursor  uint64
	open    *ledger.Batch
	texts   map[int]string
	done    bool
}

// openStep starts a trainer that opens a step and fetches it to its end.
func (w *world) openStep(groups, samples int) {
	s := &trainerStep{w: w, name: "step" + strconv.Itoa(w.number()), slots: groups * samples}
	w.steps = append(w.steps, s)
	command := ledger.OpenStep{Tenancy: tenancy, Step: s.name, Model: model, StalenessBound: bound, DeadlineMs: w.now().Add(time.Hour).UnixMilli()}
	for i := range groups {
		prompt := fmt.Sprintf("%s.%d:", s.name, i)
		command.Groups = append(command.Groups, ledger.Group{Prompt: prompt, Samples: samples, MaxTokens: 8})
		for range samples {
			s.prompts = append(s.prompts, prompt)
		}
	}
	if w.fault == "P2" {
		command.StalenessBound++
	}
	s.loop(command)
}

// loop repeats the open request until it is answered, and fetches until the step is complete.
func (s *trainerStep) loop(command ledger.OpenStep) {
	if s.done {
		return
	}
	s.w.net.After(fetchTime, func() { s.loop(command) })
	if !s.opened {
		s.w.ask(trainerNode, home, func(g *group) func() {
			if r := g.ledger(ledger.Command{OpenStep: &command}); r.Failure != nil {
				return nil
			}
			return func() { s.opened = true }
		})
		return
	}
	f := ledger.Fetch{Tenancy: tenancy, Step: s.name, Ack: s.cursor, MaxSamples: 3}
	if s.open != nil {
		f.Ack, f.AckRevision = s.open.Number, s.open.Revision
	}
	s.w.ask(trainerNode, home, func(g *group) func() {
		r, texts := g.fetch(f)
		return func() { s.fetched(f, r, texts) }
	})
}

// fetched takes the answer to the present request; answers to earlier ones are dropped.
func (s *trainerStep) fetched(f ledger.Fetch, r ledger.Result, texts map[int]string) {
	switch {
	case s.done || s.open == nil && f.Ack != s.cursor,
		s.open != nil && (f.Ack != s.open.Number || f.AckRevision != s.open.Revision):
	case r.Failure != nil:
		if errs.CodeOf(r.Failure) == errs.CodeConflict {
			s.open = nil // samples were withdrawn from the batch
		}
	default:
		if s.open != nil {
			s.w.acknowledged(s.name, s.open.Samples)
			for _, sample := range s.open.Samples {
				s.w.answered(fmt.Sprint(s.name, "/", sample.Slot), s.prompts[sample.Slot], s.texts[sample.Slot])
			}
			s.cursor, s.open = s.open.Number, nil
		}
		if len(r.Batch.Samples) > 0 {
			s.open, s.texts = r.Batch, texts
		}
		s.done = r.Batch.Complete
	}
}

// publish raises the version of the trainer's model.
func (w *world) publish() {
	w.newest++
	w.publishUntilApplied(w.newest, new(bool))
}

func (w *world) publishUntilApplied(version uint64, applied *bool) {
	if *applied {
		return
	}
	w.net.After(fetchTime, func() { w.publishUntilApplied(version, applied) })
	w.ask(trainerNode, home, func(g *group) func() {
		g.ledger(ledger.Command{Publish: &ledger.Publish{Tenancy: tenancy, Model: model, Version: version}})
		g.apply(domainstate.EncodeDesiredVersion(domainstate.DesiredVersion{Model: model, Version: version}))
		return func() { *applied = true }
	})
}
