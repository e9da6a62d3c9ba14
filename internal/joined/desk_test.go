package joined

import (
	"strconv"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/retry"
	"fuchsiaflow/routing"
)

const (
	deskTime   = 8 * time.Second
	claimTime  = 4 * time.Second
	claimPause = 400 * time.Millisecond
)

// submission is a desk request as one caller sent it to one host. Submissions with the same
// key are the same unsafe request.
type submission struct{ id, key, prompt, home string }

type answer func(text string, err error)

// submit sends a request to an entry host and checks what comes back.
func (w *world) submit(s *submission, entry string) {
	caller := Domain(entry) + "-caller"
	w.net.Stream(caller, entry, func() {
		h := w.hosts[entry]
		reply := func(text string, err error) {
			w.net.Stream(entry, caller, func() { w.replied(s, text, err) })
		}
		if h.draining || h.active().Version == 0 {
			reply("", &errs.Unavailable{Resource: entry, Reason: "not ready"})
			return
		}
		w.accepted(entry, s.id)
		h.serving++
		h.serve(s, func(text string, err error) {
			h.serving--
			w.settled(entry, s.id)
			reply(text, err)
		})
	})
}

func (w *world) replied(s *submission, text string, err error) {
	switch {
	case err == nil:
		w.answered(s.id, s.prompt, text)
	case errs.OutcomeOf(err) == errs.NotRun || w.fault == "P5":
		w.seen["not run"]++
		w.notRun[s.id] = true
	default:
		w.seen["unknown"]++
	}
}

func (h *host) serve(s *submission, done answer) {
	call := retry.Call{Idempotent: s.key == "", Claimed: s.key != "", Deadline: h.w.now().Add(deskTime), Budget: h.budget, Rand: h.random}
	if s.key == "" || h.w.fault == "P6" {
		h.attempt(s, call, done)
		return
	}
	if run := h.claims[s.key]; run != nil {
		run.waiting = append(run.waiting, done)
		return
	}
	run := &claimRun{h: h, s: s, call: call, waiting: []answer{done}, until: h.w.now().Add(claimTime)}
	h.claims[s.key] = run
	run.begin()
}

// attempt sends the request to an owner of the domain and decides on what follows a failure.
func (h *host) attempt(s *submission, call retry.Call, done answer) {
	h.budget.RecordRequest(h.w.now())
	call.Attempt++
	id := s.id + "." + strconv.Itoa(call.Attempt)
	ended := false
	end := func(text string, err error) {
		if ended || !h.up {
			return
		}
		if ended = true; err == nil {
			done(text, nil)
			return
		}
		d := retry.Decide(h.w.now(), call, err)
		call.EarlierOutcome = retry.CombineOutcomes(call.EarlierOutcome, errs.OutcomeOf(err))
		if !d.Retry {
			done("", &errs.Remote{Code: errs.CodeOf(err), Outcome: d.FinalOutcome})
			return
		}
		h.w.seen["retried"]++
		h.w.net.After(d.After, func() {
			if h.up {
				h.attempt(s, call, done)
			}
		})
	}
	h.w.net.After(attemptIn, func() { end("", &errs.Interrupted{Operation: "generate", Reason: "the owner is silent"}) })
	live := h.live()
	name := live[h.random.IntN(len(live))]
	h.w.net.Stream(h.name, name, func() {
		owner := h.w.hosts[name]
		back := func(text string, err error) { h.w.net.Stream(name, h.name, func() { end(text, err) }) }
		if !owner.up || owner.draining && owner != h {
			back("", &errs.Unavailable{Resource: name, Reason: "it takes no requests"})
			return
		}
		owner.w.accepted(name, "run/"+id)
		f := &flight{id: id, key: s.key, prompt: s.prompt}
		f.done = func(text string, _ *engine.Assembler, err error) {
			owner.w.settled(name, "run/"+id)
			back(text, err)
		}
		owner.run(f, routing.Request{Kind: routing.Desk, Tenancy: "desk", Deadline: call.Deadline})
	})
}

// claimRun is the run of an unsafe request with a key on one host.
type claimRun struct {
	h         *host
	s         *submission
	call      retry.Call
	waiting   []answer
	until     time.Time
	elsewhere bool // another host was seen with the claim
	over      bool // the claim is decided
}

