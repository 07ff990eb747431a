package sheet

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

// totalPermille is the required sum of the shares of one service, in permille.
const totalPermille = 1000

// The values of the record column.
const (
	recordService   = "service"
	recordCall      = "call"
	recordTarget    = "target"
	recordWorkspace = "workspace"
	recordBudget    = "budget"
	recordTopUp     = "top-up"
	recordShift     = "shift"
)

var serviceKinds = []keyword[pb.ServiceKind]{
	{"model", pb.ServiceKind_SERVICE_KIND_MODEL},
	{"plain", pb.ServiceKind_SERVICE_KIND_PLAIN},
}

var callKinds = []keyword[pb.CallKind]{
	{"model", pb.CallKind_CALL_KIND_MODEL},
	{"lookup", pb.CallKind_CALL_KIND_LOOKUP},
	{"action", pb.CallKind_CALL_KIND_ACTION},
}

var priorities = []keyword[pb.Priority]{
	{"interactive", pb.Priority_PRIORITY_INTERACTIVE},
	{"normal", pb.Priority_PRIORITY_NORMAL},
	{"batch", pb.Priority_PRIORITY_BATCH},
}

func (p *parser) parseRecord(r *row) {
	kind := strings.ToLower(r.text(colRecord))
	switch kind {
	case recordService:
		p.parseService(r)
	case recordCall:
		p.parseCall(r)
	case recordTarget:
		p.parseTarget(r)
	case recordWorkspace:
		p.parseWorkspace(r)
	case recordBudget:
		p.parseBudget(r)
	case recordTopUp:
		p.parseTopUp(r)
	case recordShift:
		p.parseShift(r)
	default:
		r.addFault(colRecord, "%q must be one of service, call, target, workspace, budget, top-up, shift", r.cells[colRecord])
		return
	}
	r.rejectUnusedColumns(kind)
}

// declareRecord stores the line number of a record. A second record with the same
// kind and name is a fault.
func (p *parser) declareRecord(r *row, key *pb.RecordKey) {
	if key.Name == "" {
		return
	}
	first, exists := p.sheet.lines[idOf(key)]
	if exists {
		r.addFault(colName, "%s is already declared in line %d", config.FormatKey(key), first)
		return
	}
	p.sheet.lines[idOf(key)] = r.line
}

func (p *parser) parseService(r *row) {
	s := &pb.Service{
		Name:            r.name(colName),
		Kind:            oneOf(r, colKind, serviceKinds),
		DefaultProvider: r.name(colProvider),
	}
	p.declareRecord(r, config.RecordKey(config.ServiceRecord(s)))
	if earlier := p.services[s.Name]; earlier != nil {
		return
	}
	p.services[s.Name] = s
	p.sheet.Services = append(p.sheet.Services, s)
}

func (p *parser) parseCall(r *row) {
	call := &pb.Call{Kind: oneOf(r, colKind, callKinds)}
	service := p.services[r.name(colService)]
	call.Path = r.required(colPath)
	if strings.HasPrefix(call.Path, "/") {
		r.addFault(colPath, "must not begin with /")
	}
	if call.Kind != pb.CallKind_CALL_KIND_MODEL {
		call.CostTokens = r.integer(colTokens, 0, math.MaxInt64)
	}
	if service == nil {
		r.addFault(colService, "no earlier line declares service %q", r.cells[colService])
		return
	}
	if call.Kind == pb.CallKind_CALL_KIND_MODEL && service.Kind == pb.ServiceKind_SERVICE_KIND_PLAIN {
		r.addFault(colKind, "service %q is plain and has no model calls", service.Name)
	}
	if slices.ContainsFunc(service.Calls, func(c *pb.Call) bool { return c.Path == call.Path }) {
		r.addFault(colPath, "service %q already has this path", service.Name)
		return
	}
	service.Calls = append(service.Calls, call)
}

func (p *parser) parseTarget(r *row) {
	t := &pb.Target{
		Name:          r.name(colName),
		Service:       r.name(colService),
		Provider:      r.name(colProvider),
		DataCentre:    r.name(colDataCentre),
		Address:       r.address(colAddress),
		ChecksFencing: r.boolean(colChecksFencing),
		Leaving:       r.boolean(colLeaving),
	}
	p.declareRecord(r, config.RecordKey(config.TargetRecord(t)))
	p.sheet.Targets = append(p.sheet.Targets, t)
}

func (p *parser) parseWorkspace(r *row) {
	w := &pb.Workspace{
		Name:          r.name(colName),
		KeySha256:     r.keySums(colKeySHA256),
		Priority:      pb.Priority_PRIORITY_NORMAL,
		DefaultBudget: r.optionalName(colBudget),
	}
	if r.text(colPriority) != "" {
		w.Priority = oneOf(r, colPriority, priorities)
	}
	p.declareRecord(r, config.RecordKey(config.WorkspaceRecord(w)))
	p.sheet.Workspaces = append(p.sheet.Workspaces, w)
}

func (p *parser) parseBudget(r *row) {
	b := &pb.Budget{Name: r.name(colName), Workspace: r.name(colWorkspace)}
	p.declareRecord(r, config.RecordKey(config.BudgetRecord(b)))
	p.sheet.Budgets = append(p.sheet.Budgets, b)
}

func (p *parser) parseTopUp(r *row) {
	t := TopUp{
		Line:   r.line,
		ID:     r.name(colName),
		Budget: r.name(colBudget),
		Tokens: r.integer(colTokens, math.MinInt64+1, math.MaxInt64),
	}
	if t.Tokens == 0 && r.cells[colTokens] == "0" {
		r.addFault(colTokens, "a top-up of 0 tokens changes nothing")
	}
	if first, taken := p.topUpLines[t.ID]; taken {
		r.addFault(colName, "top-up %s is already declared in line %d", t.ID, first)
		return
	}
	p.topUpLines[t.ID] = r.line
	p.sheet.TopUps = append(p.sheet.TopUps, t)
}

func (p *parser) parseShift(r *row) {
	s := Shift{
		Workspace: r.workspaceOrAll(colWorkspace),
		Service:   r.name(colService),
		Provider:  r.name(colProvider),
		Permille:  uint32(r.integer(colPermille, 0, totalPermille)),
	}
	id := s
	id.Permille = 0
	if first, taken := p.shiftLines[id]; taken {
		r.addFault(colProvider, "the same workspace, service and provider are already declared in line %d", first)
		return
	}
	p.shiftLines[id] = r.line
	s.Line = r.line
	p.sheet.Shifts = append(p.sheet.Shifts, s)
}

// normalise sorts the lists whose order has no meaning, so that reordering them
// in a sheet changes nothing.
func (s *Sheet) normalise() {
	for _, service := range s.Services {
		slices.SortFunc(service.Calls, func(a, b *pb.Call) int { return cmp.Compare(a.Path, b.Path) })
	}
	for _, w := range s.Workspaces {
		slices.SortFunc(w.KeySha256, bytes.Compare)
	}
}
