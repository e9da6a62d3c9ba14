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
	deskTimeout        = 8 * time.Second
	claimTimeout       = 4 * time.Second
	claimRetryInterval = 400 * time.Millisecond
)

// submission is one attempt of a caller to send a desk request through an entry host.
// Submissions with the same key are the same unsafe request.
type submission struct{ id, key, prompt, home string }

// replyFunc receives the answer to a request, or an error.
type replyFunc func(text string, err error)

// submit sends a request to an entry host and checks the reply.
func (sim *simulation) submit(s *submission, entry string) {
	caller := Domain(entry) + "-caller"
	sim.net.SendOnce(caller, entry, func() {
		h := sim.hosts[entry]
		reply := func(text string, err error) {
			sim.net.SendOnce(entry, caller, func() { sim.handleReply(s, text, err) })
		}
		if h.draining || h.activeConfig().Version == 0 {
			reply("", &errs.Unavailable{Resource: entry, Reason: "not ready"})
			return
		}
		sim.requestAccepted(entry, s.id)
		h.openDeskRequests++
		h.handleSubmission(s, func(text string, err error) {
			h.openDeskRequests--
			sim.requestCompleted(entry, s.id)
			reply(text, err)
		})
	})
}

// handleReply checks an answer, or records the outcome that the caller was told.
func (sim *simulation) handleReply(s *submission, text string, err error) {
	switch {
	case err == nil:
		sim.checkAnswer(s.id, s.prompt, text)
	case errs.OutcomeOf(err) == errs.NotRun || sim.brokenGuarantee == "P5":
		sim.eventCounts["not run"]++
		sim.notRun[s.id] = true
	default:
		sim.eventCounts["unknown"]++
	}
}

// handleSubmission executes a request. An unsafe request joins one with the same key that is in
// progress on this host, or is executed under a claim of its key.
func (h *host) handleSubmission(s *submission, done replyFunc) {
	call := retry.Call{Idempotent: s.key == "", Claimed: s.key != "", Deadline: h.sim.now().Add(deskTimeout), Budget: h.budget, Rand: h.random}
	if s.key == "" || h.sim.brokenGuarantee == "P6" {
		h.attempt(s, call, done)
		return
	}
	if run := h.claims[s.key]; run != nil {
		run.callbacks = append(run.callbacks, done)
		return
	}
	run := &claimedRequest{h: h, s: s, call: call, callbacks: []replyFunc{done}, deadline: h.sim.now().Add(claimTimeout)}
	h.claims[s.key] = run
	run.beginClaim()
}

// attempt sends the request to a target owner of the domain, and retries a failure if the retry
// policy allows it.
func (h *host) attempt(s *submission, call retry.Call, done replyFunc) {
	h.budget.RecordRequest(h.sim.now())
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
		d := retry.Decide(h.sim.now(), call, err)
		call.EarlierOutcome = retry.CombineOutcomes(call.EarlierOutcome, errs.OutcomeOf(err))
		if !d.Retry {
			done("", &errs.Remote{Code: errs.CodeOf(err), Outcome: d.FinalOutcome})
			return
		}
		h.sim.eventCounts["retried"]++
		h.sim.net.After(d.After, func() {
			if h.up {
				h.attempt(s, call, done)
			}
		})
	}
	h.sim.net.After(attemptTimeout, func() { end("", &errs.Interrupted{Operation: "generate", Reason: "no answer from the owner"}) })
	live := h.liveHosts()
	name := live[h.random.IntN(len(live))]
	h.sim.net.SendOnce(h.name, name, func() {
		owner := h.sim.hosts[name]
		back := func(text string, err error) { h.sim.net.SendOnce(name, h.name, func() { end(text, err) }) }
		if !owner.up || owner.draining && owner != h {
			back("", &errs.Unavailable{Resource: name, Reason: "it takes no requests"})
			return
		}
		owner.sim.requestAccepted(name, "run/"+id)
		f := &inFlightRequest{id: id, key: s.key, prompt: s.prompt}
		f.done = func(text string, _ *engine.Assembler, err error) {
			owner.sim.requestCompleted(name, "run/"+id)
			back(text, err)
		}
		owner.enqueue(f, routing.Request{Kind: routing.Desk, Tenancy: "desk", Deadline: call.Deadline})
	})
}

// claimedRequest is an unsafe request that a host executes under a claim of its key.
type claimedRequest struct {
	h             *host
	s             *submission
	call          retry.Call
	callbacks     []replyFunc
	deadline      time.Time
	heldElsewhere bool // another host was seen holding the claim
	settled       bool // no further claim is proposed
}

