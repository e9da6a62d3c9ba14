// Package stateclient is the client of the store hosts' state group. From any host it sends typed
// commands and queries to the group's leader. All commands are idempotent, so they are retried
// until their outcome is known or the caller's context ends.
package stateclient

import (
	"context"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/leader"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/origins"
	"fuchsiaflow/quarantine"
)

const (
	// attemptTimeout limits one call, so that an unresponsive host does not use up the caller's
	// deadline.
	attemptTimeout = 1500 * time.Millisecond
	// announceTimeout limits one attempt to announce a store host.
	announceTimeout = 400 * time.Millisecond
)

// LocalReplica is the replica on the client's own host. It is called directly instead of over RPC.
type LocalReplica interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Read(ctx context.Context, query []byte) ([]byte, error)
	Present(ctx context.Context, s clusterview.StoreHost) error
	DemandShare(d ratelimit.Demand) (ratelimit.Grant, error)
}

// Client calls the leader of the state group.
type Client struct {
	view       *clusterview.View
	selfIP     string       // IP address of this host
	local      LocalReplica // nil on a host without a replica
	peerClient func(host string) (rpc.PeerClient, error)

	requests, announcements leader.Finder
}

// New returns a client for the host with the IP address selfIP. local is nil on a host without a
// replica. peerClient returns the RPC client for another host.
func New(view *clusterview.View, selfIP string, local LocalReplica, peerClient func(string) (rpc.PeerClient, error)) *Client {
	c := &Client{view: view, selfIP: selfIP, local: local, peerClient: peerClient}
	for finder, timeout := range map[*leader.Finder]time.Duration{&c.requests: attemptTimeout, &c.announcements: announceTimeout} {
		finder.KnownLeader = func(string) string {
			id, _ := view.Leader()
			return clusterview.ReplicaIP(id)
		}
		finder.Candidates = func(string, int) []string { return view.StoreIPs() }
		finder.AttemptTimeout = timeout
	}
	return c
}

func (c *Client) isLocal(host string) bool {
	return c.local != nil && clusterview.ReplicaIP(host) == c.selfIP
}

// propose executes a command on the leader. It returns errs.Unavailable if the state group ignored the command.
func (c *Client) propose(ctx context.Context, cmd *storestate.Command) (storestate.Reply, error) {
	data := storestate.EncodeCommand(cmd)
	out, err := c.requests.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isLocal(host) {
			return c.local.Propose(ctx, data)
		}
		peer, err := c.peerClient(host)
		if err != nil {
			return nil, err
		}
		reply, err := peer.Propose(ctx, &rpc.ProposeRequest{Group: storestate.Group, Command: data})
		if err != nil {
			return nil, err
		}
		return reply.Result, nil
	})
	if err != nil {
		return storestate.Reply{}, err
	}
	reply, err := storestate.DecodeReply(out)
	if err == nil && reply.Ignored() {
		err = &errs.Unavailable{Resource: "command", Reason: "the state group cannot decode it", Outcome: errs.NotRun}
	}
	return reply, err
}

// read executes a query on the leader.
func (c *Client) read(ctx context.Context, q *storestate.Query) (storestate.Answer, error) {
	data := storestate.Encode(q)
	out, err := c.requests.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isLocal(host) {
			return c.local.Read(ctx, data)
		}
		peer, err := c.peerClient(host)
		if err != nil {
			return nil, err
		}
		reply, err := peer.Read(ctx, &rpc.ReadRequest{Group: storestate.Group, Query: data})
		if err != nil {
			return nil, err
		}
		return reply.Result, nil
	})
	if err != nil {
		return storestate.Answer{}, err
	}
	return clusterview.Decode[storestate.Answer]("answer to a query", out)
}

// PutConfig stores a configuration. It has no effect unless its version is higher than that of the
// configuration in force.
func (c *Client) PutConfig(ctx context.Context, p storestate.PutConfig) (storestate.Reply, error) {
	return c.propose(ctx, &storestate.Command{PutConfig: &p})
}

// Config returns the configuration in force, unchanged from what the operator sent.
func (c *Client) Config(ctx context.Context) (storestate.PutConfig, error) {
	a, err := c.read(ctx, &storestate.Query{Config: true})
	if err == nil && a.NotFound {
		err = &errs.Unavailable{Resource: "configuration", Reason: "none has been stored", Outcome: errs.NotRun}
	}
	return a.Config, err
}

// PutVersion records a weight version of a model.
func (c *Client) PutVersion(ctx context.Context, model string, version uint64) error {
	_, err := c.propose(ctx, &storestate.Command{PutVersion: &storestate.PutVersion{Model: model, Version: version}})
	return err
}

// DepartTarget records that a target has announced that it leaves.
func (c *Client) DepartTarget(ctx context.Context, d fleet.Departure) error {
	_, err := c.propose(ctx, &storestate.Command{DepartTarget: &d})
	return err
}

// NoticeDeparture records that this host has seen the departure of a target in an answer.
func (c *Client) NoticeDeparture(ctx context.Context, d fleet.Departure) error {
	_, err := c.propose(ctx, &storestate.Command{NoticeDeparture: &storestate.NoticeDeparture{Departure: d, Host: c.selfIP}})
	return err
}

// ReportCrash records that a target has crashed while it ran a request.
func (c *Client) ReportCrash(ctx context.Context, crash quarantine.Crash) error {
	_, err := c.propose(ctx, &storestate.Command{RecordCrash: &crash})
	return err
}

// ReportAnswer records that a target has answered a request under which targets had crashed.
func (c *Client) ReportAnswer(ctx context.Context, f quarantine.Fingerprint) error {
	_, err := c.propose(ctx, &storestate.Command{RecordAnswer: &storestate.RecordAnswer{Fingerprint: f}})
	return err
}

