package httpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is the size of an upload that exceeds what the sockets of both sides hold.
const uploadBytes = 16 << 20

// startEarlyTarget starts a target that reads the first bytes of each request, sends the head of an answer without a length and "part" of
// its body, and passes the connection to end. It returns the target's address.
func startEarlyTarget(t *testing.T, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 100))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\n\r\npart")
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// reset ends a connection without an end of its data.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload sends a long body and reads the answer, each part after readDelay.
func upload(t *testing.T, addr string, body io.Reader, length int64, readDelay time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := NewPool(1).Do(ctx, addr, &Request{ID: newID(), Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: body, ContentLength: length})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer []byte
	for {
		time.Sleep(readDelay)
		part := make([]byte, 2)
		n, err := resp.Body.Read(part)
		answer = append(answer, part[:n]...)
		if err == io.EOF {
			return string(answer), nil
		}
		if err != nil {
			return string(answer), err
		}
	}
}

// Guards against an answer without a length that counts as whole although its connection was reset while the request was still
// being sent: the kernel reports a reset once, to the sender, and the end of the data to the reader.
func TestResetDuringUploadIsNoEndOfTheAnswer(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "soon": time.Millisecond, "later": 20 * time.Millisecond} {
		for _, length := range []int64{uploadBytes, -1} {
			addr := startEarlyTarget(t, func(c *net.TCPConn) {
				_, _ = io.CopyN(io.Discard, c, 256<<10)
				time.Sleep(pause)
				reset(c)
			})
			for range 20 {
				answer, err := upload(t, addr, bytes.NewReader(make([]byte, uploadBytes)), length, time.Millisecond)
				failure := (*RequestError)(nil)
				if !errors.As(err, &failure) || !failure.Sent || !failure.Ended {
					t.Errorf("%s, length %d: answer %q, error %v; want an error that says that the target has ended the connection", name, length, answer, err)
				}
			}
		}
	}
}

// Guards against a whole answer without a length that is lost since its request could not be sent to the end: the target
// has ended its answer, and reads on, waits, or resets the connection afterwards.
func TestEndOfTheAnswerDuringUpload(t *testing.T) {
	stalled, w := io.Pipe()
	t.Cleanup(func() { _ = w.Close() })
	for name, c := range map[string]struct {
		end       func(c *net.TCPConn)
		body      func() io.Reader
		readDelay time.Duration
	}{
		"reads on":        {func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }, newUpload, 0},
		"reads no more":   {func(*net.TCPConn) { time.Sleep(200 * time.Millisecond) }, newUpload, 0},
		"resets":          {reset, newUpload, 0},
		"resets, slow":    {reset, newUpload, 10 * time.Millisecond},
		"stalled":         {func(*net.TCPConn) { time.Sleep(200 * time.Millisecond) }, func() io.Reader { return stalled }, 0},
		"stalled, resets": {reset, func() io.Reader { return stalled }, 10 * time.Millisecond},
	} {
		addr := startEarlyTarget(t, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			c.end(conn)
		})
		for range 20 {
			if answer, err := upload(t, addr, c.body(), uploadBytes, c.readDelay); answer != "part" || err != nil {
				t.Errorf("%s: answer %q, %v; want it whole", name, answer, err)
			}
		}
	}
}

func newUpload() io.Reader { return bytes.NewReader(make([]byte, uploadBytes)) }
