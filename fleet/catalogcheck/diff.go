package catalogcheck

import (
	"fmt"
	"reflect"
	"slices"

	"cuminrock.example/fleet/catalog"
)

// Diff returns what changes from the configuration in force to the next one, a line for
// each entry that is added, removed or changed.
func Diff(inForce, next catalog.Spec) []string {
	var lines []string
	switch {
	case next.Version == inForce.Version:
		lines = append(lines, fmt.Sprintf("version: both are %d; a version that isn't newer is ignored", next.Version))
	case next.Version < inForce.Version:
		lines = append(lines, fmt.Sprintf("version: %d is older than %d, which is in force, and would be ignored", next.Version, inForce.Version))
	}
	lines = append(lines, diffEntries("route", inForce.Routes, next.Routes, func(r *catalog.Route) string { return r.Name })...)
	lines = append(lines, diffEntries("service", inForce.Services, next.Services, func(s *catalog.Service) string { return s.Name })...)
	lines = append(lines, diffEntries("workspace", inForce.Workspaces, next.Workspaces, func(w *catalog.Workspace) string { return w.Name })...)
	if inForce.Limits != next.Limits {
		lines = append(lines, "limits: "+changedFields(reflect.ValueOf(inForce.Limits), reflect.ValueOf(next.Limits)))
	}
	return lines
}

// diffEntries compares two lists of entries by their names.
func diffEntries[T any](kind string, before, after []*T, name func(*T) string) []string {
	old := make(map[string]*T, len(before))
	for _, e := range before {
		old[name(e)] = e
	}
	var lines []string
	for _, e := range after {
		known, found := old[name(e)]
		delete(old, name(e))
		switch {
		case !found:
			lines = append(lines, fmt.Sprintf("%s %q: added", kind, name(e)))
		case !reflect.DeepEqual(known, e):
			lines = append(lines, fmt.Sprintf("%s %q: %s", kind, name(e), changedFields(reflect.ValueOf(*known), reflect.ValueOf(*e))))
		}
	}
	for _, e := range before {
		if _, left := old[name(e)]; left {
			lines = append(lines, fmt.Sprintf("%s %q: removed", kind, name(e)))
		}
	}
	return lines
}

// changedFields returns the fields that differ with their values. Of keys it returns
// only how many are added and removed.
func changedFields(before, after reflect.Value) string {
	text := ""
	for i := range before.NumField() {
		field := before.Type().Field(i).Name
		old, now := before.Field(i).Interface(), after.Field(i).Interface()
		if reflect.DeepEqual(old, now) {
			continue
		}
		if text != "" {
			text += ", "
		}
		if field == "Keys" {
			text += keyChange(old.([]string), now.([]string))
			continue
		}
		text += fmt.Sprintf("%s from %s to %s", field, valueText(before.Field(i)), valueText(after.Field(i)))
	}
	return text
}

// valueText returns a field's value; of a pointer what it points to.
func valueText(v reflect.Value) string {
	if v.Kind() != reflect.Pointer {
		return fmt.Sprintf("%v", v.Interface())
	}
	if v.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", v.Elem().Interface())
}

func keyChange(before, after []string) string {
	added, removed := 0, 0
	for _, key := range after {
		if !slices.Contains(before, key) {
			added++
		}
	}
	for _, key := range before {
		if !slices.Contains(after, key) {
			removed++
		}
	}
	return fmt.Sprintf("%d keys added, %d removed", added, removed)
}
