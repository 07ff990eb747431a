// Package sheet reads the operators' morning sheet and works out what it
// changes.
//
// A sheet is CSV with a header line. Each further line is one record, and the
// column "record" tells its kind. The kinds that appear in a sheet are
// declared in full by it: what the sheet leaves out of them is removed. Kinds
// that don't appear are left as they are. Top-ups are events with an id: each
// takes effect once, and leaving one out takes nothing back.
//
// The package is pure: it reads bytes and returns values.
package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// AllWorkspaces in the workspace column of a shift line stands for every
// workspace without shift lines of its own for the service.
const AllWorkspaces = "*"

// Sheet is a sheet that has been read.
type Sheet struct {
	// Services with their calls, without default shares.
	Services []*pb.Service
	// Targets as declared.
	Targets []*pb.Target
	// Workspaces without shares.
	Workspaces []*pb.Workspace
	// Budgets as declared.
	Budgets []*pb.Budget
	// Shifts divide traffic among providers.
	Shifts []Shift
	// TopUps in the order of the sheet.
	TopUps []TopUp

	lines map[recordID]int
}

// Shift is one provider's share of one workspace's traffic to a service.
type Shift struct {
	Line      int
	Workspace string
	Service   string
	Provider  string
	Permille  uint32
}

// TopUp adds tokens to a budget once. A negative amount lowers it.
type TopUp struct {
	// Line in the sheet, from 1.
	Line int `json:"line"`
	// ID names the top-up for good.
	ID string `json:"id"`
	// Budget is the budget's name.
	Budget string `json:"budget"`
	// Tokens to add.
	Tokens int64 `json:"tokens"`
}

// recordID identifies a record of the configuration.
type recordID struct {
	kind pb.RecordKind
	name string
}

func idOf(key *pb.RecordKey) recordID { return recordID{key.GetKind(), key.GetName()} }

// Fault is one thing that is wrong in a sheet.
type Fault struct {
	// Line from 1; 0 where no line of the sheet is at fault.
	Line int `json:"line,omitempty"`
	// Column as named in the header line; empty for the whole line.
	Column string `json:"column,omitempty"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
}

// String returns the fault as operators see it.
func (f Fault) String() string {
	switch {
	case f.Line == 0:
		return f.Reason
	case f.Column == "":
		return fmt.Sprintf("line %d: %s", f.Line, f.Reason)
	}
	return fmt.Sprintf("line %d, column %s: %s", f.Line, f.Column, f.Reason)
}

// Faults is every fault of a sheet, ordered by line. As an error it is never
// empty.
type Faults []Fault

// Error returns one line a fault.
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

// Declares tells whether the sheet has records of the kind.
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

// DeclaresAllKinds tells whether the sheet declares every kind, so that it can be checked
// without the configuration in force.
func (s *Sheet) DeclaresAllKinds() bool {
	for kind := range pb.RecordKind_name {
		if kind != 0 && !s.Declares(pb.RecordKind(kind)) {
			return false
		}
	}
	return true
}
