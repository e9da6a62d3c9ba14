package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/host"
)

// operatorTimeout bounds a request to a host.
const operatorTimeout = 15 * time.Second

// hostFlags select the host to send requests to.
type hostFlags struct {
	Host  string `required:"" help:"IP:port of a host's HTTP interface." placeholder:"IP:PORT"`
	Token string `env:"FUCHSIAFLOW_OPERATOR_TOKEN" help:"Operator token; better given in the environment."`
}

// call sends a request and decodes the answer into out. If the host answers with an error, call returns
// it as *errs.Remote.
func (f *hostFlags) call(method, path string, body []byte, out any) error {
	s := sling.New().Base("http://"+f.Host).Set("Authorization", "Bearer "+f.Token)
	switch method {
	case http.MethodPost:
		s = s.Post(path)
	default:
		s = s.Get(path)
	}
	if body != nil {
		s = s.Body(bytes.NewReader(body)).Set("Content-Type", "application/json")
	}
	request, err := s.Request()
	if err != nil {
		return &errs.Invalid{Path: "--host", Want: "IP:port", Got: f.Host}
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var failure api.ErrorReply
	response, err := s.Client(http.DefaultClient).Do(request.WithContext(ctx), out, &failure)
	if err != nil {
		return &errs.Interrupted{Operation: method + " " + path, Reason: err.Error()}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return &errs.Remote{Code: failure.Error.Code, Outcome: failure.Error.Outcome, Message: failure.Error.Message,
			After: time.Duration(failure.Error.RetryAfterMS) * time.Millisecond}
	}
	return nil
}

func readConfig(path string) (*confstate.Config, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return confstate.Parse(data)
}

type applyCommand struct {
	hostFlags
	File string `arg:"" type:"existingfile" help:"Configuration file in JSON."`
	JSON bool   `name:"json" help:"Print the answer as JSON."`
}

// Run validates the file and applies it. Applying the same file again is safe.
func (c *applyCommand) Run() error {
	cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	var reply api.ApplyReply
	if err := c.call(http.MethodPost, "/v1/config", confstate.CanonicalJSON(cfg), &reply); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(reply)
	}
	note := ""
	if reply.Repeated {
		note = " (it was accepted before)"
	}
	fmt.Printf("configuration version %d is accepted, digest %s%s\n", reply.Version, reply.Digest, note)
	return nil
}

type statusCommand struct {
	hostFlags
	JSON bool `name:"json" help:"Print the status as JSON."`
}

// Run prints the state of a host.
func (c *statusCommand) Run() error {
	var status host.Status
	if err := c.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	printStatus(os.Stdout, &status)
	return nil
}

func printStatus(out io.Writer, s *host.Status) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "host\t%s\t%s\tready %t\t%s\n", s.Host, s.FailureDomain, s.Ready, s.Reason)
	fmt.Fprintf(w, "configuration\tversion %d\t%s\n", s.ConfigVersion, s.ConfigDigest)
	for _, name := range slices.Sorted(maps.Keys(s.Groups)) {
		g := s.Groups[name]
		fmt.Fprintf(w, "group\t%s\t%s\tleader %s\tterm %d\tcommit %d\tvoters %s\tlearners %s\n",
			name, g.Role, g.Leader, g.Term, g.Commit, joinNames(g.Voters), joinNames(g.Learners))
	}
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "member\t%s\t%s\t%s\n", h.Host, h.FailureDomain, h.State)
	}
	for _, t := range s.Targets {
		fmt.Fprintf(w, "target\t%s\t%s\t%s\t%v\n", t.ID, t.Pool, t.State, t.Loaded)
	}
	fmt.Fprintf(w, "queued\tdesk %d\tsamples %d\n", s.Queued.Desk, s.Queued.Samples)
	fmt.Fprintf(w, "running\trequests %d\tsamples %d\n", s.Running.Requests, s.Running.Samples)
	if s.Work != nil {
		fmt.Fprintf(w, "work\topen %d\tin flight %d\thedged %d\texpired %d\n", s.Work.OpenSlots, s.Work.InFlight, s.Work.Hedged, s.Work.Expired)
	}
	if s.Weights != nil {
		fmt.Fprintf(w, "weights\tbehind %d\tswapping %d\tfailures %d\n", s.Weights.Behind, s.Weights.Swapping, s.Weights.Failures)
		for _, q := range s.Weights.Quarantined {
			fmt.Fprintf(w, "quarantine\t%s\t%s\tversion %d\t%s\n", q.Target, q.Model, q.Version, q.Reason)
		}
	}
}

type drainCommand struct {
	hostFlags
}

// Run requests a graceful shutdown of a host.
func (c *drainCommand) Run() error {
	if err := c.call(http.MethodPost, "/v1/drain", nil, nil); err != nil {
		return err
	}
	fmt.Println("the host is draining")
	return nil
}

func printJSON(v any) error { return writeJSON(os.Stdout, v) }

func writeJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return &errs.Interrupted{Operation: "standard output", Reason: err.Error()}
	}
	return nil
}