// RequestTrial asks for a trial of a request in quarantine whose entry has not changed after a revision. It must not
// be repeated: a grant whose answer is lost is used up.
func (c *Client) RequestTrial(ctx context.Context, f quarantine.Fingerprint, revision uint64) (granted bool, err error) {
	r, err := c.propose(ctx, &storestate.Command{GrantTrial: &storestate.GrantTrial{Fingerprint: f, Revision: revision}})
	return err == nil && r.Changed, err
}

// RecordOrigin stores what began a stream.
func (c *Client) RecordOrigin(ctx context.Context, o origins.Origin) error {
	_, err := c.propose(ctx, &storestate.Command{RecordOrigin: &o})
	return err
}

// Origin returns what began a stream, if that is stored.
func (c *Client) Origin(ctx context.Context, stream string) (o origins.Origin, known bool, err error) {
	a, err := c.read(ctx, &storestate.Query{Origin: stream})
	if err != nil || a.Origin == nil {
		return origins.Origin{}, false, err
	}
	return *a.Origin, true, nil
}

// RecordUsage stores what this host has counted of the requests of client accounts.
func (c *Client) RecordUsage(ctx context.Context, r storestate.RecordUsage) error {
	_, err := c.propose(ctx, &storestate.Command{RecordUsage: &r})
	return err
}

// SubmitJob stores a batch job and reports whether the job is new.
func (c *Client) SubmitJob(ctx context.Context, j jobs.Job) (bool, error) {
	r, err := c.propose(ctx, &storestate.Command{SubmitJob: &j})
	return r.Changed, err
}

// JobResults returns results of the batch job that a caller means, starting at position after. If there is none yet, it
// waits for one, at most for the duration wait. The owner in the key is the client account of the caller, here and in the
// other calls about existing jobs; see jobs.Table.Find.
func (c *Client) JobResults(ctx context.Context, job jobs.Key, after, maxBytes int, wait time.Duration) (jobs.Page, error) {
	a, err := c.read(ctx, &storestate.Query{Results: &storestate.ReadPage{Job: job.ID, Caller: job.Owner, Position: after, MaxBytes: maxBytes,
		WaitMs: int(wait.Milliseconds())}})
	if err == nil && a.NotFound {
		err = &errs.NotFound{Kind: "batch job", ID: job.ID}
	}
	return a.Page, err
}

// ItemBody returns the body of an item that has no result yet.
func (c *Client) ItemBody(ctx context.Context, job jobs.Key, item string) ([]byte, error) {
	a, err := c.read(ctx, &storestate.Query{Body: &storestate.ReadBody{Job: job.ID, Caller: job.Owner, Item: item}})
	if err == nil && a.NotFound {
		err = &errs.NotFound{Kind: "item of a batch job", ID: item}
	}
	return a.Body, err
}

// EndJob ends a batch job.
func (c *Client) EndJob(ctx context.Context, job jobs.Key) error {
	r, err := c.propose(ctx, &storestate.Command{EndJob: &storestate.EndJob{Job: job.ID, Caller: job.Owner}})
	if err == nil && r.NotFound {
		err = &errs.NotFound{Kind: "batch job", ID: job.ID}
	}
	return err
}

// Retire starts the removal of all state from a store host. It does nothing if that has already
// started.
func (c *Client) Retire(ctx context.Context, host string) error {
	a, err := c.read(ctx, &storestate.Query{Retirement: &storestate.ReadRetirement{Host: host}})
	switch {
	case err != nil:
		return err
	case a.Retiring:
		return nil
	case a.NotFound:
		return &errs.NotFound{Kind: "store host", ID: host}
	case a.TooFew:
		return &errs.Conflict{Kind: "store host", ID: host, Stored: "too few other store hosts", Received: "a request to retire it"}
	}
	_, err = c.propose(ctx, &storestate.Command{RetireHost: &storestate.RetireHost{Host: host, Address: a.Address}})
	return err
}

// Retired reports whether a store host that is being retired no longer holds any state.
func (c *Client) Retired(ctx context.Context, host string) (bool, error) {
	a, err := c.read(ctx, &storestate.Query{Retirement: &storestate.ReadRetirement{Host: host}})
	if err == nil && !a.Retiring {
		err = &errs.NotFound{Kind: "retirement of store host", ID: host}
	}
	return a.Emptied, err
}

// DemandShare tells the leader of limits, and asks it for a share of one of them.
func (c *Client) DemandShare(ctx context.Context, d ratelimit.Demand) (ratelimit.Grant, error) {
	data := clusterview.Encode(d)
	out, err := c.requests.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isLocal(host) {
			g, err := c.local.DemandShare(d)
			return clusterview.Encode(g), err
		}
		peer, err := c.peerClient(host)
		if err != nil {
			return nil, err
		}
		reply, err := peer.DemandShare(ctx, &rpc.DemandShareRequest{Demand: data})
		if err != nil {
			return nil, err
		}
		return reply.Grant, nil
	})
	if err != nil {
		return ratelimit.Grant{}, err
	}
	return clusterview.Decode[ratelimit.Grant]("share of a limit", out)
}

// Present announces a store host to the leader of the state group.
func (c *Client) Present(ctx context.Context, s clusterview.StoreHost) error {
	_, err := c.announcements.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isLocal(host) {
			return nil, c.local.Present(ctx, s)
		}
		peer, err := c.peerClient(host)
		if err != nil {
			return nil, err
		}
		_, err = peer.Present(ctx, &rpc.PresentRequest{Store: clusterview.Encode(s)})
		return nil, err
	})
	return err
}
