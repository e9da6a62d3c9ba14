package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Names of the example deployment.
const (
	routeHost   = "ficu95.example"
	routePrefix = "/pufi791/"
	service     = "huvo11a"
	model       = "daka510000"
)

// configuration returns a configuration with one route for batch jobs.
func configuration() map[string]any {
	return map[string]any{"Version": 1,
		"Routes": []any{map[string]any{"Name": "r-i9n73hh", "Host": routeHost, "PathPrefix": routePrefix, "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 500, "Priority": 0,
			"Service": service, "MaxAttempts": 3, "MaxAgeS": 40.0, "RunDeadlineMs": 7500, "SingleVersion": false, "Sticky": true, "Resumable": true}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConnections": 325, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 12, "KvCapacityTokens": 26346, "TokenKvBytes": 18432, "Models": []any{map[string]any{"Name": model}}}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
}

// item is an item of a batch job.
type item struct {
	ID      string `json:"Id"`
	Path    string
	Headers map[string]string
	Body    string
	Tokens  int
	Group   string
}

// newItem returns an item with a body, a prompt and a maximum output.
func newItem(id string, body []byte, prompt, output int) item {
	return item{ID: id, Path: routePrefix + "3/91c4", Body: base64.StdEncoding.EncodeToString(body), Tokens: prompt + output, Group: "g" + id,
		Headers: map[string]string{"X-Fuchsiaflow-Model": model, "X-Fuchsiaflow-Token-Count": fmt.Sprintf("%d,%d", prompt, output),
			"X-Fuchsiaflow-Prompt-Prefix": fmt.Sprintf("%x:%d", len(id)+7, prompt)}}
}

// job is a batch job.
type job struct {
	TrainStep    int
	Model        string
	MinVersion   int
	DesiredCount int
	Items        []item
}

// page is an answer to a read of results.
type page struct {
	TotalCount, NextToken int
	Results               []struct{ Id, State, Text string }
}

// clients send calls to the edge machines, each on a new connection.
type clients struct {
	edges []string
	log   *record
	next  atomic.Int64
	http  *http.Client
}

func newClients(edges []string, log *record) *clients {
	return &clients{edges: edges, log: log, http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends a call to the next edge machine.
func (c *clients) call(method, path string, header map[string]string, body []byte) (status int, answer []byte, err error) {
	edge := c.edges[int(c.next.Add(1))%len(c.edges)]
	req, err := http.NewRequest(method, "http://"+edge+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = routeHost
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// submit submits a batch job, at another machine after each failure, until it is accepted or the patience ends.
func (c *clients) submit(id string, j *job, patience time.Duration) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	return c.submitDocument(id, body, patience)
}

// submitDocument is submit for a batch job in JSON.
func (c *clients) submitDocument(id string, body []byte, patience time.Duration) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		status, _, err := c.call(http.MethodPost, routePrefix+id, map[string]string{"X-Fuchsiaflow-Request-Id": id, "Content-Type": "application/json",
			"X-Fuchsiaflow-Deadline-Ms": "3000"}, body)
		c.log.printf("batch job %s of %d bytes: %d %v", id, len(body), status, err)
		if status == http.StatusAccepted {
			return true
		}
		if err == nil && status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return false
		}
	}
	return false
}

// read reads all results of a batch job from a position. ok is false if no machine gives them within the patience. wait is how
// long to wait until all items are listed.
func (c *clients) read(id string, patience time.Duration, all bool) (p page, ok bool) {
	last := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		status, answer, err := c.call(http.MethodGet, fmt.Sprintf("/lots/%s?After=%d", id, p.NextToken), map[string]string{"X-Fuchsiaflow-Wait-Ms": "1000"}, nil)
		last = fmt.Sprint(status, " ", err)
		var next page
		if err != nil || status != http.StatusOK || json.Unmarshal(answer, &next) != nil {
			continue
		}
		p.TotalCount, p.NextToken = next.TotalCount, next.NextToken
		p.Results = append(p.Results, next.Results...)
		ok = true
		if !all || len(p.Results) >= p.TotalCount {
			return p, true
		}
	}
	if !ok {
		c.log.printf("batch job %s cannot be read: %s", id, last)
	}
	return p, ok && !all
}

// end ends a batch job.
func (c *clients) end(id string, patience time.Duration) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		if status, _, err := c.call(http.MethodDelete, "/lots/"+id, nil, nil); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// putConfig sends a configuration until it is acknowledged.
func putConfig(control []string, config map[string]any, patience time.Duration) error {
	return callControl(control, "/Configuration.Replace", config, patience)
}

// nameVersion names a version of the weights until that is acknowledged.
func nameVersion(control []string, version int, patience time.Duration) error {
	return callControl(control, "/version-put", map[string]any{"Model": model, "Version": version}, patience)
}

// callControl sends a call to the hosts in turn until it is acknowledged.
func callControl(control []string, path string, document map[string]any, patience time.Duration) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for i, deadline := 0, time.Now().Add(patience); time.Now().Before(deadline); i++ {
		resp, err := client.Post("http://"+control[i%len(control)]+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = resp.Status
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("call %s not acknowledged: %s", path, last)
}

// awaitReady waits until all edge machines are ready.
func awaitReady(addresses []string, patience time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, a := range addresses {
		ready := false
		for deadline := time.Now().Add(patience); !ready && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + a + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%s is not ready", a)
		}
	}
	return nil
}

// trouble reports whether the case has its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
