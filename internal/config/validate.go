package config

import (
	"fmt"
	"slices"
	"strings"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// Finding is one error in a change or another request of an operator.
type Finding struct {
	Path    string `json:"path"`    // Path or request field; empty for the whole change.
	Problem string `json:"problem"` // What is wrong and what is allowed.
}

// Validate returns all errors in a change before it is appended to the log.
// scope is the root of the subtree that the operator may change; "" means all
// paths.
//
// The fold does not validate: it must build the same tables in every version of
// the program, whereas the set of known paths grows from version to version.
func Validate(ops []record.ChangeOp, scope string) []Finding {
	var findings []Finding
	add := func(path, format string, args ...any) {
		findings = append(findings, Finding{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	if len(ops) == 0 || len(ops) > MaxOps {
		add("", "has %d operations; allowed: 1 to %d", len(ops), MaxOps)
		return findings
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
	return findings
}

// changeBytes returns the size of a change: the bytes of its paths and values.
func changeBytes(ops []record.ChangeOp) int {
	size := 0
	for _, op := range ops {
		size += len(op.Path) + len(op.Value)
	}
	return size
}

// validateOp returns the first error in an operation, or "" if it is valid.
func validateOp(op record.ChangeOp, scope string) string {
	if len(op.Path) > maxPathBytes {
		return fmt.Sprintf("is a path of %d bytes; allowed: %d", len(op.Path), maxPathBytes)
	}
	if scope != "" && !fold.IsAtOrBelow(op.Path, scope) {
		return "is outside of what this credential may change; allowed: paths below " + scope
	}
	path, known := FindPath(op.Path)
	switch {
	case !known:
		return "is not a known path; " + suggestPaths(op.Path)
	case scope != "" && path.FleetOnly:
		return "is for fleet operators to change; ask them"
	case op.Delete && op.Value != "":
		return "has a value and is to be deleted; allowed: one of the two"
	case op.Delete:
		return ""
	case len(op.Value) > MaxValueBytes:
		return fmt.Sprintf("has a value of %d bytes; allowed: %d", len(op.Value), MaxValueBytes)
	case !path.value.isValid(op.Value):
		return fmt.Sprintf("is %q; allowed: %s", op.Value, path.Allowed())
	}
	return ""
}

// suggestPaths lists, for a finding, the known paths that share the longest
// prefix with an unknown one.
func suggestPaths(path string) string {
	segments := strings.Split(path, "/")
	for depth := min(len(segments), 4); depth > 1; depth-- {
		var candidates []string
		for _, p := range Paths() {
			if hasPatternPrefix(strings.Split(p.Pattern, "/"), segments[:depth]) {
				candidates = append(candidates, p.Pattern)
			}
		}
		if len(candidates) > 0 {
			return "allowed there: " + strings.Join(candidates, ", ")
		}
	}
	return "allowed: paths below " + TeamsPath + "/{team} or " + FleetPath
}

// hasPatternPrefix reports whether the first segments of a pattern match the
// given ones.
func hasPatternPrefix(pattern, segments []string) bool {
	if len(pattern) < len(segments) {
		return false
	}
	for i, segment := range segments {
		if !matchSegment(pattern[i], segment) {
			return false
		}
	}
	return true
}
