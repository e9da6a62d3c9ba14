package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Names of the configuration.
const (
	hostName     = "yard.example"
	batchPrefix  = "/train/"
	plainPrefix  = "/desk/"
	onceName     = "once"
	oncePrefix   = "/once/"
	streamPrefix = "/live/"
	engineName   = "models"
	plainName    = "desk"
	modelName    = "m0"
)

// configuration returns a configuration of the system.
func configuration(version int) []byte {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
			"MaxAttempts": 2, "MaxAgeS": 40.0, "RunDeadlineMs": 7500, "SingleVersion": false, "Sticky": false, "Resumable": kind == "rollout"}
	}
	data, _ := json.Marshal(map[string]any{"Version": version,
		"Routes": []any{route("train", batchPrefix, "rollout", engineName), route("desk", plainPrefix, "idempotent", plainName), route(onceName, oncePrefix, "non_idempotent", plainName)},
		"Services": []any{
			map[string]any{"Name": engineName, "HealthPath": "/health", "MaxConnections": 325, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 12, "KvCapacityTokens": 90000, "Models": []any{map[string]string{"Name": modelName}}}},
			map[string]any{"Name": plainName, "HealthPath": "/health", "MaxConnections": 208, "Protocol": "h1", "Tls": false}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	return data
}

// waitReady puts the configuration into force and waits until all entry hosts are ready.
func (c *cluster) waitReady(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < 25*time.Second && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if !c.control(ctx, http.MethodPost, "/Configuration.Replace", configuration(1), 1).ok() {
			continue
		}
		ready := 0
		for _, e := range c.entries {
			if call(ctx, callClient, http.MethodGet, "http://"+e.addr(readyPort)+"/readiness", nil, nil).status == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.entries) {
			c.record.add("ready")
			return nil
		}
	}
	return errNotReady
}

// usualStatusS is StatusS of the site file.
const usualStatusS = 120

// The size of a step: groups groups of groupSize items, as in the site file.
const (
	groups    = 18
	groupSize = 4
)

// jobDocument returns a batch job of groups of four items, each with a body of a size.
func jobDocument(job string, groups int, body []byte) []byte {
	var items []any
	for g := range groups {
		for i := range groupSize {
			id := fmt.Sprintf("%s-%d-%d", job, g, i)
			items = append(items, map[string]any{"Id": id, "Path": batchPrefix + "run/" + id, "Body": base64.StdEncoding.EncodeToString(body), "Tokens": 400, "Group": fmt.Sprintf("%s-%d", job, g),
				"Headers": map[string]string{headerModel: modelName, "X-Fuchsiaflow-Token-Count": "100,300"}})
		}
	}
	data, _ := json.Marshal(map[string]any{"TrainStep": 0, "Model": modelName, "MinVersion": 1, "DesiredCount": groups, "Items": items})
	return data
}

// frontClient makes calls to entry hosts.
var frontClient = &http.Client{Timeout: 4500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// submit submits a batch job to an entry host.
func (c *cluster) submit(ctx context.Context, e *host, job string, document []byte) reply {
	c.record.add("submit", "job", job, "entry", e.name, "bytes", strconv.Itoa(len(document)))
	r := call(ctx, frontClient, http.MethodPost, "http://"+e.addr(frontPort)+batchPrefix+job, map[string]string{"Host": hostName, headerID: job, "Content-Type": "application/json",
		headerDeadline: "4000"}, document)
	c.record.add("answered", "job", job, "status", strconv.Itoa(r.status), "error", fmt.Sprint(r.err))
	return r
}

// page is a part of the results of a batch job.
type page struct {
	TotalCount, NextToken int
	Results               []struct {
		ID    string `json:"Id"`
		State string
		Text  string
	}
}

// results reads the results of a batch job from a position on.
func (c *cluster) results(ctx context.Context, e *host, job string, after int) (page, reply) {
	r := call(ctx, frontClient, http.MethodGet, fmt.Sprintf("http://%s/lots/%s?After=%d", e.addr(frontPort), job, after), map[string]string{"Host": hostName}, nil)
	var p page
	if r.status == http.StatusOK {
		_ = json.Unmarshal(r.body, &p) // an unreadable page has no results
	}
	return p, r
}

// retryPause is the pause of a client before a new attempt.
const retryPause = 500 * time.Millisecond

// readUntilWhole reads the results of a batch job until all are there, or ctx ends.
func (c *cluster) readUntilWhole(ctx context.Context, job string) {
	after := 0
	for try := 0; ctx.Err() == nil; try++ {
		p, r := c.results(ctx, c.entries[try%len(c.entries)], job, after)
		if r.ok() {
			after = p.NextToken
			if after == p.TotalCount {
				c.record.add("whole", "job", job, "results", strconv.Itoa(after))
				return
			}
		}
		time.Sleep(retryPause)
	}
}

// endJob ends a batch job.
func (c *cluster) endJob(ctx context.Context, job string) {
	for try := 0; ctx.Err() == nil; try++ {
		e := c.entries[try%len(c.entries)]
		r := call(ctx, frontClient, http.MethodDelete, "http://"+e.addr(frontPort)+"/lots/"+job, map[string]string{"Host": hostName}, nil)
		if r.ok() {
			c.record.add("ended", "job", job)
			return
		}
		time.Sleep(retryPause)
	}
}
