package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

const (
	callTimeout    = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// hostClient posts JSON to a list of hosts in round-robin order, as behind a load balancer. It
// opens a connection for each request, so that a dead host fails only that request.
type hostClient struct {
	hosts []string
	token string
	http  *http.Client
	next  atomic.Uint64
}

func newHostClient(hosts []string, token string) *hostClient {
	return &hostClient{hosts: hosts, token: token, http: &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *hostClient) close() { c.http.CloseIdleConnections() }

// errorResponse is the JSON body of a response with an error status.
type errorResponse struct {
	Error struct {
		Code       errs.Code    `json:"code"`
		Outcome    errs.Outcome `json:"outcome"`
		Message    string       `json:"message"`
		RetryAfter int64        `json:"retry_after_ms"`
	} `json:"error"`
}

// post sends one request to the next host and decodes the response into out unless out is nil.
func (c *hostClient) post(ctx context.Context, path string, header map[string]string, in, out any) error {
	if len(c.hosts) == 0 {
		return &errs.Unavailable{Resource: "host", Reason: "no host is configured"}
	}
	host := c.hosts[int((c.next.Add(1)-1)%uint64(len(c.hosts)))]
	builder := sling.New().Base(host).Post(path).BodyJSON(in)
	if c.token != "" {
		builder.Set("Authorization", "Bearer "+c.token)
	}
	for k, v := range header {
		builder.Set(k, v)
	}
	req, err := builder.Request()
	if err != nil {
		return &errs.Invalid{Path: path, Want: "a request that can be encoded", Got: err.Error()}
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return &errs.Unavailable{Resource: host, Reason: err.Error()}
		}
		return &errs.Interrupted{Operation: path, Reason: err.Error()}
	}
	defer resp.Body.Close()
	return readAnswer(path, resp, out)
}

// readAnswer decodes a response. An error status becomes the *errs.Remote that its body states, or
// *errs.Interrupted where the body is no error response.
func readAnswer(path string, resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &errs.Interrupted{Operation: path, Reason: err.Error()}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var e errorResponse
		if json.Unmarshal(data, &e) != nil || e.Error.Code == "" {
			return &errs.Interrupted{Operation: path, Reason: resp.Status}
		}
		return &errs.Remote{Code: e.Error.Code, Outcome: e.Error.Outcome, Message: e.Error.Message,
			After: time.Duration(e.Error.RetryAfter) * time.Millisecond}
	}
	return decodeAnswer(path, data, out)
}

// decodeAnswer decodes a response body into out. A *json.RawMessage receives the bytes unchanged.
func decodeAnswer(path string, data []byte, out any) error {
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = data
		return nil
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &errs.Corrupt{What: "answer to " + path, Detail: err.Error()}
	}
	return nil
}
