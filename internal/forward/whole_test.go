package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"fuchsiaflow/routes"
)

// framedAnswer answers with a body in one of the framings of HTTP/1.1, and closes the connection.
func framedAnswer(framing, mediaType, body string) targetBehavior {
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\nId: " + r.Header.Get("Id") + "\r\nStamp: s\r\n"
		if mediaType != "" {
			head += "Content-Type: " + mediaType + "\r\n"
		}
		framed := body
		switch framing {
		case "length":
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		case "chunked":
			head += "Transfer-Encoding: chunked\r\n\r\n"
			framed = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		default: // the end of the connection
			head += "\r\n"
		}
		_, _ = conn.Write([]byte(head + framed))
	}
}

// Guards against an answer that is whole but no stream of events, and is not passed on to the caller, or makes its
// target look broken.
func TestWholeAnswerOnStreamingRoute(t *testing.T) {
	const plain = `{"text":"a server that was asked not to stream"}`
	long := strings.Repeat("0123456789abcdef\n", 40_000)
	for _, c := range []struct {
		framing, mediaType, body string
		whole                    bool
	}{
		{"length", "application/json", plain, true},
		{"length", "text/event-stream", plain, true},
		{"length", "text/event-stream; charset=utf-8", firstEvent + "id: 2\nda", true},
		{"length", "", plain, true},
		{"length", "text/plain", long, true},
		{"length", "text/event-stream", firstEvent, true},
		{"chunked", "application/json", plain, true},
		{"chunked", "", plain, true},
		{"chunked", "text/event-stream", firstEvent, true},
		{"chunked", "text/event-stream", firstEvent + "id: 2\nda", false},
		{"chunked", "text/event-stream", "id: 1\nda", false},
		{"close", "application/json", plain, false},
		{"close", "text/event-stream", firstEvent, false},
	} {
		t.Run(c.framing+" "+c.mediaType+fmt.Sprint(len(c.body)), func(t *testing.T) {
			f, runs := newForwarder(t, framedAnswer(c.framing, c.mediaType, c.body))
			r := newRoute(routes.Stream, 3)
			r.Resumable = true
			for k := range 4 {
				resp, body, err := exchange(t, f, r)
				whole := resp.StatusCode == http.StatusOK && err == nil && body == c.body
				if whole != c.whole {
					t.Fatalf("answer %d: status %d, %d of %d bytes, error %v; whole: want %v", k, resp.StatusCode, len(body), len(c.body), err, c.whole)
				}
				if !c.whole {
					break
				}
			}
			if c.whole && runs.Load() != 4 {
				t.Errorf("%d runs of 4 requests", runs.Load())
			}
		})
	}
}

// Guards against an answer in place of a continuation that is passed on because its length is known.
func TestWholeAnswerIsNoContinuation(t *testing.T) {
	for _, framing := range []string{"length", "chunked"} {
		for _, mediaType := range []string{"application/json", "text/event-stream"} {
			f, _ := newForwarder(t, interruptedStream, framedAnswer(framing, mediaType, "no event"))
			r := newRoute(routes.Stream, 2)
			r.Resumable = true
			for range 8 {
				if _, body, err := exchange(t, f, r); strings.HasPrefix(body, firstEvent) && (body != firstEvent || err == nil) {
					t.Errorf("%s, %s: the caller gets %q, error %v", framing, mediaType, body, err)
				}
			}
		}
	}
}
