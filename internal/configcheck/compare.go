package configcheck

import (
	"fmt"
	"reflect"
	"slices"

	"guavapier/internal/route"
)

// Compare returns what differs between the version in force and a new one, by the entries' names
// and fields, and what is wrong with the change itself.
func Compare(inForce, next route.DesiredState) ([]Difference, []Finding) {
	var out findings
	if next.Version <= inForce.Version {
		out.add(KindError, "desired state", "version", "is %d; version %d is in force, and only a later one takes its place", next.Version, inForce.Version)
	}
	differences := compareEntries(inForce.Routes, next.Routes, func(r route.Route) string { return routePlace(r.Name) })
	differences = append(differences, compareEntries(inForce.Services, next.Services, func(s route.Service) string { return servicePlace(s.Name) })...)
	differences = append(differences, compareEntries(inForce.Organisations, next.Organisations, func(o route.Organisation) string { return organisationPlace(o.Name) })...)
	differences = append(differences, compareFields(limitsPlace, inForce.Limits, next.Limits)...)
	checkLoweredTotals(&out, inForce, next)
	return differences, out
}

// checkLoweredTotals finds prepaid totals that are lower than those in force.
func checkLoweredTotals(out *findings, inForce, next route.DesiredState) {
	before := route.Compile(inForce)
	for _, org := range next.Organisations {
		was := before.Organisation(org.Name)
		if was == nil || was.PrepaidTotal == nil || org.PrepaidTotal == nil || *org.PrepaidTotal >= *was.PrepaidTotal {
			continue
		}
		out.add(KindContradiction, organisationPlace(org.Name), "prepaid total", "%d is lower than the %d in force; nothing is served if more is used already", *org.PrepaidTotal, *was.PrepaidTotal)
	}
}

// compareEntries compares two lists of entries with the same place.
func compareEntries[T any](before, after []T, place func(T) string) []Difference {
	old := map[string]T{}
	for _, entry := range before {
		old[place(entry)] = entry
	}
	var out []Difference
	seen := map[string]bool{}
	for _, entry := range after {
		name := place(entry)
		seen[name] = true
		if was, known := old[name]; known {
			out = append(out, compareFields(name, was, entry)...)
		} else {
			out = append(out, Difference{Place: name, To: "added"})
		}
	}
	for _, entry := range before {
		if name := place(entry); !seen[name] {
			out = append(out, Difference{Place: name, From: "removed"})
		}
	}
	return out
}

// compareFields returns the fields of two structs of one type that differ.
func compareFields(place string, before, after any) []Difference {
	var out []Difference
	old, changed := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if reflect.DeepEqual(old.Field(i).Interface(), changed.Field(i).Interface()) {
			continue
		}
		name := old.Type().Field(i).Name
		d := Difference{Place: place, Field: name, From: formatValue(old.Field(i)), To: formatValue(changed.Field(i))}
		if keys, isKeys := old.Field(i).Interface().([]string); isKeys {
			d.From, d.To = describeKeys(keys, changed.Field(i).Interface().([]string))
		}
		out = append(out, d)
	}
	return out
}

// formatValue returns a field's value as text, "" for a nil pointer.
func formatValue(v reflect.Value) string {
	if v.Kind() != reflect.Pointer {
		return fmt.Sprint(v.Interface())
	}
	if v.IsNil() {
		return ""
	}
	return fmt.Sprint(v.Elem().Interface())
}

// describeKeys describes a change of API keys without showing them, as they are secrets.
func describeKeys(before, after []string) (from, to string) {
	added, removed := countMissing(after, before), countMissing(before, after)
	return fmt.Sprintf("%d keys", len(before)), fmt.Sprintf("%d keys (%d added, %d removed)", len(after), added, removed)
}

// countMissing returns how many of the keys are not in the other list.
func countMissing(keys, other []string) (n int) {
	for _, key := range keys {
		if !slices.Contains(other, key) {
			n++
		}
	}
	return n
}
