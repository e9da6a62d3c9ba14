package confstate

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Difference is one difference between two configurations. The JSON path identifies list items
// by their name, as in $.pools["sorting"].in_flight. Old is empty if an item was added, New if
// it was removed; otherwise they hold JSON.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the differences between two configurations in a fixed order. It ignores the
// order of lists and treats omitted and explicit defaults as equal. A nil configuration is
// treated as empty.
func Diff(old, new *Config) []Difference {
	if old == nil {
		old = &Config{}
	}
	if new == nil {
		new = &Config{}
	}
	a, b := normalized(old), normalized(new)
	var diffs []Difference
	add := func(path string, x, y any) {
		if !reflect.DeepEqual(x, y) {
			diffs = append(diffs, Difference{path, encodeJSON(x), encodeJSON(y)})
		}
	}
	add("$.version", a.Version, b.Version)
	diffs = diffNamed(diffs, "$.tenancies", a.Tenancies, b.Tenancies, func(t Tenancy) string { return t.Name })
	diffs = diffNamed(diffs, "$.pools", a.Pools, b.Pools, func(p Pool) string { return p.Name })
	add("$.weight_store", a.WeightStore, b.WeightStore)
	add("$.queues", a.Queues, b.Queues)
	return diffs
}

// diffNamed appends the differences between two lists whose items are identified by name.
func diffNamed[T any](diffs []Difference, path string, old, new []T, name func(T) string) []Difference {
	oldByName, newByName := indexByName(old, name), indexByName(new, name)
	for _, n := range sortedNames(old, new, name) {
		itemPath := path + "[" + quoted(n) + "]"
		x, inOld := oldByName[n]
		y, inNew := newByName[n]
		switch {
		case !inOld:
			diffs = append(diffs, Difference{Path: itemPath, New: encodeJSON(y)})
		case !inNew:
			diffs = append(diffs, Difference{Path: itemPath, Old: encodeJSON(x)})
		default:
			diffs = diffFields(diffs, itemPath, reflect.ValueOf(x), reflect.ValueOf(y))
		}
	}
	return diffs
}

// diffFields appends the differences between the fields of two structs of the same type.
func diffFields(diffs []Difference, path string, x, y reflect.Value) []Difference {
	for i, f := range structFields(x.Type()) {
		a, b := x.Field(i).Interface(), y.Field(i).Interface()
		if !reflect.DeepEqual(a, b) {
			diffs = append(diffs, Difference{joinPath(path, f.name), encodeJSON(a), encodeJSON(b)})
		}
	}
	return diffs
}

func indexByName[T any](items []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(items))
	for _, item := range items {
		index[name(item)] = item
	}
	return index
}

// sortedNames returns the names that occur in either list, sorted and without duplicates.
func sortedNames[T any](old, new []T, name func(T) string) []string {
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

func encodeJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
