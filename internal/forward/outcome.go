package forward

import (
	"net/http"
	"strconv"
	"time"

	"fuchsiaflow/internal/bootclock"
)

// refuse responds with status 503 and a Retry-After time. The request must not have run.
func (c *call) refuse(after time.Duration, reason string) {
	c.w.Header().Set(c.forwarder.headers.RetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.fail(http.StatusServiceUnavailable, reason)
}

// fail responds with an error that originates from this host rather than from a target.
func (c *call) fail(status int, reason string) {
	if c.id != "" {
		c.w.Header().Set(c.forwarder.headers.RequestID, c.id)
	}
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = c.w.Write([]byte(reason + "\n")) // a caller that has disconnected needs no response
	c.finish(reason, status, nil, nil)
}

// failExhausted responds to a request for which no more attempts are possible.
func (c *call) failExhausted() {
	c.awaitCrashReports()
	switch {
	case c.possibleRuns > 0:
		c.fail(http.StatusBadGateway, "no usable answer from a target")
	case c.limitWait > 0:
		patience := time.Duration(returnShare * float64(c.deadline.Sub(bootclock.Now())))
		c.refuse(c.forwarder.limiter.RetryAfter(c.service, c.forwarder.view.Serving(c.service), patience), "all targets are at their limits")
	case c.overloaded:
		c.refuse(c.retryWait, "no target is expected to answer in time")
	case c.retryWait > 0:
		c.refuse(c.retryWait, "all targets have failed")
	case c.attempts == 0:
		c.refuse(retryAfterNoTarget, "no target serves "+c.service)
	case c.sawRejection:
		c.refuse(retryAfterFull, "all targets are full")
	default:
		c.refuse(retryAfterUnreachable, "no target can be reached")
	}
}

// failTimeout ends a request whose context is done, because of its deadline, because the host stops or because the
// caller has disconnected. In the last case there is no response.
func (c *call) failTimeout() error {
	switch {
	case c.req.Context().Err() != nil:
		return c.abort("client gone", 0, nil, nil)
	case c.possibleRuns > 0 && c.forwarder.shutdown.Ended():
		c.fail(http.StatusGatewayTimeout, "no answer before this host stops")
	case c.possibleRuns > 0:
		c.fail(http.StatusGatewayTimeout, "no answer in time")
	default:
		c.refuse(retryAfterFull, "no target available in time")
	}
	return nil
}

// abort ends a request whose response cannot be completed. The caller of the forwarder must close the
// connection, so that the response does not look complete.
func (c *call) abort(outcome string, status int, by *choice, err error) error {
	c.finish(outcome, status, by, err)
	return &AbortedResponse{Request: c.id, Reason: outcome}
}

// finish logs the end of the request and updates the metrics. by is the target that answered, nil if none did.
func (c *call) finish(outcome string, status int, by *choice, err error) {
	took := bootclock.Now().Sub(c.startedAt)
	c.forwarder.metrics.requestFinished(string(c.route.Kind), status, took)
	if by != nil {
		c.forwarder.shutdown.Record(c.route.Name, took)
	}
	args := []any{"request", c.id, "route", c.route.Name, "service", c.service, "config", c.configVersion, "status", status,
		"outcome", outcome, "attempts", c.attempts, "sent", c.possibleRuns, "took_ms", took.Milliseconds(),
		"left_ms", c.deadline.Sub(bootclock.Now()).Milliseconds()}
	args = append(args, by.logArgs(c.startedAt)...)
	if c.caller.Account != "" {
		args = append(args, "account", c.caller.Account)
	}
	if c.bound {
		args = append(args, "release", c.release)
	}
	if c.suspicion.careful {
		args = append(args, "fingerprint", string(c.fingerprint()), "crashes", c.suspicion.known+c.suspicion.crashes)
	}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	c.forwarder.log.Info("request finished", args...)
}
