package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// Limits of requests.
const (
	// MaxBodyBytes is the maximum body size of steps and configurations. A step with 16,384 prompts of
	// 1 KiB fits.
	MaxBodyBytes = 32 << 20
	// MaxSmallBodyBytes is the maximum body size of most other requests.
	MaxSmallBodyBytes = 1 << 20
	// MaxIDBytes is the maximum length of names and IDs chosen by callers.
	MaxIDBytes = 128
	// DefaultTimeout applies to requests that state no timeout.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the maximum timeout that a caller may request.
	MaxTimeout = 30 * time.Minute
)

// readBody reads the body. A body larger than limit bytes is an *errs.TooLarge error.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &errs.TooLarge{What: "request body", Limit: limit}
	}
	return nil, &errs.Invalid{Path: "$", Want: "a complete body", Got: err.Error()}
}

// decodeBody decodes the JSON body into v. It rejects unknown fields and trailing data.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := readBody(w, r, limit)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return invalidJSON(err)
	}
	if dec.More() {
		return &errs.Invalid{Path: "$", Want: "one JSON value", Got: "trailing data"}
	}
	return nil
}

// invalidJSON converts a decoding error to an *errs.Invalid.
func invalidJSON(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &errs.Invalid{Path: "$." + typeErr.Field, Want: typeErr.Type.String(), Got: typeErr.Value}
	}
	if errors.Is(err, io.EOF) {
		return &errs.Invalid{Path: "$", Want: "a JSON object", Got: "an empty body"}
	}
	return &errs.Invalid{Path: "$", Want: "a JSON object as documented", Got: err.Error()}
}

// validateID checks a name or an ID. path is the field to report in an error.
func validateID(path, id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return &errs.Invalid{Path: path, Want: "1 to " + strconv.Itoa(MaxIDBytes) + " bytes", Got: strconv.Itoa(len(id)) + " bytes"}
	}
	for _, c := range id {
		if c <= ' ' || c == '/' || c == 0x7f {
			return &errs.Invalid{Path: path, Want: "no spaces, slashes or control characters", Got: strconv.Quote(id)}
		}
	}
	return nil
}

// parseTimeoutHeader returns the value of X-Timeout-Ms, or DefaultTimeout if it is missing.
func parseTimeoutHeader(r *http.Request) (time.Duration, error) {
	v := r.Header.Get("X-Timeout-Ms")
	if v == "" {
		return DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > MaxTimeout.Milliseconds() {
		return 0, &errs.Invalid{Path: "header X-Timeout-Ms", Want: "1 to " + strconv.FormatInt(MaxTimeout.Milliseconds(), 10), Got: strconv.Quote(v)}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseBoolHeader returns the value of a header that must be "true", "false" or missing, which means false.
func parseBoolHeader(r *http.Request, name string) (bool, error) {
	switch v := r.Header.Get(name); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, &errs.Invalid{Path: "header " + name, Want: `"true" or "false"`, Got: strconv.Quote(v)}
	}
}
