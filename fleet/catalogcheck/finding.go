// Package catalogcheck checks a configuration of forwarded traffic before it is put
// in force, and tells what differs from the one in force.
//
// It reports errors, which make requests fail or which the platform's store would refuse,
// entries that can never match a request, and limits that contradict each other. Keys
// of workspaces are never part of its output.
package catalogcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is how grave a finding is.
type Severity uint8

const (
	// Error means that requests would fail or be handled otherwise than intended.
	Error Severity = iota
	// Unreachable means that no request can match an entry.
	Unreachable
	// Contradiction means that two limits exclude each other, so that one of them has no
	// effect.
	Contradiction
)

// String returns the severity as it is printed.
func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Unreachable:
		return "never matches"
	default:
		return "contradiction"
	}
}

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity
	// Entry names the entry, such as `route "r1"`.
	Entry string
	// Reason says what is wrong with it.
	Reason string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Reason) }

// findings collects findings.
type findings struct{ list []Finding }

func (f *findings) add(severity Severity, entry, format string, args ...any) {
	f.list = append(f.list, Finding{Severity: severity, Entry: entry, Reason: fmt.Sprintf(format, args...)})
}

// sorted returns the findings, the gravest first, else in the order of the configuration.
func (f *findings) sorted() []Finding {
	slices.SortStableFunc(f.list, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return f.list
}
