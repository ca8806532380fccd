// Package configcheck examines a desired state before operators publish it: errors, entries that
// can never match, limits that contradict each other, and what differs from the version in
// force. It reads what the instances read, so that it judges by their rules, and does no I/O.
package configcheck

import (
	"fmt"
	"strings"
)

// Kind is what a finding is about.
type Kind string

// The kinds of findings.
const (
	// KindError is an entry that instances refuse, or can't serve by.
	KindError Kind = "error"
	// KindUnmatched is an entry that no request ever uses.
	KindUnmatched Kind = "unmatched"
	// KindContradiction is a limit that can't be met or used because of another one.
	KindContradiction Kind = "contradiction"
)

// Finding is one thing that is wrong with a desired state.
type Finding struct {
	Kind Kind `json:"kind"`
	// Place names the entry, as in `route "a"`.
	Place string `json:"place"`
	// Field is the entry's field, "" for the entry as a whole.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"` // What is wrong with which value.
}

// String returns the finding as one line.
func (f Finding) String() string {
	place := f.Place
	if f.Field != "" {
		place += ": " + f.Field
	}
	return fmt.Sprintf("%s: %s: %s", f.Kind, place, f.Text)
}

// Difference is a field that differs from the version in force.
type Difference struct {
	Place string `json:"place"`
	Field string `json:"field,omitempty"` // "" for an entry that only one version has.
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Field == "" && d.From == "":
		return d.Place + ": added"
	case d.Field == "" && d.To == "":
		return d.Place + ": removed"
	}
	return fmt.Sprintf("%s: %s: %s -> %s", d.Place, d.Field, orNone(d.From), orNone(d.To))
}

// orNone returns the text, or "none" if it is empty.
func orNone(text string) string {
	if strings.TrimSpace(text) == "" {
		return "none"
	}
	return text
}

// findings collects the findings of a check.
type findings []Finding

// add adds a finding about a field of an entry.
func (f *findings) add(kind Kind, place, field, format string, args ...any) {
	*f = append(*f, Finding{Kind: kind, Place: place, Field: field, Text: fmt.Sprintf(format, args...)})
}
