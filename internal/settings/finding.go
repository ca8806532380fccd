package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing wrong with the settings.
type Finding struct {
	File string
	// Line is 0 where the finding is about something missing.
	Line    int
	Key     string
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

// Findings is all that is wrong with the settings; it is an error.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// sort orders the findings by line; those without one come last.
func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		if (a.Line == 0) != (b.Line == 0) {
			return cmp.Compare(b.Line, a.Line)
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
