package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowReaders is the number of clients that read slowly, of the 138 clients of demands/grachtwerk-ops-grown.toml.
	slowReaders = 60
	// slowBody is the size of the body that they read; MaxBodyBytes allows 33.5 MB for the batch job.
	slowBody = 6_000_000
	// slowRate is how much a client reads in a second.
	slowRate        = 64 << 10
	slowReadersTime = 33 * time.Second
)

// slowReadersCase lets clients read the body of an item that is not listed yet, slowly. The rule is Fault: processes end by
// themselves, because they use more than the memory of their machine.
func slowReadersCase(log *record) (broken bool, err error) {
	p, err := newPlatform(grachtwerk, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	c, stop, err := startDeployment(p, 3, 2, replicaOptions{service: service, model: model, slots: 12, kvTokens: 26346, gap: 500 * time.Millisecond,
		events: func(string) int { return 190 }, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }}, 3)
	if err != nil {
		return false, err
	}
	defer stop()
	body := make([]byte, slowBody)
	_, _ = rand.Read(body)
	id := "7c41e09b52d6a3f8"
	if !c.submit(id, &job{Model: model, DesiredCount: 1, Items: []item{newItem("e5b2907c14da6f38", body, 40, 20000)}}, 12*time.Second) {
		return false, fmt.Errorf("the batch job was not accepted")
	}
	rate := slowRate
	if !trouble() {
		rate = 1 << 30
	}
	var whole, failed atomic.Int64
	end := time.Now().Add(slowReadersTime)
	var work sync.WaitGroup
	for n := range slowReaders {
		work.Go(func() {
			time.Sleep(time.Duration(n) * 250 * time.Millisecond)
			for try := 0; time.Now().Before(end); try++ {
				got, err := readSlowly(c.edges[(n+try)%len(c.edges)], "/items/"+id+"?Id=e5b2907c14da6f38", rate, end)
				log.printf("client %d read %d bytes: %v", n, got, err)
				pause := time.Second
				if err == nil && got == slowBody {
					whole.Add(1)
					pause = 5 * time.Second
				} else if time.Now().Before(end) {
					failed.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	work.Wait()
	log.printf("%d reads were whole, %d failed before the end", whole.Load(), failed.Load())
	return killedThrice(p, log), nil
}

// killedThrice reports whether processes of two machines or more were killed three times for their memory.
func killedThrice(p *platform, log *record) bool {
	machines := 0
	for _, m := range p.machines {
		m.mu.Lock()
		log.printf("%s: at most %d MB of %d MB, %d starts, killed for its memory %d times", m.name, m.peak>>10, m.limits.MemoryMb, m.started, m.killed)
		if m.killed >= 3 {
			machines++
		}
		m.mu.Unlock()
	}
	log.printf("%d machines whose process was killed three times or more for its memory", machines)
	return machines >= 2
}

// readSlowly sends a GET call and reads its answer at a rate in bytes a second until the end. It returns the bytes of the body.
func readSlowly(edge, path string, rate int, end time.Time) (int, error) {
	nc, err := net.DialTimeout("tcp", edge, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.(*net.TCPConn).SetReadBuffer(32 << 10)
	_ = nc.SetDeadline(end)
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, routeHost); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(nc, 4096), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	got := 0
	for {
		n, err := io.CopyN(io.Discard, resp.Body, int64(min(rate/10, 1<<20)))
		got += int(n)
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		if rate < 1<<30 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
