package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"fuchsiaflow/errs"
)

// Limits and defaults of steps, desk requests and fetches.
const (
	// MaxStepSamples is the maximum number of samples of a step. The system is designed for 16,384.
	MaxStepSamples = 65536
	// MaxTokens is the maximum output length that a caller may request.
	MaxTokens = 1 << 20
	// DefaultStepTimeout applies to steps that state no timeout.
	DefaultStepTimeout = 4 * time.Minute
	// MaxFetchWait is the maximum time that a fetch waits for samples.
	MaxFetchWait = 30 * time.Second
	// DefaultFetchSize is the maximum batch size of a fetch that states none.
	DefaultFetchSize = 256
)

func (h *handler) openStep(w http.ResponseWriter, r *http.Request, id Identity) error {
	var req OpenStepRequest
	if err := decodeBody(w, r, MaxBodyBytes, &req); err != nil {
		return err
	}
	if err := validateOpenStep(&req); err != nil {
		return err
	}
	reply, err := h.Trainer.OpenStep(r.Context(), id.Tenancy, req)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

// validateOpenStep validates a request and sets its default timeout.
func validateOpenStep(req *OpenStepRequest) error {
	if err := validateID("$.step", req.Step); err != nil {
		return err
	}
	if req.TimeoutMS == 0 {
		req.TimeoutMS = DefaultStepTimeout.Milliseconds()
	}
	if req.TimeoutMS < 0 || req.TimeoutMS > MaxTimeout.Milliseconds() {
		return &errs.Invalid{Path: "$.timeout_ms", Want: "0 to " + strconv.FormatInt(MaxTimeout.Milliseconds(), 10), Got: strconv.FormatInt(req.TimeoutMS, 10)}
	}
	total := 0
	for i, g := range req.Groups {
		path := "$.groups[" + strconv.Itoa(i) + "]"
		if g.Samples < 1 || g.Samples > MaxStepSamples {
			return &errs.Invalid{Path: path + ".samples", Want: "1 to " + strconv.Itoa(MaxStepSamples), Got: strconv.Itoa(g.Samples)}
		}
		if g.MaxTokens < 1 || g.MaxTokens > MaxTokens {
			return &errs.Invalid{Path: path + ".max_tokens", Want: "1 to " + strconv.Itoa(MaxTokens), Got: strconv.Itoa(g.MaxTokens)}
		}
		total += g.Samples
	}
	if total < 1 || total > MaxStepSamples {
		return &errs.Invalid{Path: "$.groups", Want: "1 to " + strconv.Itoa(MaxStepSamples) + " samples in total", Got: strconv.Itoa(total)}
	}
	return nil
}

func (h *handler) fetch(w http.ResponseWriter, r *http.Request, id Identity) error {
	var req FetchRequest
	if err := decodeBody(w, r, MaxSmallBodyBytes, &req); err != nil {
		return err
	}
	if req.Max == 0 {
		req.Max = DefaultFetchSize
	}
	if req.Max < 1 || req.Max > MaxStepSamples {
		return &errs.Invalid{Path: "$.max", Want: "1 to " + strconv.Itoa(MaxStepSamples), Got: strconv.Itoa(req.Max)}
	}
	if req.WaitMS < 0 || req.WaitMS > MaxFetchWait.Milliseconds() {
		return &errs.Invalid{Path: "$.wait_ms", Want: "0 to " + strconv.FormatInt(MaxFetchWait.Milliseconds(), 10), Got: strconv.FormatInt(req.WaitMS, 10)}
	}
	reply, err := h.Trainer.Fetch(r.Context(), id.Tenancy, r.PathValue("step"), req)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

func (h *handler) stepStatus(w http.ResponseWriter, r *http.Request, id Identity) error {
	reply, err := h.Trainer.Step(r.Context(), id.Tenancy, r.PathValue("step"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request, id Identity) error {
	var req PublishRequest
	if err := decodeBody(w, r, MaxSmallBodyBytes, &req); err != nil {
		return err
	}
	if err := validateID("$.model", req.Model); err != nil {
		return err
	}
	if req.Version == 0 {
		return &errs.Invalid{Path: "$.version", Want: "1 or more", Got: "0"}
	}
	reply, err := h.Trainer.Publish(r.Context(), id.Tenancy, req)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

func (h *handler) serveDesk(w http.ResponseWriter, r *http.Request, id Identity) error {
	req, err := decodeDesk(w, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout)
	defer cancel()
	if r.URL.Query().Get("stream") == "1" {
		return h.streamDesk(ctx, w, id, req)
	}
	reply, err := h.Desk.Do(ctx, id.Tenancy, req, nil)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

// decodeDesk decodes and validates a desk request and assigns it a request ID.
func decodeDesk(w http.ResponseWriter, r *http.Request) (DeskRequest, error) {
	var req DeskRequest
	if err := decodeBody(w, r, MaxSmallBodyBytes, &req); err != nil {
		return req, err
	}
	var err error
	if req.Timeout, err = parseTimeoutHeader(r); err != nil {
		return req, err
	}
	if req.Unsafe, err = parseBoolHeader(r, "X-Unsafe"); err != nil {
		return req, err
	}
	req.Pool = r.PathValue("pool")
	req.IdempotencyKey = r.Header.Get("Idempotency-Key")
	if req.IdempotencyKey != "" {
		if err := validateID("header Idempotency-Key", req.IdempotencyKey); err != nil {
			return req, err
		}
	}
	if req.MaxTokens < 0 || req.MaxTokens > MaxTokens {
		return req, &errs.Invalid{Path: "$.max_tokens", Want: "0 to " + strconv.Itoa(MaxTokens), Got: strconv.Itoa(req.MaxTokens)}
	}
	if (len(req.Body) > 0) == (req.Prompt != "") {
		return req, &errs.Invalid{Path: "$", Want: "either body (plain service) or prompt (engine)", Got: "both or neither"}
	}
	req.RequestID = uuid.NewString()
	return req, nil
}

// streamDesk writes the answer as NDJSON, one chunk per line. An error after the first chunk is written as
// a last line with an error object, because the status has already been sent.
func (h *handler) streamDesk(ctx context.Context, w http.ResponseWriter, id Identity, req DeskRequest) error {
	started := false
	enc := json.NewEncoder(w)
	_, err := h.Desk.Do(ctx, id.Tenancy, req, func(c DeskChunk) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.WriteHeader(http.StatusOK)
		}
		if err := enc.Encode(c); err != nil {
			return &errs.Interrupted{Operation: "answer stream", Reason: err.Error()}
		}
		return http.NewResponseController(w).Flush()
	})
	if err != nil && started {
		_ = enc.Encode(NewErrorReply(err))
		return nil
	}
	return err
}

// handleTarget decodes the call of a target into body, executes it and answers with an empty object or
// the error.
func (h *handler) handleTarget(w http.ResponseWriter, r *http.Request, body any, call func() error) {
	if err := decodeBody(w, r, MaxSmallBodyBytes, body); err != nil {
		writeError(w, err)
		return
	}
	if err := call(); err != nil {
		h.logFailure(r, "", err)
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	h.handleTarget(w, r, &a, func() error {
		if err := validateAnnouncement(a); err != nil {
			return err
		}
		return h.Targets.Announce(r.Context(), a)
	})
}

func validateAnnouncement(a Announcement) error {
	fields := []struct{ path, value string }{
		{"$.id", a.ID}, {"$.failure_domain", a.FailureDomain}, {"$.pool", a.Pool}, {"$.address", a.Address},
	}
	for _, f := range fields {
		if err := validateID(f.path, f.value); err != nil {
			return err
		}
	}
	if a.Kind != "engine" && a.Kind != "service" {
		return &errs.Invalid{Path: "$.kind", Want: `"engine" or "service"`, Got: strconv.Quote(a.Kind)}
	}
	if a.Slots < 1 {
		return &errs.Invalid{Path: "$.slots", Want: "1 or more", Got: strconv.Itoa(a.Slots)}
	}
	return nil
}

func (h *handler) leave(w http.ResponseWriter, r *http.Request) {
	var l LeaveRequest
	h.handleTarget(w, r, &l, func() error {
		return h.Targets.Leave(r.Context(), r.PathValue("id"), l)
	})
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	var e CacheEvents
	h.handleTarget(w, r, &e, func() error {
		return h.Targets.CacheEvents(r.Context(), r.PathValue("id"), e)
	})
}

func (h *handler) applyConfig(w http.ResponseWriter, r *http.Request) error {
	body, err := readBody(w, r, MaxBodyBytes)
	if err != nil {
		return err
	}
	reply, err := h.Operator.Apply(r.Context(), body)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

func (h *handler) getConfig(w http.ResponseWriter, r *http.Request) error {
	reply, err := h.Operator.Config(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) error {
	reply, err := h.Operator.Status(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

// changeMember changes the membership of the group in the path. The slash in a group name must be escaped,
// as in domain%2Fkolfe.
func (h *handler) changeMember(w http.ResponseWriter, r *http.Request) error {
	var req MemberRequest
	if err := decodeBody(w, r, MaxBodyBytes, &req); err != nil {
		return err
	}
	switch req.Action {
	case AddMember, PromoteMember, RemoveMember:
	default:
		return &errs.Invalid{Path: "$.action", Want: "one of add, promote, remove", Got: strconv.Quote(req.Action)}
	}
	if err := validateID("$.host", req.Host); err != nil {
		return err
	}
	reply, err := h.Operator.ChangeMember(r.Context(), r.PathValue("group"), req)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, reply)
	return nil
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) error {
	if err := h.Operator.Drain(r.Context()); err != nil {
		return err
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
	return nil
}
