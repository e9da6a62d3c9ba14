package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// node is a decoded JSON value and its JSON path, for example "$.hosts[0].peer".
type node struct {
	path  string
	value any
}

// missing is the value of a required field that is absent from the document.
type missing struct{}

// decode reads one JSON document. It rejects repeated fields; json.Unmarshal would silently keep
// the last one.
func decode(data []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	v, err := decodeValue(d, "$")
	if err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, &errs.Invalid{Path: "$", Want: "one JSON document", Got: fmt.Sprintf("more data at byte %d", d.InputOffset())}
	}
	return v, nil
}

// syntaxError returns an error that does not quote the document, because the document contains
// bearer tokens.
func syntaxError(d *json.Decoder, path string) error {
	return &errs.Invalid{Path: path, Want: "valid JSON", Got: fmt.Sprintf("a syntax error near byte %d", d.InputOffset())}
}

func decodeValue(d *json.Decoder, path string) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, syntaxError(d, path)
	}
	switch t {
	case json.Delim('{'):
		return decodeObject(d, path)
	case json.Delim('['):
		return decodeList(d, path)
	}
	return t, nil
}

func decodeObject(d *json.Decoder, path string) (any, error) {
	m := make(map[string]any)
	for d.More() {
		t, err := d.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return nil, syntaxError(d, path)
		}
		if _, ok := m[key]; ok {
			return nil, &errs.Invalid{Path: path + "." + key, Want: "each field once", Got: "a repeated field"}
		}
		if m[key], err = decodeValue(d, path+"."+key); err != nil {
			return nil, err
		}
	}
	if _, err := d.Token(); err != nil {
		return nil, syntaxError(d, path)
	}
	return m, nil
}

func decodeList(d *json.Decoder, path string) (any, error) {
	l := []any{}
	for d.More() {
		v, err := decodeValue(d, fmt.Sprintf("%s[%d]", path, len(l)))
		if err != nil {
			return nil, err
		}
		l = append(l, v)
	}
	if _, err := d.Token(); err != nil {
		return nil, syntaxError(d, path)
	}
	return l, nil
}

// reader converts nodes to Go values and records the first error.
type reader struct{ err error }

// object is a JSON object without unknown fields.
type object struct {
	path   string
	fields map[string]any
}

// required returns the node of a required field. An absent field has the value missing{}.
func (o object) required(field string) node {
	v, ok := o.fields[field]
	if !ok {
		v = missing{}
	}
	return node{o.path + "." + field, v}
}

// optional returns the node of an optional field and whether it is present.
func (o object) optional(field string) (node, bool) {
	v, ok := o.fields[field]
	return node{o.path + "." + field, v}, ok
}

func (r *reader) fail(path, want, got string) {
	if r.err == nil {
		r.err = &errs.Invalid{Path: path, Want: want, Got: got}
	}
}

// wrongType reports the type of a value but not the value, which may be a token.
func (r *reader) wrongType(n node, want string) {
	r.fail(n.path, want, jsonTypeName(n.value))
}

func jsonTypeName(v any) string {
	switch v.(type) {
	case missing:
		return "nothing"
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	}
	return "an object"
}

// rawObject returns the fields of an object with arbitrary field names.
func (r *reader) rawObject(n node) map[string]any {
	m, ok := n.value.(map[string]any)
	if !ok {
		r.wrongType(n, "an object")
	}
	return m
}

// object returns an object and rejects fields that are not in allowed.
func (r *reader) object(n node, allowed ...string) object {
	m := r.rawObject(n)
	for key := range m {
		if !slices.Contains(allowed, key) {
			r.fail(n.path+"."+key, "one of the fields "+strings.Join(allowed, ", "), "an unknown field")
		}
	}
	return object{n.path, m}
}

func (r *reader) list(n node) []node {
	l, ok := n.value.([]any)
	if !ok {
		r.wrongType(n, "a list")
	}
	nodes := make([]node, len(l))
	for i, v := range l {
		nodes[i] = node{fmt.Sprintf("%s[%d]", n.path, i), v}
	}
	return nodes
}

func (r *reader) nonEmptyString(n node) string {
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(n, "a string")
	} else if s == "" {
		r.fail(n.path, "a non-empty string", "an empty string")
	}
	return s
}

// maxNameBytes bounds names because every gossip packet carries them.
const maxNameBytes = 64

// name accepts letters of any script because failure domains are named after places.
func (r *reader) name(n node) string {
	const want = "a name of at most 64 bytes of letters, digits, '-', '_' and '.'"
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(n, want)
		return ""
	}
	invalid := func(c rune) bool {
		return !unicode.IsLetter(c) && !unicode.IsDigit(c) && !strings.ContainsRune("-_.", c)
	}
	if s == "" || len(s) > maxNameBytes || strings.ContainsFunc(s, invalid) {
		r.fail(n.path, want, fmt.Sprintf("%q", s))
	}
	return s
}

// secret reports only the length of an invalid token.
func (r *reader) secret(n node) Secret {
	const want = "a token of printable ASCII characters without spaces"
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(n, want)
		return ""
	}
	if s == "" || strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
		r.fail(n.path, want, fmt.Sprintf("an invalid value of %d bytes", len(s)))
	}
	return Secret(s)
}

func (r *reader) boolean(n node) bool {
	b, ok := n.value.(bool)
	if !ok {
		r.wrongType(n, "true or false")
	}
	return b
}

func (r *reader) integer(n node, low, high int64) int64 {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	num, ok := n.value.(json.Number)
	if !ok {
		r.wrongType(n, want)
		return low
	}
	v, err := num.Int64()
	if err != nil || v < low || v > high {
		r.fail(n.path, want, num.String())
	}
	return v
}

func (r *reader) oneOf(n node, allowed ...string) string {
	want := "one of " + strings.Join(allowed, ", ")
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(n, want)
		return ""
	}
	if !slices.Contains(allowed, s) {
		r.fail(n.path, want, fmt.Sprintf("%q", s))
	}
	return s
}

// address accepts IP:port. The unspecified IP is valid only for a listen address, because other
// hosts cannot connect to it.
func (r *reader) address(n node, listenOnly bool) string {
	const want = "IP:port with a port from 1 to 65535"
	s, ok := n.value.(string)
	if !ok {
		r.wrongType(n, want)
		return ""
	}
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 {
		r.fail(n.path, want, fmt.Sprintf("%q", s))
		return ""
	}
	if addr.Addr().IsUnspecified() && !listenOnly {
		r.fail(n.path, want+" that other hosts can reach", fmt.Sprintf("%q", s))
	}
	return s
}
