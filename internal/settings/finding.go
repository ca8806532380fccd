package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a settings file.
type Finding struct {
	File string
	// Line counts from 1; 0 if a key and its table are missing.
	Line    int
	Key     string // Dotted key or table; "toml" for a syntax error.
	Problem string // What is wrong and what is allowed.
}

// String returns the finding as one line: file:line: key: problem.
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return location + ": " + f.Key + ": " + f.Problem
}

// Findings holds all errors in a settings file. It implements error.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// sort orders the findings by line, then by key. Those without a line come last.
func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if (a.Line == 0) != (b.Line == 0) {
			return cmp.Compare(b.Line, a.Line)
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
