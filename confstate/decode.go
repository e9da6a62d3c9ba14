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

// MaxBodyBytes is the maximum size of a configuration file. A file that retires all 12,000
// targets by IDs of 64 bytes takes less than 1 MiB.
const MaxBodyBytes = 4 << 20

// maxQuotedBytes is the maximum length of a rejected value in an error message.
const maxQuotedBytes = 64

// Parse decodes and validates a configuration file. The lists of the result are sorted and
// defaults are filled in. Parse returns errs.TooLarge for a file above MaxBodyBytes. For
// unknown or duplicate fields, null values, trailing data and values out of range it returns
// errs.Invalid with the JSON path and the accepted values.
func Parse(data []byte) (*Config, error) {
	if len(data) > MaxBodyBytes {
		return nil, &errs.TooLarge{What: "configuration", Limit: MaxBodyBytes}
	}
	if !utf8.Valid(data) {
		return nil, &errs.Invalid{Path: "$", Want: "UTF-8 text", Got: "invalid UTF-8"}
	}
	var document json.RawMessage
	if err := json.Unmarshal(data, &document); err != nil {
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

// decoder decodes a token stream into structs. It replaces json.Unmarshal, which ignores the
// case of field names, keeps the last of duplicate keys and reports no path for unknown fields.
type decoder struct{ *json.Decoder }

func (d decoder) value(path string, v reflect.Value) error {
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		return d.value(path, v.Elem())
	}
	tok, err := d.Token()
	if err != nil {
		return &errs.Invalid{Path: path, Want: expectedValue(v), Got: err.Error()}
	}
	switch v.Kind() {
	case reflect.Struct:
		if tok == json.Delim('{') {
			return d.object(path, v)
		}
	case reflect.Slice:
		if tok == json.Delim('[') {
			return d.array(path, v)
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
	return &errs.Invalid{Path: path, Want: expectedValue(v), Got: describeToken(tok)}
}

func (d decoder) object(path string, v reflect.Value) error {
	fields := structFields(v.Type())
	seen := make(map[string]bool, len(fields))
	for d.More() {
		tok, err := d.Token()
		if err != nil {
			return &errs.Invalid{Path: path, Want: "a field name", Got: err.Error()}
		}
		key, _ := tok.(string)
		i := fieldIndex(fields, key)
		if i < 0 {
			return &errs.Invalid{Path: joinPath(path, key), Want: "one of the fields " + fieldNames(fields), Got: "an unknown field"}
		}
		if seen[key] {
			return &errs.Invalid{Path: joinPath(path, key), Want: "each field at most once", Got: "a duplicate field"}
		}
		seen[key] = true
		if err := d.value(joinPath(path, key), v.Field(i)); err != nil {
			return err
		}
		if fields[i].nonzero && v.Field(i).IsZero() {
			return &errs.Invalid{Path: joinPath(path, key), Want: "a nonzero value, or no field to use the default", Got: "zero"}
		}
	}
	for i, f := range fields {
		if !f.optional && !seen[f.name] {
			return &errs.Invalid{Path: joinPath(path, f.name), Want: expectedValue(v.Field(i)), Got: "a missing field"}
		}
	}
	return d.end(path)
}

func (d decoder) array(path string, v reflect.Value) error {
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

// field describes a JSON field. A field with the tag conf:"nonzero" has a default and rejects an
// explicit zero value, which would otherwise silently become the default.
type field struct {
	name     string
	optional bool
	nonzero  bool
}

// structFields returns the JSON fields of a struct in the order of its Go fields.
func structFields(t reflect.Type) []field {
	fields := make([]field, t.NumField())
	for i := range fields {
		tag := t.Field(i).Tag
		name, option, _ := strings.Cut(tag.Get("json"), ",")
		fields[i] = field{name: name, optional: option == "omitempty", nonzero: tag.Get("conf") == "nonzero"}
	}
	return fields
}

func fieldIndex(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

// expectedValue describes the JSON values that v accepts, for error messages.
func expectedValue(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		return expectedValue(reflect.New(v.Type().Elem()).Elem())
	case reflect.Struct:
		return "an object with the fields " + fieldNames(structFields(v.Type()))
	case reflect.Slice:
		return "an array"
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

func describeToken(tok json.Token) string {
	switch t := tok.(type) {
	case nil:
		return "null"
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return quoted(t)
	default:
		return truncated(fmt.Sprint(t))
	}
}

// joinPath appends a key to a JSON path, in brackets and quotes unless it is a plain name.
func joinPath(path, key string) string {
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
