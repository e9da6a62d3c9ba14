package configcheck

import (
	"fmt"
	"strings"

	"fuchsiaflow/routes"
)

// Change tells how an entry or field differs.
type Change string

// The changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an entry that was added or removed, or a field that was changed.
type Difference struct {
	Change Change `json:"change"`
	// Entry is the kind of the entry: "route", "service", "account" or "limits".
	Entry string `json:"entry"`
	// Name identifies the entry among those of its kind: host and prefix of a route, else the name.
	Name string `json:"name,omitempty"`
	// Path is the place in the new configuration, or in the one in force if the entry was removed.
	Path string `json:"path"`
	// Field is set if a field was changed. Otherwise Old or New describes the whole entry.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Compare returns what differs between two configurations, apart from their versions. Entries that were only moved do not
// differ, because their order has no meaning.
func Compare(old, updated *routes.Config) []Difference {
	list := compareEntries("limits", []entry{limitsEntry(&old.Limits)}, []entry{limitsEntry(&updated.Limits)})
	list = append(list, compareEntries("route", routeEntries(old), routeEntries(updated))...)
	list = append(list, compareEntries("service", serviceEntries(old), serviceEntries(updated))...)
	return append(list, compareEntries("account", accountEntries(old), accountEntries(updated))...)
}

// entry is a part of a configuration in a comparable form.
type entry struct {
	name, path string
	fields     []field
	keys       keySet // of an account; nil for other entries
}

// summary describes the entry by the fields that are set.
func (e *entry) summary() string {
	var parts []string
	for _, f := range e.fields {
		if f.isSet {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	if e.keys != nil {
		parts = append(parts, e.keys.describe())
	}
	return strings.Join(parts, ", ")
}

// compareEntries returns the differences of one kind of entry: those of the new list in its order, then the removed ones.
func compareEntries(kind string, old, updated []entry) (list []Difference) {
	before, after := effective(old), effective(updated)
	for i := range updated {
		e := &updated[i]
		if after[e.name] != e {
			continue
		}
		if previous := before[e.name]; previous != nil {
			list = append(list, compareFields(kind, previous, e)...)
		} else {
			list = append(list, Difference{Change: Added, Entry: kind, Name: e.name, Path: e.path, New: e.summary()})
		}
	}
	for i := range old {
		if e := &old[i]; before[e.name] == e && after[e.name] == nil {
			list = append(list, Difference{Change: Removed, Entry: kind, Name: e.name, Path: e.path, Old: e.summary()})
		}
	}
	return list
}

// effective returns the entries by name. Of several with one name the last one counts, as in routes.Table.
func effective(entries []entry) map[string]*entry {
	byName := make(map[string]*entry, len(entries))
	for i := range entries {
		byName[entries[i].name] = &entries[i]
	}
	return byName
}

// compareFields returns the differences between two states of an entry, which have the same fields.
func compareFields(kind string, old, updated *entry) (list []Difference) {
	for i, f := range updated.fields {
		if previous := old.fields[i]; previous.value != f.value {
			list = append(list, Difference{Change: Changed, Entry: kind, Name: updated.name, Path: updated.path + "." + f.name,
				Field: f.name, Old: previous.value, New: f.value})
		}
	}
	if added, removed := updated.keys.without(old.keys), old.keys.without(updated.keys); len(added)+len(removed) > 0 {
		list = append(list, Difference{Change: Changed, Entry: kind, Name: updated.name, Path: updated.path + ".keys", Field: "keys",
			Old: old.keys.count(), New: updated.keys.count() + describeChange("added", added) + describeChange("removed", removed)})
	}
	return list
}

// describeChange returns the number and the masked digests of keys that were added or removed, or an empty string for none.
func describeChange(verb string, keys keySet) string {
	if len(keys) == 0 {
		return ""
	}
	return fmt.Sprintf(", %d %s (%s)", len(keys), verb, keys.masks())
}
