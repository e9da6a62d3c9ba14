package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/sys/unix"

	"fuchsiaflow/errs"
)

const (
	dialTimeout         = 2 * time.Second
	progressTimeout     = 5 * time.Second
	firstTimeout        = 30 * time.Second // the first chunk waits for the engine's own queue
	tcpUserTimeout      = 5 * time.Second  // unacknowledged data breaks the connection
	idleTimeout         = 30 * time.Second
	maxIdleConns        = 512
	maxIdleConnsPerHost = 16
	maxResumes          = 3
	maxAnswerBytes      = 16 << 20
	maxRefusalBytes     = 4 << 10
	maxHeaderBytes      = 64 << 10
	maxLineBytes        = 1 << 20
)

// Options configures a Client. Fields that are zero have presets.
type Options struct {
	DialTimeout       time.Duration
	ProgressTimeout   time.Duration // longest silence within a stream
	FirstChunkTimeout time.Duration // longest silence before the first chunk
	MaxResumes        int           // new connections for one stream; negative: none
	MaxAnswerBytes    int64
	MaxLineBytes      int
}

// Client sends requests to targets. It never repeats a request by itself; Generate resumes
// streams. It is safe for concurrent use.
type Client struct {
	o      Options
	reused *http.Client // keeps idle connections
	fresh  *http.Client // opens a connection for each request
}

// New returns a client with its own connections.
func New(o Options) *Client {
	preset(&o.DialTimeout, dialTimeout)
	preset(&o.ProgressTimeout, progressTimeout)
	preset(&o.FirstChunkTimeout, firstTimeout)
	preset(&o.MaxResumes, maxResumes)
	preset(&o.MaxAnswerBytes, maxAnswerBytes)
	preset(&o.MaxLineBytes, maxLineBytes)
	return &Client{o: o, reused: newHTTP(o, false), fresh: newHTTP(o, true)}
}

func preset[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

func newHTTP(o Options, fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout, Control: setUserTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn}, nil
			},
			DisableKeepAlives:      fresh,
			DisableCompression:     true,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return result
}

// countedConn counts the bytes handed to a connection. The hooks of httptrace are not
// exact: WroteHeaders runs when headers are in a buffer that may never be flushed.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes in advance, so that a write in progress counts as written.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// handover tells whether any byte of a request was handed to a connection.
type handover struct {
	conn  atomic.Pointer[countedConn]
	start atomic.Int64
}

// handoverKey is the context key of a handover that the caller of send watches.
type handoverKey struct{}

func (h *handover) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if conn, ok := i.Conn.(*countedConn); ok {
			h.start.Store(conn.written.Load())
			h.conn.Store(conn)
		}
	}})
}

// happened is exact after the round trip: HTTP/1.1 uses a connection for one request at a
// time, and the transport has closed the connection of a failed one.
func (h *handover) happened() bool {
	conn := h.conn.Load()
	return conn != nil && conn.written.Load() > h.start.Load()
}

// send sends one request. The caller closes the body of the response. The failure of a
// request of which no byte was handed over has the outcome not_run.
func (c *Client) send(ctx context.Context, hc *http.Client, op, addr string, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(&errs.Invalid{Path: op, Want: "a request that can be encoded", Got: err.Error()}, addr)
	}
	h, ok := ctx.Value(handoverKey{}).(*handover)
	if !ok {
		h = &handover{}
	}
	req = req.WithContext(h.trace(ctx))
	// Without GetBody the transport cannot send a body again on another connection.
	req.GetBody = nil
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := hc.Do(req)
	if err != nil {
		return nil, sendFailure(ctx, op, addr, h.happened(), err)
	}
	return resp, nil
}

func sendFailure(ctx context.Context, op, addr string, sent bool, err error) error {
	outcome := errs.NotRun
	if sent {
		outcome = errs.Unknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &errs.Deadline{Operation: op, Result: outcome}
	}
	if sent {
		return &errs.Interrupted{Operation: op + " at target " + addr, Reason: err.Error()}
	}
	return &errs.Unavailable{Resource: "target " + addr, Reason: err.Error(), Result: outcome}
}

func (c *Client) builder(addr string) *sling.Sling { return sling.New().Base("http://" + addr) }

// exchange sends a request and decodes the answer into out, unless out is nil.
func (c *Client) exchange(ctx context.Context, hc *http.Client, op, addr string, s *sling.Sling, out any) error {
	resp, err := c.send(ctx, hc, op, addr, s)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusFailure(op, addr, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.o.MaxAnswerBytes+1))
	if err != nil {
		return sendFailure(ctx, op, addr, true, err)
	}
	if int64(len(data)) > c.o.MaxAnswerBytes {
		return &AnswerTooLarge{Target: addr, Limit: c.o.MaxAnswerBytes}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &errs.Corrupt{What: "answer of target " + addr + " to " + op, Detail: err.Error()}
	}
	return nil
}

// statusFailure converts a status other than 200. Only the statement not_run of a 503
// excludes that the request ran.
func statusFailure(op, addr string, resp *http.Response) error {
	e := &Status{Operation: op, Target: addr, Code: resp.StatusCode, Outcome: errs.Unknown, Reason: http.StatusText(resp.StatusCode)}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var refusal Refusal
	if resp.StatusCode == http.StatusServiceUnavailable && json.Unmarshal(data, &refusal) == nil && refusal.NotRun {
		e.Outcome = errs.NotRun
		preset(&refusal.Reason, "did not start")
		e.Reason = refusal.Reason
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		e.After = time.Duration(s) * time.Second
	}
	return e
}
