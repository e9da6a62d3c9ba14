package confstate

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Difference is one change between two configurations. Path names list items by their name,
// such as $.pools["sorting"].in_flight. Old or New is empty if the item was added or removed.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the differences between two configurations in a fixed order. Order of lists
// and stated defaults make no difference. A nil configuration is an empty one.
func Diff(old, new *Config) []Difference {
	if old == nil {
		old = &Config{}
	}
	if new == nil {
		new = &Config{}
	}
	a, b := normalized(old), normalized(new)
	var out []Difference
	add := func(path string, x, y any) {
		if !reflect.DeepEqual(x, y) {
			out = append(out, Difference{path, render(x), render(y)})
		}
	}
	add("$.version", a.Version, b.Version)
	out = diffNamed(out, "$.tenancies", a.Tenancies, b.Tenancies, func(t Tenancy) string { return t.Name })
	out = diffNamed(out, "$.pools", a.Pools, b.Pools, func(p Pool) string { return p.Name })
	add("$.weight_store", a.WeightStore, b.WeightStore)
	add("$.queues", a.Queues, b.Queues)
	return out
}

func diffNamed[T any](out []Difference, path string, old, new []T, name func(T) string) []Difference {
	before, after := byName(old, name), byName(new, name)
	for _, n := range unionOfNames(old, new, name) {
		at := path + "[" + quoted(n) + "]"
		x, inOld := before[n]
		y, inNew := after[n]
		switch {
		case !inOld:
			out = append(out, Difference{Path: at, New: render(y)})
		case !inNew:
			out = append(out, Difference{Path: at, Old: render(x)})
		default:
			out = diffFields(out, at, reflect.ValueOf(x), reflect.ValueOf(y))
		}
	}
	return out
}

func diffFields(out []Difference, path string, x, y reflect.Value) []Difference {
	for i, f := range fieldsOf(x.Type()) {
		a, b := x.Field(i).Interface(), y.Field(i).Interface()
		if !reflect.DeepEqual(a, b) {
			out = append(out, Difference{join(path, f.name), render(a), render(b)})
		}
	}
	return out
}

func byName[T any](items []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[name(item)] = item
	}
	return out
}

func unionOfNames[T any](old, new []T, name func(T) string) []string {
	var names []string
	for _, item := range old {
		names = append(names, name(item))
	}
	for _, item := range new {
		names = append(names, name(item))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func render(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
