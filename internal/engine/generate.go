package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// progressTimeoutError is the cancellation cause of a stream that made no progress in time.
type progressTimeoutError struct{}

func (*progressTimeoutError) Error() string { return "the stream made no progress in time" }

const (
	drainTimeout = 50 * time.Millisecond // closing the connection is cheaper than waiting longer
	drainBytes   = 4 << 10
)

// stream is the state of one call of Generate across its connections.
type stream struct {
	client    *Client
	addr      string
	req       Request
	assembler *Assembler
	deliver   func(Chunk) error
	resumable bool
	started   bool // the request may have started on the target
}

// Generate sends a request to an engine and calls deliver with each chunk that has new content, in
// order of arrival. It returns nil only after the complete output has arrived. A stream that breaks
// or makes no progress is resumed on a new connection if the engine supports that and the request is
// not unsafe. An error of deliver ends the stream and is returned unchanged.
func (c *Client) Generate(ctx context.Context, addr string, r Request, deliver func(Chunk) error) error {
	s := &stream{client: c, addr: addr, req: r, assembler: NewAssembler(r.RequestID, r.Offset), deliver: deliver, resumable: r.Resumable}
	err := s.attempt(ctx, c.clientFor(addr, r.Unsafe))
	for i := 0; i < c.options.MaxResumes && s.canResume(ctx, err); i++ {
		s.req.Offset = s.assembler.Offset()
		// An idle connection may be as dead as the abandoned one.
		err = s.attempt(ctx, c.unpooled)
	}
	return s.finalError(err)
}

// connectionError marks a failure of the connection, after which the stream may be resumed.
type connectionError struct{ error }

func (e *connectionError) Unwrap() error { return e.error }

// deliverError marks an error returned by the caller's deliver function.
type deliverError struct{ error }

func (e *deliverError) Unwrap() error { return e.error }

// canResume reports whether the stream may be resumed after err.
func (s *stream) canResume(ctx context.Context, err error) bool {
	var connErr *connectionError
	return errors.As(err, &connErr) && ctx.Err() == nil && s.started && s.resumable && !s.req.Unsafe
}

// finalError returns the error of Generate. The outcome not_run of a failed resume becomes unknown,
// because the request was started before.
func (s *stream) finalError(err error) error {
	var deliverErr *deliverError
	if errors.As(err, &deliverErr) {
		return deliverErr.error
	}
	var connErr *connectionError
	if errors.As(err, &connErr) {
		err = connErr.error
	}
	var failure errs.Failure
	if !s.started || !errors.As(err, &failure) || failure.FailureOutcome() != errs.NotRun {
		return err
	}
	return &errs.Interrupted{Operation: "generate at target " + s.addr, Reason: "the stream could not be resumed: " + err.Error()}
}

// attempt sends the request and reads the stream on one connection.
func (s *stream) attempt(parent context.Context, httpClient *http.Client) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	timer := time.AfterFunc(s.client.options.FirstChunkTimeout, func() { cancel(&progressTimeoutError{}) })
	defer timer.Stop()
	resp, err := s.client.send(ctx, httpClient, "generate", s.addr, s.client.builder(s.addr).Post("/v1/generate").BodyJSON(s.req))
	if err != nil {
		firstAttempt := !s.started
		if errs.OutcomeOf(err) == errs.Unknown {
			s.started = true
		}
		if firstAttempt && !s.started {
			return err
		}
		return &connectionError{s.connectionFailure(parent, ctx, err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := statusFailure("generate", s.addr, resp)
		s.started = s.started || errs.OutcomeOf(err) != errs.NotRun
		return err
	}
	s.started = true
	s.resumable = s.resumable || resp.Header.Get(HeaderResume) == ResumeByOffset
	final, err := s.read(resp.Body, func(d time.Duration) { timer.Reset(d) })
	if final {
		return err
	}
	return &connectionError{s.connectionFailure(parent, ctx, err)}
}

// connectionFailure converts an error of the connection. The outcome is unknown, unless err is an
// errs.Failure that neither the deadline nor the progress timeout caused.
func (s *stream) connectionFailure(parent, ctx context.Context, err error) error {
	op := "generate at target " + s.addr
	if errors.Is(parent.Err(), context.DeadlineExceeded) {
		return &errs.Deadline{Operation: op, Outcome: errs.Unknown}
	}
	var timeout *progressTimeoutError
	if errors.As(context.Cause(ctx), &timeout) {
		return &errs.Interrupted{Operation: op, Reason: timeout.Error()}
	}
	var failure errs.Failure
	if errors.As(err, &failure) {
		return err
	}
	return &errs.Interrupted{Operation: op, Reason: err.Error()}
}

// read delivers chunks until the output is complete. It calls progress with the time to wait for the
// next line. final is true if the output is complete or resuming cannot help.
func (s *stream) read(body io.Reader, progress func(time.Duration)) (final bool, err error) {
	lines := bufio.NewReader(body)
	for {
		line, err := readLine(lines, s.client.options.MaxLineBytes)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return true, &ResponseTooLarge{Target: s.addr, Limit: int64(s.client.options.MaxLineBytes)}
		case errors.Is(err, io.EOF) && len(line) == 0:
			return false, &errs.Interrupted{Operation: "generate at target " + s.addr, Reason: "the stream ended before the output was complete"}
		case err != nil && !errors.Is(err, io.EOF):
			return false, err // a partial line is discarded
		}
		progress(s.client.options.ProgressTimeout)
		// A blank line is a keep-alive.
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if err := s.handleChunk(line); err != nil {
				return true, err
			}
		}
		if s.assembler.Complete() {
			// Reads to the end of the body, so that the connection can be reused.
			progress(drainTimeout)
			_, _ = io.CopyN(io.Discard, lines, drainBytes)
			return true, nil
		}
	}
}

// readLine reads up to and including the next newline. It returns io.EOF together with a last line
// that has no newline, and bufio.ErrBufferFull for a line longer than limit bytes.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, bufio.ErrBufferFull
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// handleChunk decodes a line and delivers its chunk if it has new content.
func (s *stream) handleChunk(line []byte) error {
	var c Chunk
	if err := json.Unmarshal(line, &c); err != nil {
		return &errs.Corrupt{What: "chunk of target " + s.addr, Offset: int64(s.assembler.Offset()), Detail: err.Error()}
	}
	if c.RequestID == s.req.RequestID && c.Error != "" {
		return &errs.Interrupted{Operation: "generate at target " + s.addr, Reason: c.Error}
	}
	added, err := s.assembler.Add(c)
	if err != nil || !added {
		return err
	}
	if err := s.deliver(c); err != nil {
		return &deliverError{err}
	}
	return nil
}
