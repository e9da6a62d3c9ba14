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

// silent is the cause with which a stream without progress is cancelled.
type silent struct{}

func (*silent) Error() string { return "the stream made no progress in time" }

const (
	drainTimeout = 50 * time.Millisecond // closing the connection costs less than a longer wait
	drainBytes   = 4 << 10
)

// stream is the state of one Generate across its connections.
type stream struct {
	client    *Client
	addr      string
	req       Request
	asm       *Assembler
	deliver   func(Chunk) error
	resumable bool
	started   bool // a byte was handed to a connection
}

// Generate runs a request on an engine and passes each chunk that brings something new to
// deliver, in order of arrival. It returns nil only when the whole output has arrived. A
// stream that breaks or makes no progress is resumed on a new connection if the engine can
// resume. An error of deliver ends the stream and is returned as it is.
func (c *Client) Generate(ctx context.Context, addr string, r Request, deliver func(Chunk) error) error {
	s := &stream{client: c, addr: addr, req: r, asm: NewAssembler(r.RequestID, r.Offset), deliver: deliver, resumable: r.Resumable}
	hc := c.reused
	if r.Unsafe {
		hc = c.fresh
	}
	err := s.attempt(ctx, hc)
	for i := 0; i < c.o.MaxResumes && s.mayResume(ctx, err); i++ {
		s.req.Offset = s.asm.Offset()
		// Idle connections may be as silent as the one that was given up.
		err = s.attempt(ctx, c.fresh)
	}
	return s.result(err)
}

// broken marks a failure of the connection, after which resuming makes sense.
type broken struct{ error }

func (b *broken) Unwrap() error { return b.error }

// refused marks an error of the caller's deliver function.
type refused struct{ error }

func (r *refused) Unwrap() error { return r.error }

func (s *stream) mayResume(ctx context.Context, err error) bool {
	var b *broken
	return errors.As(err, &b) && ctx.Err() == nil && s.started && s.resumable && !s.req.Unsafe
}

// result keeps a failed attempt to resume from hiding that the request was started before.
func (s *stream) result(err error) error {
	var r *refused
	if errors.As(err, &r) {
		return r.error
	}
	var b *broken
	if errors.As(err, &b) {
		err = b.error
	}
	var f errs.Failure
	if !s.started || !errors.As(err, &f) || f.FailureOutcome() != errs.NotRun {
		return err
	}
	return &errs.Interrupted{Operation: "generate at target " + s.addr, Reason: "the stream could not be resumed: " + err.Error()}
}

// attempt reads the stream on one connection.
func (s *stream) attempt(parent context.Context, hc *http.Client) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	timer := time.AfterFunc(s.client.o.FirstChunkTimeout, func() { cancel(&silent{}) })
	defer timer.Stop()
	resp, err := s.client.send(ctx, hc, "generate", s.addr, s.client.builder(s.addr).Post("/v1/generate").BodyJSON(s.req))
	if err != nil {
		firstAttempt := !s.started
		if errs.OutcomeOf(err) == errs.Unknown {
			s.started = true
		}
		if firstAttempt && !s.started {
			return err
		}
		return &broken{s.cause(parent, ctx, err)}
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
	return &broken{s.cause(parent, ctx, err)}
}

// cause describes a broken connection. Its outcome is unknown.
func (s *stream) cause(parent, ctx context.Context, err error) error {
	op := "generate at target " + s.addr
	if errors.Is(parent.Err(), context.DeadlineExceeded) {
		return &errs.Deadline{Operation: op, Result: errs.Unknown}
	}
	var quiet *silent
	if errors.As(context.Cause(ctx), &quiet) {
		return &errs.Interrupted{Operation: op, Reason: quiet.Error()}
	}
	var f errs.Failure
	if errors.As(err, &f) {
		return err
	}
	return &errs.Interrupted{Operation: op, Reason: err.Error()}
}

// read passes on chunks until the output is complete. It reports whether the error is
// final, that is, not one of the connection.
func (s *stream) read(body io.Reader, progress func(time.Duration)) (final bool, err error) {
	lines := bufio.NewReader(body)
	for {
		line, err := readLine(lines, s.client.o.MaxLineBytes)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return true, &AnswerTooLarge{Target: s.addr, Limit: int64(s.client.o.MaxLineBytes)}
		case errors.Is(err, io.EOF) && len(line) == 0:
			return false, &errs.Interrupted{Operation: "generate at target " + s.addr, Reason: "the stream ended before the output was complete"}
		case err != nil && !errors.Is(err, io.EOF):
			return false, err // a part of a line is of no use
		}
		progress(s.client.o.ProgressTimeout)
		// A blank line only shows that the engine is alive.
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if err := s.chunk(line); err != nil {
				return true, err
			}
		}
		if s.asm.Complete() {
			// Reading to the end lets the connection be used again.
			progress(drainTimeout)
			_, _ = io.CopyN(io.Discard, lines, drainBytes)
			return true, nil
		}
	}
}

// readLine reads up to and including the next newline. It returns io.EOF together with a
// last line that has none, and bufio.ErrBufferFull for a line above the limit.
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

func (s *stream) chunk(line []byte) error {
	var c Chunk
	if err := json.Unmarshal(line, &c); err != nil {
		return &errs.Corrupt{What: "chunk of target " + s.addr, Offset: int64(s.asm.Offset()), Detail: err.Error()}
	}
	if c.RequestID == s.req.RequestID && c.Error != "" {
		return &errs.Interrupted{Operation: "generate at target " + s.addr, Reason: c.Error}
	}
	added, err := s.asm.Add(c)
	if err != nil || !added {
		return err
	}
	if err := s.deliver(c); err != nil {
		return &refused{err}
	}
	return nil
}
