package confstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"fuchsiaflow/errs"
)

// MaxBodyBytes bounds a configuration file. A file that retires all 12,000 targets by an ID
// of 64 bytes takes under 1 MiB.
const MaxBodyBytes = 4 << 20

// maxQuotedBytes bounds the part of a rejected value that an error repeats.
const maxQuotedBytes = 64

// Parse decodes and validates a configuration file. Unknown or repeated fields, null values,
// trailing data and values outside their range are errors that name the JSON path and the
// accepted values. Lists of the result are sorted and defaults are filled in.
func Parse(data []byte) (*Config, error) {
	if len(data) > MaxBodyBytes {
		return nil, &errs.TooLarge{What: "configuration", Limit: MaxBodyBytes}
	}
	if !utf8.Valid(data) {
		return nil, &errs.Invalid{Path: "$", Want: "UTF-8 text", Got: "bytes that are not UTF-8"}
	}
	var whole json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		return nil, &errs.Invalid{Path: "$", Want: "one JSON document without trailing data", Got: err.Error()}
	}
	var c Config
	d := decoder{json.NewDecoder(bytes.NewReader(data))}
	d.UseNumber()
	if err := d.value("$", reflect.ValueOf(&c).Elem()); err != nil {
		return nil, err
	}
	if err := validate(&c); err != nil {
		return nil, err
	}
	return normalized(&c), nil
}

// decoder fills structs from a token stream. encoding/json itself matches field names without
// regard to case, keeps the last of repeated keys and reports no path for unknown fields.
type decoder struct{ *json.Decoder }

func (d decoder) value(path string, v reflect.Value) error {
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		return d.value(path, v.Elem())
	}
	tok, err := d.Token()
	if err != nil {
		return &errs.Invalid{Path: path, Want: wantOf(v), Got: err.Error()}
	}
	switch v.Kind() {
	case reflect.Struct:
		if tok == json.Delim('{') {
			return d.object(path, v)
		}
	case reflect.Slice:
		if tok == json.Delim('[') {
			return d.list(path, v)
		}
	case reflect.String:
		if s, ok := tok.(string); ok {
			v.SetString(s)
			return nil
		}
	case reflect.Bool:
		if b, ok := tok.(bool); ok {
			v.SetBool(b)
			return nil
		}
	case reflect.Uint64:
		if n, ok := tok.(json.Number); ok {
			if u, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
				v.SetUint(u)
				return nil
			}
		}
	case reflect.Float64:
		if n, ok := tok.(json.Number); ok {
			if f, err := n.Float64(); err == nil {
				v.SetFloat(f)
				return nil
			}
		}
	}
	return &errs.Invalid{Path: path, Want: wantOf(v), Got: describe(tok)}
}

func (d decoder) object(path string, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(fields))
	for d.More() {
		tok, err := d.Token()
		if err != nil {
			return &errs.Invalid{Path: path, Want: "a field name", Got: err.Error()}
		}
		key, _ := tok.(string)
		i := indexOfField(fields, key)
		if i < 0 {
			return &errs.Invalid{Path: join(path, key), Want: "one of the fields " + namesOf(fields), Got: "an unknown field"}
		}
		if seen[key] {
			return &errs.Invalid{Path: join(path, key), Want: "each field once", Got: "a repeated field"}
		}
		seen[key] = true
		if err := d.value(join(path, key), v.Field(i)); err != nil {
			return err
		}
		if fields[i].nonzero && v.Field(i).IsZero() {
			return &errs.Invalid{Path: join(path, key), Want: "a value other than zero, or no field for the default", Got: "zero"}
		}
	}
	for i, f := range fields {
		if !f.optional && !seen[f.name] {
			return &errs.Invalid{Path: join(path, f.name), Want: wantOf(v.Field(i)), Got: "a missing field"}
		}
	}
	return d.end(path)
}

func (d decoder) list(path string, v reflect.Value) error {
	for i := 0; d.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := d.value(fmt.Sprintf("%s[%d]", path, i), item); err != nil {
			return err
		}
		v.Set(reflect.Append(v, item))
	}
	return d.end(path)
}

func (d decoder) end(path string) error {
	if _, err := d.Token(); err != nil {
		return &errs.Invalid{Path: path, Want: "valid JSON", Got: err.Error()}
	}
	return nil
}

// field describes a JSON field. A field with the tag conf:"nonzero" has a default, and its zero
// value must not be stated: a stated 0 would silently become the default.
type field struct {
	name     string
	optional bool
	nonzero  bool
}

// fieldsOf returns the JSON fields of a struct in the order of its Go fields.
func fieldsOf(t reflect.Type) []field {
	out := make([]field, t.NumField())
	for i := range out {
		tag := t.Field(i).Tag
		name, option, _ := strings.Cut(tag.Get("json"), ",")
		out[i] = field{name: name, optional: option == "omitempty", nonzero: tag.Get("conf") == "nonzero"}
	}
	return out
}

func indexOfField(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

func namesOf(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func wantOf(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		return wantOf(reflect.New(v.Type().Elem()).Elem())
	case reflect.Struct:
		return "an object with the fields " + namesOf(fieldsOf(v.Type()))
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "an integer from 0 to 18446744073709551615"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

func describe(tok json.Token) string {
	switch t := tok.(type) {
	case nil:
		return "null"
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return quoted(t)
	default:
		return truncated(fmt.Sprint(t))
	}
}

func join(path, key string) string {
	if validName(key, false) && !strings.Contains(key, ".") {
		return path + "." + key
	}
	return path + "[" + quoted(key) + "]"
}

func quoted(s string) string { return strconv.Quote(truncated(s)) }

func truncated(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}
