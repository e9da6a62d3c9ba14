package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const callHost = "review.example"

// oneShot opens a new connection for each call.
var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call sends one request. The status is 0 without a complete answer.
func call(client *http.Client, method, addr, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = callHost
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, data
	}
	return resp.StatusCode, data
}

// control repeats a call to the store hosts, a second each, until one answers with 200.
func (c *cluster) control(path string, doc any, limit time.Duration) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		status, answer := call(oneShot, http.MethodPost, c.controlAddr(c.stores[i%3]), path, map[string]string{"Content-Type": "application/json"}, body, time.Second)
		c.rec.logf("operator: POST %s at %s -> %d %s", path, c.stores[i%3].name, status, bytes.TrimSpace(answer))
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s got no 200", path)
}

// waitReady waits until all entry hosts say that they are ready.
func (c *cluster) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, e := range c.entries {
		for {
			status, _ := call(oneShot, http.MethodGet, fmt.Sprintf("%s:%d", e.ip, c.readyPort), "/readiness", nil, nil, time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not become ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// item is an item of a batch job.
type item struct {
	ID, Path, Body, Group string
}

// jobDoc returns the document of a batch job.
func jobDoc(step, minVersion, desired int, items []item) []byte {
	var list []map[string]any
	for _, it := range items {
		list = append(list, map[string]any{"Id": it.ID, "Path": it.Path, "Headers": map[string]string{"X-Fuchsiaflow-Model": model,
			"X-Fuchsiaflow-Token-Count": "16,600", "X-Fuchsiaflow-Length-Hint": "600"}, "Body": base64.StdEncoding.EncodeToString([]byte(it.Body)),
			"Tokens": 616, "Group": it.Group})
	}
	data, _ := json.Marshal(map[string]any{"TrainStep": step, "Model": model, "MinVersion": minVersion, "DesiredCount": desired, "Items": list})
	return data
}

// submit sends a batch job until it is accepted, at one entry host after the other.
func (c *cluster) submit(id, path string, doc []byte, limit time.Duration) error {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		e := c.entries[i%2]
		status, answer := call(oneShot, http.MethodPost, c.frontAddr(e), path, map[string]string{"X-Fuchsiaflow-Request-Id": id, "Content-Type": "application/json"}, doc, 4*time.Second)
		c.rec.logf("trainer: POST %s job %s at %s -> %d %s", path, id, e.name, status, bytes.TrimSpace(answer))
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// result is a result of a batch job.
type result struct {
	ID       string `json:"Id"`
	State    string
	Text     string
	Versions []uint64
}

// results reads the results of a job from a position on; ok is false without a 200.
func (c *cluster) results(entry int, id string, after int) (list []result, ok bool) {
	status, data := call(oneShot, http.MethodGet, c.frontAddr(c.entries[entry]), fmt.Sprintf("/lots/%s?After=%d", id, after),
		map[string]string{"X-Fuchsiaflow-Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
	var page struct{ Results []result }
	if status != http.StatusOK || json.Unmarshal(data, &page) != nil {
		return nil, false
	}
	return page.Results, true
}

// readAll reads results until there are n of them or the time is up.
func (c *cluster) readAll(id string, n int, limit time.Duration) []result {
	var all []result
	until := time.Now().Add(limit)
	for i := 0; len(all) < n && time.Now().Before(until); i++ {
		list, ok := c.results(i%2, id, len(all))
		for _, r := range list {
			c.rec.logf("trainer: job %s position %d: %s %s versions %v", id, len(all), r.ID, r.State, r.Versions)
			all = append(all, r)
		}
		if !ok {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return all
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"Name": name, "Host": callHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 10000, "TargetLatencyMs": 500, "Priority": 0,
		"Service": service, "MaxAttempts": 3, "MaxAgeS": 40.0, "RunDeadlineMs": 7500, "SingleVersion": false, "Sticky": kind == "rollout", "Resumable": kind == "rollout"}
}

// configDoc returns a configuration. Services with slots serve the model.
func configDoc(version int, routes []map[string]any, slots map[string]int) map[string]any {
	var services []map[string]any
	for name, n := range slots {
		s := map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 325, "Protocol": "h1", "Tls": false}
		if n > 0 {
			s["Engine"] = map[string]any{"Slots": n, "KvCapacityTokens": 26346, "TokenKvBytes": 18432, "LinkMbps": 2900000.0, "Models": []map[string]string{{"Name": model}}}
		}
		services = append(services, s)
	}
	return map[string]any{"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
}
