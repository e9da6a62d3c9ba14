package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// Call sends a request to a plain service.
func (c *Client) Call(ctx context.Context, addr string, r CallRequest) (CallReply, error) {
	var reply CallReply
	err := c.exchange(ctx, c.clientFor(addr, r.Unsafe), "call", addr, c.builder(addr).Post("/v1/call").BodyJSON(r), &reply)
	if err != nil {
		return CallReply{}, err
	}
	if reply.RequestID != r.RequestID {
		return CallReply{}, &ResponseMismatch{Target: addr, Want: r.RequestID, Got: reply.RequestID}
	}
	return reply, nil
}

// Order sends an order to a target. It uses a new connection and cancels an order that expires before
// it is sent. It fails with code conflict if the target has seen a higher fencing token.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	tracker := &writeTracker{}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, writeTrackerKey{}, tracker))
	defer cancel()
	// The target does not start an order after its expiry, but loading may take longer than that.
	// Therefore only an order that has not been sent is cancelled here.
	expiry := time.AfterFunc(time.Until(o.ExpiresAt), func() {
		if !tracker.wrote() {
			cancel()
		}
	})
	defer expiry.Stop()
	body := OrderBody{Kind: o.Kind, Model: o.Model, Version: o.Version, Role: o.Role, Fence: o.Fence, ExpiresMS: o.ExpiresAt.UnixMilli(), InFlight: o.InFlight}
	err := c.exchange(ctx, c.unpooled, "order", addr, c.builder(addr).Post("/v1/orders").BodyJSON(body), nil)
	if err != nil && !tracker.wrote() && !time.Now().Before(o.ExpiresAt) {
		return &errs.Deadline{Operation: "order", Outcome: errs.NotRun}
	}
	var status *StatusError
	if errors.As(err, &status) && status.Code == http.StatusConflict {
		return &StaleFence{Target: addr, Fence: o.Fence}
	}
	return err
}

type requestIDBody struct {
	RequestID string `json:"request_id"`
}

// Cancel cancels a request. It returns nil if the target does not know the request.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) error {
	err := c.exchange(ctx, c.clientFor(addr, false), "cancel", addr, c.builder(addr).Post("/v1/cancel").BodyJSON(requestIDBody{requestID}), nil)
	var status *StatusError
	if errors.As(err, &status) && status.Code == http.StatusNotFound {
		return nil
	}
	return err
}

// State gets the state of a target. It uses a new connection, because net/http retries a GET when a
// reused connection breaks.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var s State
	err := c.exchange(ctx, c.unpooled, "state", addr, c.builder(addr).Get("/v1/state"), &s)
	return s, err
}

// ExportKV gets the KV cache of a request from an engine.
func (c *Client) ExportKV(ctx context.Context, addr, requestID string) (KV, error) {
	var kv KV
	err := c.exchange(ctx, c.clientFor(addr, false), "KV export", addr, c.builder(addr).Post("/v1/kv/export").BodyJSON(requestIDBody{requestID}), &kv)
	if err == nil && kv.RequestID != requestID {
		return KV{}, &ResponseMismatch{Target: addr, Want: requestID, Got: kv.RequestID}
	}
	return kv, err
}

// ImportKV sends a KV cache to another engine, which can then resume the request.
func (c *Client) ImportKV(ctx context.Context, addr string, kv KV) error {
	if int64(len(kv.Data)) > c.options.MaxResponseBytes {
		return &errs.TooLarge{What: "KV cache of request " + kv.RequestID, Limit: c.options.MaxResponseBytes}
	}
	return c.exchange(ctx, c.clientFor(addr, false), "KV import", addr, c.builder(addr).Post("/v1/kv/import").BodyJSON(kv), nil)
}
