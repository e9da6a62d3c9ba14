package runner

import (
	"context"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/storestate"
)

// proposeRetry is the pause before a command that was not taken is proposed again.
const proposeRetry = 100 * time.Millisecond

// propose commits a command and calls done in the duty. It is repeated until it succeeds or the
// leadership ends; all commands of the runner are idempotent.
func (r *Runner) propose(c *storestate.Command, done func(now time.Time, reply storestate.Reply)) {
	data, ctx, term := storestate.EncodeCommand(c), r.ctx, r.term
	r.kern.Go("runner/propose", func(context.Context) error {
		begin := bootclock.Now()
		for {
			out, err := r.o.Group.Propose(ctx, data)
			if err == nil {
				r.metrics.commit.Observe(bootclock.Now().Sub(begin).Seconds())
				var reply storestate.Reply
				if reply, err = storestate.DecodeReply(out); err == nil {
					r.post(term, func(now time.Time) { done(now, reply) })
					return nil
				}
			}
			if ctx.Err() != nil {
				return nil
			}
			r.o.Log.Warn("command not committed", "term", term, "error", err)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(proposeRetry):
			}
		}
	})
}
