package runner

import (
	"context"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/storestate"
)

// proposeRetryDelay is the delay before a failed proposal is retried.
const proposeRetryDelay = 100 * time.Millisecond

// propose commits a command and calls done from the runner's loop. The proposal is retried until it
// succeeds or the leadership ends. Retries are safe because all commands of the runner are
// idempotent.
func (r *Runner) propose(c *storestate.Command, done func(now time.Time, reply storestate.Reply)) {
	data, ctx, term := storestate.EncodeCommand(c), r.ctx, r.term
	r.kernel.Go("runner/propose", func(context.Context) error {
		begin := bootclock.Now()
		for {
			out, err := r.opts.Group.Propose(ctx, data)
			if err == nil {
				r.metrics.commitDuration.Observe(bootclock.Now().Sub(begin).Seconds())
				var reply storestate.Reply
				if reply, err = storestate.DecodeReply(out); err == nil {
					r.enqueue(term, func(now time.Time) { done(now, reply) })
					return nil
				}
			}
			if ctx.Err() != nil {
				return nil
			}
			r.opts.Log.Warn("proposal of a command failed, retrying", "term", term, "error", err)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(proposeRetryDelay):
			}
		}
	})
}