func (c *claimRun) command(kind retry.CommandKind) retry.ClaimCommand {
	return retry.ClaimCommand{Kind: kind, Tenancy: "desk", Key: c.s.key, Digest: c.s.prompt, Host: c.h.name,
		Incarnation: c.h.claimIncarnation, TTLMillis: time.Hour.Milliseconds()}
}

func (c *claimRun) answer(text string, err error) {
	for _, done := range c.waiting {
		done(text, err)
	}
	c.waiting = nil
}

func (c *claimRun) propose(command retry.ClaimCommand, decided func(retry.ClaimResult)) {
	c.h.w.ask(c.h.name, c.s.home, func(g *group) func() {
		r := g.claim(command)
		return func() {
			if c.h.up {
				decided(r)
			}
		}
	})
}

// owned reports whether this process holds the claim, also when the grant itself was lost.
func (c *claimRun) owned(r retry.ClaimResult) bool {
	return (r.Status == retry.Granted || r.Status == retry.InProgress) && r.Host == c.h.name && r.Incarnation == c.h.claimIncarnation
}

// begin claims the key and repeats until the claim is decided.
func (c *claimRun) begin() {
	if !c.h.up || c.over {
		return
	}
	if c.h.w.now().After(c.until) {
		c.over = true
		if c.answerUndecided(); !c.elsewhere {
			c.release()
			return
		}
		delete(c.h.claims, c.s.key)
		return
	}
	c.propose(c.command(retry.Begin), c.begun)
	c.h.w.net.After(claimPause, c.begin)
}

func (c *claimRun) answerUndecided() {
	if c.elsewhere {
		c.answer("", &errs.Interrupted{Operation: "unsafe request", Reason: "it runs on another host"})
		return
	}
	c.answer("", &errs.Unavailable{Resource: "home " + c.s.home, Reason: "it does not answer"})
}

func (c *claimRun) begun(r retry.ClaimResult) {
	switch {
	case c.over:
	case c.owned(r):
		c.over = true
		c.h.attempt(c.s, c.call, func(text string, err error) { c.finish(r, text, err) })
	case r.Status == retry.Stale:
		c.h.claimIncarnation = max(c.h.claimIncarnation, r.Incarnation) + 1
	case r.Status == retry.InProgress:
		c.elsewhere = true
	case r.Status == retry.Done:
		c.h.w.seen["repeated"]++
		c.decided(string(r.Answer), nil)
	default:
		c.decided("", &errs.Interrupted{Operation: "unsafe request", Reason: string(r.Status)})
	}
}

func (c *claimRun) decided(text string, err error) {
	c.over = true
	delete(c.h.claims, c.s.key)
	c.answer(text, err)
}

// finish records the outcome until the home has it, and answers then.
func (c *claimRun) finish(granted retry.ClaimResult, text string, err error) {
	command := c.command(retry.Finish)
	command.Incarnation, command.GrantID, command.Outcome, command.Answer = granted.Incarnation, granted.GrantID, retry.Ran, []byte(text)
	if err != nil {
		command.Outcome, command.Answer = errs.OutcomeOf(err), nil
	}
	c.untilApplied(command, func() { c.decided(text, err) })
}

func (c *claimRun) untilApplied(command retry.ClaimCommand, done func()) {
	if !c.h.up || c.h.claims[c.s.key] != c {
		return
	}
	c.propose(command, func(retry.ClaimResult) {
		if c.h.claims[c.s.key] == c {
			done()
		}
	})
	c.h.w.net.After(claimPause, func() { c.untilApplied(command, done) })
}

// release frees a key that this host may hold without having dispatched anything.
func (c *claimRun) release() {
	if !c.h.up || c.h.claims[c.s.key] != c {
		return
	}
	c.propose(c.command(retry.Begin), func(r retry.ClaimResult) {
		if c.h.claims[c.s.key] != c {
			return
		}
		if !c.owned(r) {
			delete(c.h.claims, c.s.key)
			return
		}
		command := c.command(retry.Finish)
		command.Incarnation, command.GrantID, command.Outcome = r.Incarnation, r.GrantID, retry.NotRun
		c.untilApplied(command, func() { delete(c.h.claims, c.s.key) })
	})
	c.h.w.net.After(claimPause, c.release)
}
