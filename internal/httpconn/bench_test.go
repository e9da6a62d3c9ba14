package httpconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkDo measures a small request on a kept connection, with the work of the server in the same process.
func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }))
	defer s.Close()
	p := NewPool(1)
	b.ReportAllocs()
	for b.Loop() {
		r, err := p.Do(context.Background(), s.Listener.Addr().String(), &Request{ID: newID(), Method: http.MethodGet, RequestURI: "/", Host: "x"})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			b.Fatal(err)
		}
		_ = r.Body.Close()
	}
}
