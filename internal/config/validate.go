package config

import (
	"fmt"
	"slices"
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// Finding is one thing wrong with a change.
type Finding struct {
	Path    string `json:"path"`
	Problem string `json:"problem"` // What is wrong and what is allowed.
}

// Validate returns everything wrong with a change that has not been appended
// yet. scope is the subtree that the operator may change; "" is all.
//
// The fold does not validate: it must give the same tables in every version,
// while the known paths grow from version to version.
func Validate(ops []record.ChangeOp, scope string) []Finding {
	var out []Finding
	add := func(path, format string, args ...any) {
		out = append(out, Finding{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	if len(ops) == 0 || len(ops) > MaxOps {
		add("", "has %d operations; allowed: 1 to %d", len(ops), MaxOps)
		return out
	}
	if size := changeBytes(ops); size > MaxChangeBytes {
		add("", "is %d bytes long; allowed: %d, so split it", size, MaxChangeBytes)
	}
	for i, op := range ops {
		if problem := validateOp(op, scope); problem != "" {
			add(op.Path, "%s", problem)
		}
		if slices.ContainsFunc(ops[:i], func(o record.ChangeOp) bool { return o.Path == op.Path }) {
			add(op.Path, "stands twice in the change; allowed: once")
		}
	}
	return out
}

func changeBytes(ops []record.ChangeOp) int {
	size := 0
	for _, op := range ops {
		size += len(op.Path) + len(op.Value)
	}
	return size
}

// validateOp returns what is wrong with one operation, or nothing.
func validateOp(op record.ChangeOp, scope string) string {
	if len(op.Path) > maxPathBytes {
		return fmt.Sprintf("is a path of %d bytes; allowed: %d", len(op.Path), maxPathBytes)
	}
	if scope != "" && !fold.IsAtOrBelow(op.Path, scope) {
		return "is outside of what this credential may change; allowed: paths below " + scope
	}
	path, known := Find(op.Path)
	switch {
	case !known:
		return "is not a known path; " + nearest(op.Path)
	case scope != "" && path.FleetOnly:
		return "is for fleet operators to change; ask them"
	case op.Delete && op.Value != "":
		return "has a value and is to be deleted; allowed: one of the two"
	case op.Delete:
		return ""
	case len(op.Value) > MaxValueBytes:
		return fmt.Sprintf("has a value of %d bytes; allowed: %d", len(op.Value), MaxValueBytes)
	case !path.value.ok(op.Value):
		return fmt.Sprintf("is %q; allowed: %s", op.Value, path.Allowed())
	}
	return ""
}

// nearest names the known paths with the same beginning.
func nearest(path string) string {
	parts := strings.Split(path, "/")
	for depth := min(len(parts), 4); depth > 1; depth-- {
		var same []string
		for _, p := range Paths() {
			if beginsLike(strings.Split(p.Pattern, "/"), parts[:depth]) {
				same = append(same, p.Pattern)
			}
		}
		if len(same) > 0 {
			return "allowed there: " + strings.Join(same, ", ")
		}
	}
	return "allowed: paths below " + TeamsPath + "/{team} or " + FleetPath
}

func beginsLike(pattern, parts []string) bool {
	if len(pattern) < len(parts) {
		return false
	}
	for i, part := range parts {
		if !matchPart(pattern[i], part) {
			return false
		}
	}
	return true
}
