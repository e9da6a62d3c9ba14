package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["slowreaders"] = slowReadersCase }

const (
	// readersPerEntry is the number of clients that read bodies of items at an entry host; there are 54 in all; the site file has 38
	// clients of plain requests, and says that other clients access batch jobs all day.
	readersPerEntry = 18
	// readBody is the size of the body of an item; the batch job has 9.8 MB.
	readBody = 7 << 20
	// readersStart is the pause between the starts of two clients.
	readersStart = 300 * time.Millisecond
	// slowPart is what a slow client reads in each slowPause, 64 KB/s; slowWindow bounds what its kernel takes.
	slowPart   = 16 << 10
	slowPause  = 250 * time.Millisecond
	slowWindow = 8 << 10
	// readersTime is the time in which clients read; it ends before the items are given up.
	readersTime = 34 * time.Second
	// readPause is the pause of a client between two reads, and the least one after a failure; the most is twice as long.
	readPause = 2 * time.Second
)

// slowReadersCase lets clients read the body of an item that waits for an engine. They read slowly, and again after each failure.
func slowReadersCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(binary, dir, rec, 3, usualStatusS)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	guard := newMemoryGuard(c)
	guardCtx, stopGuard := context.WithCancel(ctx)
	defer stopGuard()
	go guard.watch(guardCtx)
	const job = "step00"
	if r := c.submit(ctx, c.entries[0], job, oneItemJob(job, readBody)); r.status != http.StatusAccepted {
		return nil, &unusable{"the batch job is not accepted: " + strconv.Itoa(r.status)}
	}
	readCtx, stopReaders := context.WithTimeout(ctx, readersTime)
	defer stopReaders()
	var wg sync.WaitGroup
	for k := range readersPerEntry * len(c.entries) {
		e := c.entries[k%len(c.entries)]
		wg.Go(func() {
			for readCtx.Err() == nil {
				n, err := readItemBody(readCtx, e, job, trouble)
				rec.add("read", "client", strconv.Itoa(k), "entry", e.name, "bytes", strconv.FormatInt(n, 10), "error", fmt.Sprint(err))
				time.Sleep(readPause + rand.N(readPause))
			}
		})
		time.Sleep(readersStart / time.Duration(len(c.entries)))
	}
	wg.Wait()
	guard.report()
	return guard.faultsOf(c.entries, 2), nil
}

// oneItemJob returns a batch job with an item whose body has a size.
func oneItemJob(job string, size int) []byte {
	return []byte(fmt.Sprintf(`{"TrainStep":0,"Model":%q,"MinVersion":1,"DesiredCount":1,"Items":[{"Id":%q,"Path":%q,"Headers":{%q:%q,"X-Fuchsiaflow-Token-Count":"100,300"},"Tokens":400,"Group":%q,"Body":%q}]}`,
		modelName, job+"-0", batchPrefix+"run/0", headerModel, modelName, job, strings.Repeat("QUJD", size/3)))
}

// readItemBody reads the body of an item, slowly or as fast as it comes. It returns the number of bytes that it has read.
func readItemBody(ctx context.Context, e *host, job string, slowly bool) (int64, error) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", e.addr(frontPort))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if slowly {
		_ = conn.(*net.TCPConn).SetReadBuffer(slowWindow)
	}
	if _, err := fmt.Fprintf(conn, "GET /items/%s?Id=%s-0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", job, job, hostName); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowPart), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, &unusable{"status " + strconv.Itoa(resp.StatusCode)}
	}
	if !slowly {
		return io.Copy(io.Discard, resp.Body)
	}
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, resp.Body, slowPart)
		total += n
		if err != nil {
			return total, err
		}
		time.Sleep(slowPause)
	}
}