func (c *claimedRequest) command(kind retry.CommandKind) retry.ClaimCommand {
	return retry.ClaimCommand{Kind: kind, Tenancy: "desk", Key: c.s.key, Digest: c.s.prompt, Host: c.h.name,
		Incarnation: c.h.claimIncarnation, TTLMillis: time.Hour.Milliseconds()}
}

func (c *claimedRequest) reply(text string, err error) {
	for _, done := range c.callbacks {
		done(text, err)
	}
	c.callbacks = nil
}

// propose sends a command to the home of the request and calls onResult with the result, unless
// either message is lost.
func (c *claimedRequest) propose(command retry.ClaimCommand, onResult func(retry.ClaimResult)) {
	c.h.sim.sendToLeader(c.h.name, c.s.home, func(g *domainGroup) func() {
		r := g.applyClaim(command)
		return func() {
			if c.h.up {
				onResult(r)
			}
		}
	})
}

// ownsClaim reports whether this process holds the claim, even if the reply that granted it was
// lost.
func (c *claimedRequest) ownsClaim(r retry.ClaimResult) bool {
	return (r.Status == retry.Granted || r.Status == retry.InProgress) && r.Host == c.h.name && r.Incarnation == c.h.claimIncarnation
}

// beginClaim proposes a claim of the key repeatedly until it is settled or the deadline passes.
func (c *claimedRequest) beginClaim() {
	if !c.h.up || c.settled {
		return
	}
	if c.h.sim.now().After(c.deadline) {
		c.settled = true
		if c.replyUndecided(); !c.heldElsewhere {
			c.release()
			return
		}
		delete(c.h.claims, c.s.key)
		return
	}
	c.propose(c.command(retry.Begin), c.handleBeginResult)
	c.h.sim.net.After(claimRetryInterval, c.beginClaim)
}

// replyUndecided fails the request after its claim was not settled before the deadline.
func (c *claimedRequest) replyUndecided() {
	if c.heldElsewhere {
		c.reply("", &errs.Interrupted{Operation: "unsafe request", Reason: "it runs on another host"})
		return
	}
	c.reply("", &errs.Unavailable{Resource: "home " + c.s.home, Reason: "it does not answer"})
}

func (c *claimedRequest) handleBeginResult(r retry.ClaimResult) {
	switch {
	case c.settled:
	case c.ownsClaim(r):
		c.settled = true
		c.h.attempt(c.s, c.call, func(text string, err error) { c.finish(r, text, err) })
	case r.Status == retry.Stale:
		c.h.claimIncarnation = max(c.h.claimIncarnation, r.Incarnation) + 1
	case r.Status == retry.InProgress:
		c.heldElsewhere = true
	case r.Status == retry.Done:
		c.h.sim.eventCounts["repeated"]++
		c.complete(string(r.Answer), nil)
	default:
		c.complete("", &errs.Interrupted{Operation: "unsafe request", Reason: string(r.Status)})
	}
}

// complete ends the request and replies to all its callers.
func (c *claimedRequest) complete(text string, err error) {
	c.settled = true
	delete(c.h.claims, c.s.key)
	c.reply(text, err)
}

// finish proposes the outcome until the home has recorded it, and then replies.
func (c *claimedRequest) finish(granted retry.ClaimResult, text string, err error) {
	command := c.command(retry.Finish)
	command.Incarnation, command.GrantID, command.Outcome, command.Answer = granted.Incarnation, granted.GrantID, retry.Ran, []byte(text)
	if err != nil {
		command.Outcome, command.Answer = errs.OutcomeOf(err), nil
	}
	c.proposeUntilApplied(command, func() { c.complete(text, err) })
}

func (c *claimedRequest) proposeUntilApplied(command retry.ClaimCommand, done func()) {
	if !c.h.up || c.h.claims[c.s.key] != c {
		return
	}
	c.propose(command, func(retry.ClaimResult) {
		if c.h.claims[c.s.key] == c {
			done()
		}
	})
	c.h.sim.net.After(claimRetryInterval, func() { c.proposeUntilApplied(command, done) })
}

// release gives up a claim that this host may hold although it has not dispatched the request.
func (c *claimedRequest) release() {
	if !c.h.up || c.h.claims[c.s.key] != c {
		return
	}
	c.propose(c.command(retry.Begin), func(r retry.ClaimResult) {
		if c.h.claims[c.s.key] != c {
			return
		}
		if !c.ownsClaim(r) {
			delete(c.h.claims, c.s.key)
			return
		}
		command := c.command(retry.Finish)
		command.Incarnation, command.GrantID, command.Outcome = r.Incarnation, r.GrantID, retry.NotRun
		c.proposeUntilApplied(command, func() { delete(c.h.claims, c.s.key) })
	})
	c.h.sim.net.After(claimRetryInterval, c.release)
}
