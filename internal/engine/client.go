package engine

import (
	"cmp"
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
	"fuchsiaflow/internal/httphead"
)

const (
	dialTimeout         = 2 * time.Second
	progressTimeout     = 5 * time.Second
	firstChunkTimeout   = 30 * time.Second // includes the wait in the engine's queue
	tcpUserTimeout      = 5 * time.Second  // unacknowledged data closes the connection after this time
	idleTimeout         = 30 * time.Second
	maxIdleConns        = 512
	maxIdleConnsPerHost = 16
	maxResumes          = 3
	maxResponseBytes    = 16 << 20
	maxRefusalBytes     = 4 << 10
	maxHeaderBytes      = 64 << 10
	maxLineBytes        = 1 << 20
)

// Options configures a Client. A field that is zero selects its default.
type Options struct {
	DialTimeout       time.Duration
	ProgressTimeout   time.Duration // maximum time between lines of a stream
	FirstChunkTimeout time.Duration // maximum time until the first line of a stream
	MaxResumes        int           // maximum number of resumes of one stream; negative for none
	MaxResponseBytes  int64
	MaxLineBytes      int
}

// Client sends requests to targets. It never retries a request; Generate only resumes streams. It is
// safe for concurrent use.
type Client struct {
	options  Options
	pooled   *http.Client // reuses idle connections
	unpooled *http.Client // opens a new connection for each request
	refusals refusals
}

// New returns a client with its own connection pool.
func New(o Options) *Client {
	o.DialTimeout = cmp.Or(o.DialTimeout, dialTimeout)
	o.ProgressTimeout = cmp.Or(o.ProgressTimeout, progressTimeout)
	o.FirstChunkTimeout = cmp.Or(o.FirstChunkTimeout, firstChunkTimeout)
	o.MaxResumes = cmp.Or(o.MaxResumes, maxResumes)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, maxResponseBytes)
	o.MaxLineBytes = cmp.Or(o.MaxLineBytes, maxLineBytes)
	return &Client{options: o, pooled: newHTTPClient(o, false), unpooled: newHTTPClient(o, true)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

func newHTTPClient(o Options, unpooled bool) *http.Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout, Control: setTCPUserTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			DisableKeepAlives:      unpooled,
			DisableCompression:     true,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// countingConn counts the bytes written to a connection. The hooks of httptrace are not exact:
// WroteHeaders runs when the headers are in a buffer that may never be flushed.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes in advance, so that a write in progress is counted as complete.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// writeTracker records whether any byte of a request was written to a connection.
type writeTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
}

// writeTrackerKey is the context key of a writeTracker that the caller of send provides.
type writeTrackerKey struct{}

// withTrace returns a context that makes an HTTP request report its connection to t.
func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			t.writtenBefore.Store(conn.written.Load())
			t.conn.Store(conn)
		}
	}})
}

// wrote reports whether any byte was written. It is exact after the round trip: HTTP/1.1 uses a
// connection for one request at a time, and the transport closes the connection of a failed request.
func (t *writeTracker) wrote() bool {
	conn := t.conn.Load()
	return conn != nil && conn.written.Load() > t.writtenBefore.Load()
}

// send sends one request. The caller must close the body of the response. A failure before any byte
// was written has the outcome not_run.
func (c *Client) send(ctx context.Context, httpClient *http.Client, op, addr string, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(&errs.Invalid{Path: op, Want: "a request that can be encoded", Got: err.Error()}, addr)
	}
	tracker, ok := ctx.Value(writeTrackerKey{}).(*writeTracker)
	if !ok {
		tracker = &writeTracker{}
	}
	req = req.WithContext(tracker.withTrace(ctx))
	// Without GetBody the transport cannot retry a request that has a body.
	req.GetBody = nil
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, sendFailure(ctx, op, addr, tracker.wrote(), err)
	}
	if !httphead.IsFinal(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, &errs.Corrupt{What: "response of target " + addr + " to " + op, Detail: "it has the status " + strconv.Itoa(resp.StatusCode)}
	}
	if resp.StatusCode != http.StatusOK {
		c.refusals.record(addr, time.Now()) // before the connection is idle, at the end of the body
	}
	return resp, nil
}

// sendFailure converts a transport error; sent states whether a part of the request was written.
func sendFailure(ctx context.Context, op, addr string, sent bool, err error) error {
	outcome := errs.NotRun
	if sent {
		outcome = errs.Unknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &errs.Deadline{Operation: op, Outcome: outcome}
	}
	if sent {
		return &errs.Interrupted{Operation: op + " at target " + addr, Reason: err.Error()}
	}
	return &errs.Unavailable{Resource: "target " + addr, Reason: err.Error(), Outcome: outcome}
}

func (c *Client) builder(addr string) *sling.Sling { return sling.New().Base("http://" + addr) }

// exchange sends a request and decodes the JSON response into out, unless out is nil.
func (c *Client) exchange(ctx context.Context, httpClient *http.Client, op, addr string, s *sling.Sling, out any) error {
	resp, err := c.send(ctx, httpClient, op, addr, s)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusFailure(op, addr, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxResponseBytes+1))
	if err != nil {
		return sendFailure(ctx, op, addr, true, err)
	}
	if int64(len(data)) > c.options.MaxResponseBytes {
		return &ResponseTooLarge{Target: addr, Limit: c.options.MaxResponseBytes}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &errs.Corrupt{What: "response of target " + addr + " to " + op, Detail: err.Error()}
	}
	return nil
}

// statusFailure converts a response with a status other than 200. Its outcome is unknown, unless the
// status is 503 and the body states not_run.
func statusFailure(op, addr string, resp *http.Response) error {
	e := &StatusError{Operation: op, Target: addr, Code: resp.StatusCode, Outcome: errs.Unknown, Reason: http.StatusText(resp.StatusCode)}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var refusal Refusal
	if resp.StatusCode == http.StatusServiceUnavailable && json.Unmarshal(data, &refusal) == nil && refusal.NotRun {
		e.Outcome = errs.NotRun
		refusal.Reason = cmp.Or(refusal.Reason, "the request did not start")
		e.Reason = refusal.Reason
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.After = time.Duration(seconds) * time.Second
	}
	return e
}
