package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"fuchsiaflow/internal/dialect"
)

// Guards against a late second copy of an engine's report that is taken for its answer to the order that follows: the engine
// then counts as one that has the version already.
func TestLateReportDoesNotAnswerAnOrder(t *testing.T) {
	const report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	mux := http.NewServeMux()
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, report)
		if _, err := http.ReadRequest(buffered.Reader); err == nil {
			_, _ = fmt.Fprint(conn, report, "HTTP/1.1 409 x\r\nContent-Length: 0\r\n\r\n")
		}
	})
	mux.HandleFunc("/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, address := newEngineClient(), l.Addr().String()
	if _, err := c.FetchReport(t.Context(), address, "e"); err != nil {
		t.Fatal(err)
	}
	if result, err := c.SendOrder(t.Context(), address, dialect.Order{Instance: "e", Model: "m", Version: 2}); result != dialect.OrderConflict {
		t.Errorf("order: %s, %v; want %s", result, err, dialect.OrderConflict)
	}
}
