package entry

import (
	"fmt"
	"time"

	"fuchsiaflow/accounts"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
)

// cutOffRetryAfter is the Retry-After value of a host that must not accept keys until it is in contact again. The load balancer
// removes such a host within that time.
const cutOffRetryAfter = time.Second

func newRefusalCounter(m *observe.Metrics) *observe.Counter {
	verdict := observe.Label{Name: "verdict"}
	for _, v := range accounts.Refusals {
		verdict.Values = append(verdict.Values, string(v))
	}
	return m.Counter("account_refusals_total", "Requests refused for their key, or since this host cannot judge it.", verdict)
}

// Incoming is a request whose body has not been read.
type Incoming struct {
	ID, Host, Path string
	// Keys are the values of the key header, one for each line.
	Keys []string
}

// Admit returns who sent a request for a route, or an error if the request must not run.
func (e *Entry) Admit(t *clusterview.Tables, route *routes.Route, in *Incoming) (forward.Caller, error) {
	account, verdict := e.decide(t, route, in)
	if verdict != accounts.Allowed {
		return forward.Caller{}, e.refusal(in, verdict)
	}
	return forward.Caller{Account: account.Name, Priority: account.Priority, HidesKey: t.Accounts.NeedsKeys()}, nil
}

func (e *Entry) decide(t *clusterview.Tables, route *routes.Route, in *Incoming) (accounts.Account, accounts.Verdict) {
	if !t.Accounts.NeedsKeys() {
		return accounts.Account{}, accounts.Allowed
	}
	host := accounts.Host{Confirmed: e.view.LeaderReported(), Revocation: e.opts.Settings.Revocation}
	if host.Revocation.Strict {
		host.MajorityAge = e.view.MajorityAge()
	}
	return t.Accounts.Decide(route, in.Keys, host)
}

// refusal logs and counts a request that must not run, and returns the error for its caller.
func (e *Entry) refusal(in *Incoming, verdict accounts.Verdict) error {
	err := verdictError(in, verdict)
	e.refusals.Inc(string(verdict))
	e.LogRefusal(in.ID, in.Host, in.Path, err, "verdict", string(verdict))
	return err
}

func verdictError(in *Incoming, verdict accounts.Verdict) error {
	switch verdict {
	case accounts.NotConfirmed:
		return errNotConfirmed
	case accounts.CutOff:
		return &errs.Overloaded{Resource: "host that hears no majority of the voters", After: cutOffRetryAfter}
	}
	return &errs.Unauthenticated{Realm: fmt.Sprintf("%q", in.Host+in.Path), Credential: "key"}
}

// JobCaller is who sent a call about an existing batch job.
type JobCaller struct {
	Incoming
	account string
	// withoutKey is set if the caller sent no key although the configuration has accounts.
	withoutKey bool
}

// key returns the key of the job that the caller means by an ID.
func (c *JobCaller) key(job string) jobs.Key { return jobs.Key{Owner: c.account, ID: job} }

// AdmitJobCall returns who sent a call about an existing batch job, or an error if the call must not run. One without a key
// reaches jobs without an owner.
func (e *Entry) AdmitJobCall(t *clusterview.Tables, in *Incoming) (*JobCaller, error) {
	account, verdict := e.decide(t, nil, in)
	switch verdict {
	case accounts.Allowed:
		return &JobCaller{Incoming: *in, account: account.Name}, nil
	case accounts.KeyMissing:
		return &JobCaller{Incoming: *in, withoutKey: true}, nil
	}
	return nil, e.refusal(in, verdict)
}

// hideOwned replaces the error for a caller without a key that there is no job without an owner: a key might reach one.
func (e *Entry) hideOwned(caller *JobCaller, err error) error {
	if caller.withoutKey && errs.CodeOf(err) == errs.CodeNotFound {
		return e.refusal(&caller.Incoming, accounts.KeyMissing)
	}
	return err
}
