package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// Call runs a request on a plain service. An unsafe request gets a connection of its own,
// because an idle connection may have stopped responding, which only a request would show.
func (c *Client) Call(ctx context.Context, addr string, r CallRequest) (CallReply, error) {
	hc := c.reused
	if r.Unsafe {
		hc = c.fresh
	}
	var reply CallReply
	err := c.exchange(ctx, hc, "call", addr, c.builder(addr).Post("/v1/call").BodyJSON(r), &reply)
	if err != nil {
		return CallReply{}, err
	}
	if reply.RequestID != r.RequestID {
		return CallReply{}, &WrongAnswer{Target: addr, Want: r.RequestID, Got: reply.RequestID}
	}
	return reply, nil
}

// Order gives an order to a target. It is sent on a new connection and given up when it
// expires, so that it does not wait in a connection beyond its lifetime.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	h := &handover{}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, handoverKey{}, h))
	defer cancel()
	// The target refuses to start the order after its expiry; loading may take longer than
	// that, so only an order that was not sent yet is given up here.
	expiry := time.AfterFunc(time.Until(o.ExpiresAt), func() {
		if !h.happened() {
			cancel()
		}
	})
	defer expiry.Stop()
	body := OrderBody{Kind: o.Kind, Model: o.Model, Version: o.Version, Role: o.Role, Fence: o.Fence, ExpiresMS: o.ExpiresAt.UnixMilli(), InFlight: o.InFlight}
	err := c.exchange(ctx, c.fresh, "order", addr, c.builder(addr).Post("/v1/orders").BodyJSON(body), nil)
	if err != nil && !h.happened() && !time.Now().Before(o.ExpiresAt) {
		return &errs.Deadline{Operation: "order", Result: errs.NotRun}
	}
	var s *Status
	if errors.As(err, &s) && s.Code == http.StatusConflict {
		return &StaleFence{Target: addr, Fence: o.Fence}
	}
	return err
}

type requestBody struct {
	RequestID string `json:"request_id"`
}

// Cancel ends a stream. It is not a failure when the target does not know the request.
func (c *Client) Cancel(ctx context.Context, addr, requestID string) error {
	err := c.exchange(ctx, c.reused, "cancel", addr, c.builder(addr).Post("/v1/cancel").BodyJSON(requestBody{requestID}), nil)
	var s *Status
	if errors.As(err, &s) && s.Code == http.StatusNotFound {
		return nil
	}
	return err
}

// State reads the state of a target. It uses a new connection, because net/http repeats a
// GET by itself when a reused connection breaks.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var s State
	err := c.exchange(ctx, c.fresh, "state", addr, c.builder(addr).Get("/v1/state"), &s)
	return s, err
}

// ExportKV reads the KV cache of a request.
func (c *Client) ExportKV(ctx context.Context, addr, requestID string) (KV, error) {
	var kv KV
	err := c.exchange(ctx, c.reused, "KV export", addr, c.builder(addr).Post("/v1/kv/export").BodyJSON(requestBody{requestID}), &kv)
	if err == nil && kv.RequestID != requestID {
		return KV{}, &WrongAnswer{Target: addr, Want: requestID, Got: kv.RequestID}
	}
	return kv, err
}

// ImportKV gives a KV cache to another engine, which can then resume the request.
func (c *Client) ImportKV(ctx context.Context, addr string, kv KV) error {
	if int64(len(kv.Data)) > c.o.MaxAnswerBytes {
		return &errs.TooLarge{What: "KV cache of request " + kv.RequestID, Limit: c.o.MaxAnswerBytes}
	}
	return c.exchange(ctx, c.reused, "KV import", addr, c.builder(addr).Post("/v1/kv/import").BodyJSON(kv), nil)
}
