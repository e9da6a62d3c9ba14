package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"fuchsiaflow/confstate"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/host"
)

// response is the HTTP response of a host.
type response struct {
	status int
	body   []byte
}

// errorReply decodes the error in the body. Its code is empty if there is none.
func (a response) errorReply() api.ErrorReply {
	var r api.ErrorReply
	_ = json.Unmarshal(a.body, &r)
	return r
}

// call sends a request to a host. header holds alternating names and values.
func (c *cluster) call(host, method, path, token string, body []byte, header ...string) (response, error) {
	r, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.processes[host].http+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, data}, err
}

// apply submits a configuration to a host.
func (c *cluster) apply(host string, cfg *confstate.Config) (api.ApplyReply, response, error) {
	a, err := c.call(host, http.MethodPost, "/v1/config", demo.OperatorToken, confstate.CanonicalJSON(cfg))
	var reply api.ApplyReply
	if err == nil && a.status == http.StatusOK {
		err = json.Unmarshal(a.body, &reply)
	}
	return reply, a, err
}

func (c *cluster) mustApply(host string, cfg *confstate.Config) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("configuration %d is accepted", cfg.Version), func() string {
		_, a, err := c.apply(host, cfg)
		if err != nil || a.status != http.StatusOK {
			return fmt.Sprintf("%v %s", err, a.body)
		}
		return ""
	})
}

func (c *cluster) status(name string) (*host.Status, error) {
	a, err := c.call(name, http.MethodGet, "/v1/status", demo.OperatorToken, nil)
	if err != nil {
		return nil, err
	}
	var s host.Status
	return &s, json.Unmarshal(a.body, &s)
}

func (c *cluster) awaitReady(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.eventually(name+" is ready", func() string {
			a, err := c.call(name, http.MethodGet, "/readyz", "", nil)
			if err != nil || a.status != http.StatusOK {
				return fmt.Sprintf("%v %s", err, a.body)
			}
			return ""
		})
	}
}

// activeConfig returns the version and digest of the configuration in force on a host, or
// version 0 if the host does not report one.
func (c *cluster) activeConfig(name string) (uint64, string) {
	a, err := c.call(name, http.MethodGet, "/v1/config", demo.OperatorToken, nil)
	var reply api.ConfigReply
	if err != nil || a.status != http.StatusOK || json.Unmarshal(a.body, &reply) != nil {
		return 0, ""
	}
	return reply.Version, reply.Digest
}

// awaitConfig waits until a configuration is in force on all named hosts.
func (c *cluster) awaitConfig(cfg *confstate.Config, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.eventually(fmt.Sprintf("configuration %d is in force on %s", cfg.Version, name), func() string {
			if v, digest := c.activeConfig(name); v != cfg.Version || digest != confstate.Digest(cfg) {
				return fmt.Sprintf("version %d digest %s", v, digest)
			}
			return ""
		})
	}
}

// leader waits for a host that leads the group with a valid lease, and returns its name.
func (c *cluster) leader(group string) string {
	c.t.Helper()
	leader := ""
	c.eventually("group "+group+" has a leader", func() string {
		for _, name := range c.hostNames {
			s, err := c.status(name)
			if err == nil && s.Groups[group].HasLease {
				leader = name
				return ""
			}
		}
		return "none"
	})
	return leader
}

// except returns the names of all hosts other than the named ones.
func (c *cluster) except(names ...string) []string {
	var list []string
	for _, name := range c.hostNames {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ") {
			list = append(list, name)
		}
	}
	return list
}
