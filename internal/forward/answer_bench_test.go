package forward

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/headguard"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/routes"
)

// BenchmarkAnswer measures answers to a caller that reads at once.
func BenchmarkAnswer(b *testing.B) {
	for _, size := range []int{1 << 10, 100 << 10, 2 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			body := strings.Repeat("x", size)
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Stamp", "s")
				w.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = io.WriteString(w, body)
			}))
			defer target.Close()
			log := slog.New(slog.DiscardHandler)
			view := clusterview.NewView(log, nil)
			view.UpdateTarget(fleet.Target{ID: "a", Service: "s", Address: target.Listener.Addr().String(), Domain: "d", State: fleet.Ready, Slots: 6, Sequence: 1})
			f := newTestForwarder(view, log)
			route := newRoute(routes.Unsafe, 1)
			route.Timeout = time.Minute
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.Serve(w, r, route, 1, Caller{}) })}
			go func() {
				_ = s.Serve(headguard.New(headguard.LimitsFor(0, 0), log, observe.NewMetrics()).Protect("front", s, l))
			}()
			defer func() { _ = s.Close() }()
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get("http://" + l.Addr().String() + "/x")
				if err != nil {
					b.Fatal(err)
				}
				n, _ := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if n != int64(size) {
					b.Fatalf("%d bytes of %d, status %d", n, size, resp.StatusCode)
				}
			}
		})
	}
}
