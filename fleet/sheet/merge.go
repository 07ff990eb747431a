package sheet

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

// desired is the configuration that a sheet asks for, with the line numbers that
// are needed to report faults.
type desired struct {
	records []*pb.Record
	lines   map[recordID]int
	// shiftLines holds the first shift line for each workspace and service.
	shiftLines map[trafficKey]int
}

// trafficKey identifies the traffic that a group of shift lines splits: one
// workspace's traffic to a service.
type trafficKey struct{ workspace, service string }

// merge returns the configuration in force with the sheet applied to it.
func merge(view *config.View, s *Sheet) *desired {
	d := &desired{lines: s.lines, shiftLines: make(map[trafficKey]int)}
	shares := d.groupShares(s.Shifts)
	inForce := recordsOf(view)
	for _, service := range declaredOrInForce(s.Services, inForce.services) {
		d.add(config.ServiceRecord(withDefaultShares(view, service, s, shares)))
	}
	for _, target := range declaredOrInForce(s.Targets, inForce.targets) {
		d.add(config.TargetRecord(target))
	}
	for _, workspace := range declaredOrInForce(s.Workspaces, inForce.workspaces) {
		d.add(config.WorkspaceRecord(withShares(view, workspace, s, shares)))
	}
	for _, budget := range declaredOrInForce(s.Budgets, inForce.budgets) {
		d.add(config.BudgetRecord(budget))
	}
	return d
}

func (d *desired) add(r *pb.Record) { d.records = append(d.records, r) }

// declaredOrInForce returns the records that the sheet declares, or those in
// force if it declares none.
func declaredOrInForce[T any](declared, inForce []T) []T {
	if len(declared) > 0 {
		return declared
	}
	return inForce
}

// groupShares groups shift lines by workspace. Each group is ordered by service
// and provider.
func (d *desired) groupShares(shifts []Shift) map[string][]*pb.ServiceShares {
	byKey := make(map[trafficKey][]*pb.ProviderShare)
	for _, s := range shifts {
		key := trafficKey{s.Workspace, s.Service}
		if len(byKey[key]) == 0 {
			d.shiftLines[key] = s.Line
		}
		byKey[key] = append(byKey[key], &pb.ProviderShare{Provider: s.Provider, Permille: s.Permille})
	}
	byWorkspace := make(map[string][]*pb.ServiceShares)
	for key, providers := range byKey {
		slices.SortFunc(providers, func(a, b *pb.ProviderShare) int { return cmp.Compare(a.Provider, b.Provider) })
		byWorkspace[key.workspace] = append(byWorkspace[key.workspace], &pb.ServiceShares{Service: key.service, Providers: providers})
	}
	for services := range maps.Values(byWorkspace) {
		slices.SortFunc(services, func(a, b *pb.ServiceShares) int { return cmp.Compare(a.Service, b.Service) })
	}
	return byWorkspace
}

// withShares returns a copy of a workspace with the shares of the sheet, or with
// those in force if the sheet has no shift lines.
func withShares(view *config.View, w *pb.Workspace, s *Sheet, shares map[string][]*pb.ServiceShares) *pb.Workspace {
	wanted := shares[w.Name]
	if len(s.Shifts) == 0 {
		old, _ := view.Workspace(w.Name)
		wanted = old.GetShares()
	}
	next := proto.CloneOf(w)
	next.Shares = wanted
	return next
}

// withDefaultShares returns a copy of a service with the default shares of the
// sheet, which are its shift lines for AllWorkspaces, or with those in force if
// the sheet has no shift lines.
func withDefaultShares(view *config.View, service *pb.Service, s *Sheet, shares map[string][]*pb.ServiceShares) *pb.Service {
	next := proto.CloneOf(service)
	if len(s.Shifts) == 0 {
		old, _ := view.Service(service.Name)
		next.DefaultShares = old.GetDefaultShares()
		return next
	}
	next.DefaultShares = nil
	for _, group := range shares[AllWorkspaces] {
		if group.Service == service.Name {
			next.DefaultShares = group.Providers
		}
	}
	return next
}

// recordsInForce holds the records in force by kind.
type recordsInForce struct {
	workspaces []*pb.Workspace
	budgets    []*pb.Budget
	services   []*pb.Service
	targets    []*pb.Target
}

func recordsOf(view *config.View) *recordsInForce {
	k := &recordsInForce{}
	for _, r := range view.Snapshot().Records {
		switch r := r.Record.(type) {
		case *pb.Record_Workspace:
			k.workspaces = append(k.workspaces, r.Workspace)
		case *pb.Record_Budget:
			k.budgets = append(k.budgets, r.Budget)
		case *pb.Record_Service:
			k.services = append(k.services, r.Service)
		case *pb.Record_Target:
			k.targets = append(k.targets, r.Target)
		}
	}
	return k
}

// check returns the faults of the complete configuration that the sheet asks
// for, and those of its shift lines and top-ups.
func (d *desired) check(s *Sheet) Faults {
	var faults Faults
	for _, f := range config.Check(d.records) {
		faults = append(faults, d.toSheetFault(f))
	}
	known := make(map[recordID]bool, len(d.records))
	for _, r := range d.records {
		known[idOf(config.RecordKey(r))] = true
	}
	for _, shift := range s.Shifts {
		faults = append(faults, checkShift(known, shift)...)
	}
	for _, t := range s.TopUps {
		if !known[recordID{pb.RecordKind_RECORD_KIND_BUDGET, t.Budget}] {
			faults = append(faults, Fault{Line: t.Line, Column: colBudget.String(), Reason: "budget " + t.Budget + " doesn't exist"})
		}
	}
	return faults.sorted()
}

func checkShift(known map[recordID]bool, shift Shift) Faults {
	var faults Faults
	if shift.Workspace != AllWorkspaces && !known[recordID{pb.RecordKind_RECORD_KIND_WORKSPACE, shift.Workspace}] {
		faults = append(faults, Fault{Line: shift.Line, Column: colWorkspace.String(), Reason: "workspace " + shift.Workspace + " doesn't exist"})
	}
	if shift.Workspace == AllWorkspaces && !known[recordID{pb.RecordKind_RECORD_KIND_SERVICE, shift.Service}] {
		faults = append(faults, Fault{Line: shift.Line, Column: colService.String(), Reason: "service " + shift.Service + " doesn't exist"})
	}
	return faults
}

// toSheetFault converts a configuration fault to one with the line and column of
// the sheet. Line 0 means that the fault is in a record in force that the sheet
// doesn't declare.
func (d *desired) toSheetFault(f config.Fault) Fault {
	line, known := d.lines[idOf(f.Key)]
	column := f.Field
	switch f.Field {
	case "default_budget":
		column = colBudget.String()
	case "default_provider":
		column = colProvider.String()
	case "calls":
		column = colPath.String()
	case "shares":
		column = colPermille.String()
		line, known = d.shiftLines[trafficKey{f.Key.Name, f.Item}]
	case "default_shares":
		column = colPermille.String()
		line, known = d.shiftLines[trafficKey{AllWorkspaces, f.Item}]
	}
	if !known {
		return Fault{Reason: f.String() + " (in force, and not in this sheet)"}
	}
	return Fault{Line: line, Column: column, Reason: config.FormatKey(f.Key) + ": " + f.Reason}
}
