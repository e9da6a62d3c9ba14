// Package stateclient calls the leader of the store hosts' state group: commands and queries with
// typed results, from any host. All commands are idempotent, so they are repeated until their
// outcome is known or the caller's time is up.
package stateclient

import (
	"context"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/leader"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

const (
	// attemptTimeout bounds one call to a host, so that a silent one does not use up the time.
	attemptTimeout = 1500 * time.Millisecond
	// presentTimeout bounds one announcement of a store host.
	presentTimeout = 400 * time.Millisecond
)

// LocalReplica answers calls on a store host itself.
type LocalReplica interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Read(ctx context.Context, query []byte) ([]byte, error)
	Present(ctx context.Context, s clusterview.StoreHost) error
}

// Client calls the leader.
type Client struct {
	view  *clusterview.View
	self  string       // own address
	local LocalReplica // nil on a host without a replica
	peer  func(host string) (rpc.PeerClient, error)

	calls, presents leader.Finder
}

// New returns a client. local may be nil.
func New(view *clusterview.View, self string, local LocalReplica, peer func(string) (rpc.PeerClient, error)) *Client {
	c := &Client{view: view, self: self, local: local, peer: peer}
	for f, timeout := range map[*leader.Finder]time.Duration{&c.calls: attemptTimeout, &c.presents: presentTimeout} {
		f.KnownLeader = func(string) string {
			id, _ := view.Leader()
			return clusterview.ReplicaIP(id)
		}
		f.Candidates = func(string, int) []string { return view.StoreIPs() }
		f.AttemptTimeout = timeout
	}
	return c
}

func (c *Client) isSelf(host string) bool {
	return c.local != nil && clusterview.ReplicaIP(host) == c.self
}

func (c *Client) propose(ctx context.Context, cmd *storestate.Command) (storestate.Reply, error) {
	data := storestate.EncodeCommand(cmd)
	out, err := c.calls.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isSelf(host) {
			return c.local.Propose(ctx, data)
		}
		peer, err := c.peer(host)
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
	return storestate.DecodeReply(out)
}

func (c *Client) read(ctx context.Context, q *storestate.Query) (storestate.Answer, error) {
	data := storestate.Encode(q)
	out, err := c.calls.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isSelf(host) {
			return c.local.Read(ctx, data)
		}
		peer, err := c.peer(host)
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

// PutConfig stores a configuration. A version that is not higher than the one in force changes
// nothing.
func (c *Client) PutConfig(ctx context.Context, p storestate.PutConfig) (storestate.Reply, error) {
	return c.propose(ctx, &storestate.Command{PutConfig: &p})
}

// Config returns the configuration in force as the operator sent it.
func (c *Client) Config(ctx context.Context) (storestate.PutConfig, error) {
	a, err := c.read(ctx, &storestate.Query{Config: true})
	if err == nil && a.NotFound {
		err = &errs.Unavailable{Resource: "configuration", Reason: "none has been stored", Result: errs.NotRun}
	}
	return a.Config, err
}

// PutVersion names a weight version of a model.
func (c *Client) PutVersion(ctx context.Context, model string, version uint64) error {
	_, err := c.propose(ctx, &storestate.Command{PutVersion: &storestate.PutVersion{Model: model, Version: version}})
	return err
}

// SubmitJob stores a batch job. It reports whether the job is new.
func (c *Client) SubmitJob(ctx context.Context, j jobs.Job) (bool, error) {
	r, err := c.propose(ctx, &storestate.Command{SubmitJob: &j})
	return r.Changed, err
}

// JobResults returns results of a batch job from a position on. It waits for one up to the given
// time.
func (c *Client) JobResults(ctx context.Context, job string, after, maxBytes int, wait time.Duration) (jobs.Page, error) {
	a, err := c.read(ctx, &storestate.Query{Results: &storestate.ReadPage{Job: job, Position: after, MaxBytes: maxBytes,
		WaitMs: int(wait.Milliseconds())}})
	if err == nil && a.NotFound {
		err = &errs.NotFound{Kind: "batch job", ID: job}
	}
	return a.Page, err
}

// ItemBody returns the body of an item that has no result yet.
func (c *Client) ItemBody(ctx context.Context, job, item string) ([]byte, error) {
	a, err := c.read(ctx, &storestate.Query{Body: &storestate.ReadBody{Job: job, Item: item}})
	if err == nil && a.NotFound {
		err = &errs.NotFound{Kind: "item of a batch job", ID: item}
	}
	return a.Body, err
}

// EndJob ends a batch job.
func (c *Client) EndJob(ctx context.Context, job string) error {
	r, err := c.propose(ctx, &storestate.Command{EndJob: &storestate.EndJob{Job: job}})
	if err == nil && r.NotFound {
		err = &errs.NotFound{Kind: "batch job", ID: job}
	}
	return err
}

// Retire starts to empty a store host.
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
		return &errs.Conflict{Kind: "store host", ID: host, Have: "too few others", Got: "a request to empty it"}
	}
	_, err = c.propose(ctx, &storestate.Command{RetireHost: &storestate.RetireHost{Host: host, Address: a.Address}})
	return err
}

// Retired tells whether a store host that is being emptied holds no state any more.
func (c *Client) Retired(ctx context.Context, host string) (bool, error) {
	a, err := c.read(ctx, &storestate.Query{Retirement: &storestate.ReadRetirement{Host: host}})
	if err == nil && !a.Retiring {
		err = &errs.NotFound{Kind: "retirement of store host", ID: host}
	}
	return a.Emptied, err
}

// Present announces a store host to the leader.
func (c *Client) Present(ctx context.Context, s clusterview.StoreHost) error {
	_, err := c.presents.Do(ctx, storestate.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		if c.isSelf(host) {
			return nil, c.local.Present(ctx, s)
		}
		peer, err := c.peer(host)
		if err != nil {
			return nil, err
		}
		_, err = peer.Present(ctx, &rpc.PresentRequest{Store: clusterview.Encode(s)})
		return nil, err
	})
	return err
}
