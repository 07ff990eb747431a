// Package sheet parses the configuration sheet that operators submit, usually
// every morning, and computes the resulting configuration change.
//
// A sheet is a CSV file with a header line. Each further line is one record, and
// the column "record" holds its kind. A sheet declares each kind that appears in
// it completely: records of that kind that the sheet omits are removed. Kinds
// that don't appear are left unchanged. Top-ups are events with an id: each takes
// effect once, and omitting one does not undo it.
//
// The package does no I/O: it takes bytes and returns values.
package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// AllWorkspaces in the workspace column of a shift line means every workspace
// that has no shift lines of its own for the service.
const AllWorkspaces = "*"

// Sheet is a parsed sheet.
type Sheet struct {
	// Services holds the services with their calls, without default shares.
	Services []*pb.Service
	// Targets holds the targets as declared.
	Targets []*pb.Target
	// Workspaces holds the workspaces without shares.
	Workspaces []*pb.Workspace
	// Budgets holds the budgets as declared.
	Budgets []*pb.Budget
	// Shifts holds the shift lines, which split traffic among providers.
	Shifts []Shift
	// TopUps holds the top-ups in the order of the sheet.
	TopUps []TopUp

	lines map[recordID]int
}

// Shift is a shift line: one provider's share of a workspace's traffic to a
// service.
type Shift struct {
	Line      int
	Workspace string
	Service   string
	Provider  string
	Permille  uint32
}

// TopUp adds tokens to a budget once. A negative amount reduces the budget.
type TopUp struct {
	// Line is the line number in the sheet, starting at 1.
	Line int `json:"line"`
	// ID identifies the top-up permanently, so that it takes effect only once.
	ID string `json:"id"`
	// Budget is the name of the budget.
	Budget string `json:"budget"`
	// Tokens is the number of tokens to add.
	Tokens int64 `json:"tokens"`
}

// recordID identifies a record of the configuration.
type recordID struct {
	kind pb.RecordKind
	name string
}

func idOf(key *pb.RecordKey) recordID { return recordID{key.GetKind(), key.GetName()} }

// Fault is one validation error in a sheet.
type Fault struct {
	// Line is the line number, starting at 1; it is 0 if the fault is not in a
	// line of the sheet.
	Line int `json:"line,omitempty"`
	// Column is the column name from the header line; it is empty if the fault
	// concerns the whole line.
	Column string `json:"column,omitempty"`
	// Reason describes what is wrong.
	Reason string `json:"reason"`
}

// String formats the fault for operators.
func (f Fault) String() string {
	switch {
	case f.Line == 0:
		return f.Reason
	case f.Column == "":
		return fmt.Sprintf("line %d: %s", f.Line, f.Reason)
	}
	return fmt.Sprintf("line %d, column %s: %s", f.Line, f.Column, f.Reason)
}

// Faults holds every fault of a sheet, ordered by line. A Faults that is returned
// as an error is never empty.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f
}

// Declares reports whether the sheet has records of the kind.
func (s *Sheet) Declares(kind pb.RecordKind) bool {
	switch kind {
	case pb.RecordKind_RECORD_KIND_SERVICE:
		return len(s.Services) > 0
	case pb.RecordKind_RECORD_KIND_TARGET:
		return len(s.Targets) > 0
	case pb.RecordKind_RECORD_KIND_WORKSPACE:
		return len(s.Workspaces) > 0
	case pb.RecordKind_RECORD_KIND_BUDGET:
		return len(s.Budgets) > 0
	}
	return false
}

// DeclaresAllKinds reports whether the sheet declares every kind, so that it can
// be checked without the configuration in force.
func (s *Sheet) DeclaresAllKinds() bool {
	for kind := range pb.RecordKind_name {
		if kind != 0 && !s.Declares(pb.RecordKind(kind)) {
			return false
		}
	}
	return true
}
