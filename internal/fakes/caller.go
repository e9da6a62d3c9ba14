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

// caller posts JSON to a list of hosts in turn, as a load balancer would spread it. It
// opens a connection for each request, so that a dead host costs one request only.
type caller struct {
	hosts []string
	token string
	http  *http.Client
	next  atomic.Uint64
}

func newCaller(hosts []string, token string) *caller {
	return &caller{hosts: hosts, token: token, http: &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// refusal is the body of a refused request.
type refusal struct {
	Error struct {
		Code       errs.Code    `json:"code"`
		Outcome    errs.Outcome `json:"outcome"`
		Message    string       `json:"message"`
		RetryAfter int64        `json:"retry_after_ms"`
	} `json:"error"`
}

// post sends one request to the next host and decodes the answer into out, unless nil.
func (c *caller) post(ctx context.Context, path string, header map[string]string, in, out any) error {
	if len(c.hosts) == 0 {
		return &errs.Unavailable{Resource: "host", Reason: "no host is configured"}
	}
	host := c.hosts[int((c.next.Add(1)-1)%uint64(len(c.hosts)))]
	s := sling.New().Base(host).Post(path).BodyJSON(in)
	if c.token != "" {
		s.Set("Authorization", "Bearer "+c.token)
	}
	for k, v := range header {
		s.Set(k, v)
	}
	req, err := s.Request()
	if err != nil {
		return &errs.Invalid{Path: path, Want: "a request that can be encoded", Got: err.Error()}
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return &errs.Unavailable{Resource: host, Reason: err.Error()}
		}
		return &errs.Interrupted{Operation: path, Reason: err.Error()}
	}
	defer resp.Body.Close()
	return answer(path, resp, out)
}

func answer(path string, resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &errs.Interrupted{Operation: path, Reason: err.Error()}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var r refusal
		if json.Unmarshal(data, &r) != nil || r.Error.Code == "" {
			return &errs.Interrupted{Operation: path, Reason: resp.Status}
		}
		return &errs.Remote{Code: r.Error.Code, Outcome: r.Error.Outcome, Message: r.Error.Message,
			After: time.Duration(r.Error.RetryAfter) * time.Millisecond}
	}
	return decodeAnswer(path, data, out)
}

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
