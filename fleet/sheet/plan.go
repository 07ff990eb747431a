package sheet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

// Operation is the type of change that a plan makes to a record.
type Operation string

// The operations.
const (
	Add    Operation = "add"
	Alter  Operation = "change"
	Remove Operation = "remove"
)

// Item is the change that a plan makes to one record.
type Item struct {
	Operation Operation
	Key       *pb.RecordKey
	// Before is nil if the record is added; After is nil if it is removed.
	Before, After *pb.Record
}

// Plan is the difference between the configuration in force and a sheet.
type Plan struct {
	// BaseVersion is the configuration version that the plan was computed against.
	BaseVersion uint64
	// Items holds the changed records: those of the new configuration first, by
	// kind and in the order of the sheet, then the removed ones.
	Items []Item
	// Change is the next entry of the change log; it is nil if no record changes.
	Change *pb.Change
	// TopUps holds the top-ups of the sheet that haven't taken effect yet.
	TopUps []TopUp
	// AppliedTopUps is the number of top-ups that have taken effect already.
	AppliedTopUps int
}

// TopUpIndex holds the top-ups that have taken effect, by id.
type TopUpIndex map[string]*pb.TopUpRow

// Check validates a sheet on its own, without a configuration in force. The
// sheet must declare every kind (see DeclaresAllKinds).
func Check(s *Sheet) error {
	_, err := NewPlan(config.Empty(), s, nil)
	return err
}

// NewPlan computes the changes that a sheet makes to view. If the sheet has
// faults, the error is a Faults with all of them, and no part of the sheet may be
// applied.
func NewPlan(view *config.View, s *Sheet, applied TopUpIndex) (*Plan, error) {
	d := merge(view, s)
	p := &Plan{BaseVersion: view.Version()}
	faults := append(d.check(s), p.splitTopUps(s.TopUps, applied)...)
	if len(faults) > 0 {
		return nil, faults.sorted()
	}
	p.diffRecords(view, d.records)
	return p, nil
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return p.Change == nil && len(p.TopUps) == 0 }

// Count returns the number of items with an operation.
func (p *Plan) Count(op Operation) int {
	n := 0
	for _, item := range p.Items {
		if item.Operation == op {
			n++
		}
	}
	return n
}

func (p *Plan) splitTopUps(wanted []TopUp, applied TopUpIndex) Faults {
	var faults Faults
	for _, t := range wanted {
		row, done := applied[t.ID]
		if !done {
			p.TopUps = append(p.TopUps, t)
			continue
		}
		p.AppliedTopUps++
		if row.Budget != t.Budget {
			faults = append(faults, Fault{Line: t.Line, Column: colBudget.String(), Reason: "top-up " + t.ID + " was already applied to budget " + row.Budget})
		}
		if row.Tokens != t.Tokens {
			faults = append(faults, Fault{Line: t.Line, Column: colTokens.String(), Reason: "top-up " + t.ID + " was already applied with a different amount"})
		}
	}
	return faults
}

func (p *Plan) diffRecords(view *config.View, records []*pb.Record) {
	change := &pb.Change{Version: p.BaseVersion + 1}
	wanted := make(map[recordID]bool, len(records))
	for _, after := range records {
		key := config.RecordKey(after)
		wanted[idOf(key)] = true
		before, exists := view.Record(key)
		switch {
		case !exists:
			p.Items = append(p.Items, Item{Operation: Add, Key: key, After: after})
		case !proto.Equal(before, after):
			p.Items = append(p.Items, Item{Operation: Alter, Key: key, Before: before, After: after})
		default:
			continue
		}
		change.Upserts = append(change.Upserts, after)
	}
	for _, before := range view.Snapshot().Records {
		key := config.RecordKey(before)
		if wanted[idOf(key)] {
			continue
		}
		p.Items = append(p.Items, Item{Operation: Remove, Key: key, Before: before})
		change.Removes = append(change.Removes, key)
	}
	if len(p.Items) > 0 {
		p.Change = change
	}
}

// AddReferenceFaults adds faults of references between records to the faults of
// single lines, so that all are reported together. The sheet must
// declare every kind. Faults that are only a consequence of an invalid line are
// omitted.
func AddReferenceFaults(s *Sheet, lineFaults error) error {
	faults, ok := lineFaults.(Faults)
	if !ok {
		return lineFaults
	}
	skippedLines := linesToSkip(s, faults)
	all := slices.Clone(faults)
	for _, f := range merge(config.Empty(), s).check(s) {
		if !skippedLines[f.Line] {
			all = append(all, f)
		}
	}
	return all.sorted()
}

// linesToSkip returns the lines with faults, and the shift lines that split the
// same traffic as one of them.
func linesToSkip(s *Sheet, faults Faults) map[int]bool {
	skipped := make(map[int]bool, len(faults))
	for _, f := range faults {
		skipped[f.Line] = true
	}
	skippedSplits := make(map[trafficKey]bool)
	for _, shift := range s.Shifts {
		if skipped[shift.Line] {
			skippedSplits[trafficKey{shift.Workspace, shift.Service}] = true
		}
	}
	for _, shift := range s.Shifts {
		if skippedSplits[trafficKey{shift.Workspace, shift.Service}] {
			skipped[shift.Line] = true
		}
	}
	return skipped
}
