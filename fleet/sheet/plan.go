package sheet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

// Operation is what a plan does to one record.
type Operation string

// The operations.
const (
	Add    Operation = "add"
	Alter  Operation = "change"
	Remove Operation = "remove"
)

// Item is one record that a plan touches.
type Item struct {
	Operation Operation
	Key       *pb.RecordKey
	// Before is nil when the record is added, After when it is removed.
	Before, After *pb.Record
}

// Plan is the difference between the configuration in force and a sheet.
type Plan struct {
	// BaseVersion is the version that the plan was made against.
	BaseVersion uint64
	// Items are ordered as the sheet declares them, removals last.
	Items []Item
	// Change is the next entry of the change log; nil where nothing changes.
	Change *pb.Change
	// TopUps of the sheet that haven't taken effect yet.
	TopUps []TopUp
	// AppliedTopUps counts those that have.
	AppliedTopUps int
}

// TopUpIndex tells which top-ups have taken effect, by id.
type TopUpIndex map[string]*pb.TopUpRow

// Check returns the faults of a sheet by itself. It must be Whole.
func Check(s *Sheet) error {
	_, err := NewPlan(config.Empty(), s, nil)
	return err
}

// NewPlan works out what a sheet changes. The error is Faults with every
// fault; nothing of a sheet with faults may be applied.
func NewPlan(view *config.View, s *Sheet, applied TopUpIndex) (*Plan, error) {
	d := merge(view, s)
	p := &Plan{BaseVersion: view.Version()}
	faults := append(d.check(s), p.topUps(s.TopUps, applied)...)
	if len(faults) > 0 {
		return nil, faults.sorted()
	}
	p.compare(view, d.records)
	return p, nil
}

// Empty tells whether the plan has nothing to do.
func (p *Plan) Empty() bool { return p.Change == nil && len(p.TopUps) == 0 }

// Count returns the number of items of an operation.
func (p *Plan) Count(op Operation) int {
	n := 0
	for _, item := range p.Items {
		if item.Operation == op {
			n++
		}
	}
	return n
}

func (p *Plan) topUps(wanted []TopUp, applied TopUpIndex) Faults {
	var faults Faults
	for _, t := range wanted {
		row, done := applied[t.ID]
		if !done {
			p.TopUps = append(p.TopUps, t)
			continue
		}
		p.AppliedTopUps++
		if row.Budget != t.Budget {
			faults = append(faults, Fault{Line: t.Line, Column: colBudget.String(), Reason: "top-up " + t.ID + " was applied to budget " + row.Budget})
		}
		if row.Tokens != t.Tokens {
			faults = append(faults, Fault{Line: t.Line, Column: colTokens.String(), Reason: "top-up " + t.ID + " was applied with another amount"})
		}
	}
	return faults
}

func (p *Plan) compare(view *config.View, records []*pb.Record) {
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

// AddReferenceFaults adds to the faults of a sheet's lines those of names that it
// refers to, so that all are told at once. The sheet must be Whole. What only
// follows from a bad line is left out.
func AddReferenceFaults(s *Sheet, lineFaults error) error {
	faults, ok := lineFaults.(Faults)
	if !ok {
		return lineFaults
	}
	bad := badLines(s, faults)
	all := slices.Clone(faults)
	for _, f := range merge(config.Empty(), s).check(s) {
		if !bad[f.Line] {
			all = append(all, f)
		}
	}
	return all.sorted()
}

// badLines returns the lines with faults, and the shift lines that divide the
// same traffic as one of them.
func badLines(s *Sheet, faults Faults) map[int]bool {
	bad := make(map[int]bool, len(faults))
	for _, f := range faults {
		bad[f.Line] = true
	}
	divided := make(map[division]bool)
	for _, shift := range s.Shifts {
		if bad[shift.Line] {
			divided[division{shift.Workspace, shift.Service}] = true
		}
	}
	for _, shift := range s.Shifts {
		if divided[division{shift.Workspace, shift.Service}] {
			bad[shift.Line] = true
		}
	}
	return bad
}
