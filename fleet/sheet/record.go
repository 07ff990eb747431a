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

// fullShare is the sum of the shares of one service, in permille.
const fullShare = 1000

// The words of the record column.
const (
	recordService   = "service"
	recordCall      = "call"
	recordTarget    = "target"
	recordWorkspace = "workspace"
	recordBudget    = "budget"
	recordTopUp     = "top-up"
	recordShift     = "shift"
)

var serviceKinds = []word[pb.ServiceKind]{
	{"model", pb.ServiceKind_SERVICE_KIND_MODEL},
	{"plain", pb.ServiceKind_SERVICE_KIND_PLAIN},
}

var callKinds = []word[pb.CallKind]{
	{"model", pb.CallKind_CALL_KIND_MODEL},
	{"lookup", pb.CallKind_CALL_KIND_LOOKUP},
	{"action", pb.CallKind_CALL_KIND_ACTION},
}

var priorities = []word[pb.Priority]{
	{"interactive", pb.Priority_PRIORITY_INTERACTIVE},
	{"normal", pb.Priority_PRIORITY_NORMAL},
	{"batch", pb.Priority_PRIORITY_BATCH},
}

func (p *parser) record(r *row) {
	kind := strings.ToLower(r.text(colRecord))
	switch kind {
	case recordService:
		p.service(r)
	case recordCall:
		p.call(r)
	case recordTarget:
		p.target(r)
	case recordWorkspace:
		p.workspace(r)
	case recordBudget:
		p.budget(r)
	case recordTopUp:
		p.topUp(r)
	case recordShift:
		p.shift(r)
	default:
		r.fault(colRecord, "%q must be one of service, call, target, workspace, budget, top-up, shift", r.cells[colRecord])
		return
	}
	r.finish(kind)
}

// declare notes the line of a record, which must be the only one of its name.
func (p *parser) declare(r *row, key *pb.RecordKey) {
	if key.Name == "" {
		return
	}
	first, taken := p.sheet.lines[idOf(key)]
	if taken {
		r.fault(colName, "%s stands already in line %d", config.FormatKey(key), first)
		return
	}
	p.sheet.lines[idOf(key)] = r.line
}

func (p *parser) service(r *row) {
	s := &pb.Service{
		Name:            r.name(colName),
		Kind:            oneOf(r, colKind, serviceKinds),
		DefaultProvider: r.name(colProvider),
	}
	p.declare(r, config.RecordKey(config.ServiceRecord(s)))
	if earlier := p.services[s.Name]; earlier != nil {
		return
	}
	p.services[s.Name] = s
	p.sheet.Services = append(p.sheet.Services, s)
}

func (p *parser) call(r *row) {
	call := &pb.Call{Kind: oneOf(r, colKind, callKinds)}
	service := p.services[r.name(colService)]
	call.Path = r.required(colPath)
	if strings.HasPrefix(call.Path, "/") {
		r.fault(colPath, "must not begin with /")
	}
	if call.Kind != pb.CallKind_CALL_KIND_MODEL {
		call.CostTokens = r.integer(colTokens, 0, math.MaxInt64)
	}
	if service == nil {
		r.fault(colService, "no service line %q stands above", r.cells[colService])
		return
	}
	if call.Kind == pb.CallKind_CALL_KIND_MODEL && service.Kind == pb.ServiceKind_SERVICE_KIND_PLAIN {
		r.fault(colKind, "service %q is plain and has no model calls", service.Name)
	}
	if slices.ContainsFunc(service.Calls, func(c *pb.Call) bool { return c.Path == call.Path }) {
		r.fault(colPath, "service %q has this path already", service.Name)
		return
	}
	service.Calls = append(service.Calls, call)
}

func (p *parser) target(r *row) {
	t := &pb.Target{
		Name:          r.name(colName),
		Service:       r.name(colService),
		Provider:      r.name(colProvider),
		DataCentre:    r.name(colDataCentre),
		Address:       r.address(colAddress),
		ChecksFencing: r.yes(colChecksFencing),
		Leaving:       r.yes(colLeaving),
	}
	p.declare(r, config.RecordKey(config.TargetRecord(t)))
	p.sheet.Targets = append(p.sheet.Targets, t)
}

func (p *parser) workspace(r *row) {
	w := &pb.Workspace{
		Name:          r.name(colName),
		KeySha256:     r.keySums(colKeySHA256),
		Priority:      pb.Priority_PRIORITY_NORMAL,
		DefaultBudget: r.optionalName(colBudget),
	}
	if r.text(colPriority) != "" {
		w.Priority = oneOf(r, colPriority, priorities)
	}
	p.declare(r, config.RecordKey(config.WorkspaceRecord(w)))
	p.sheet.Workspaces = append(p.sheet.Workspaces, w)
}

func (p *parser) budget(r *row) {
	b := &pb.Budget{Name: r.name(colName), Workspace: r.name(colWorkspace)}
	p.declare(r, config.RecordKey(config.BudgetRecord(b)))
	p.sheet.Budgets = append(p.sheet.Budgets, b)
}

func (p *parser) topUp(r *row) {
	t := TopUp{
		Line:   r.line,
		ID:     r.name(colName),
		Budget: r.name(colBudget),
		Tokens: r.integer(colTokens, math.MinInt64+1, math.MaxInt64),
	}
	if t.Tokens == 0 && r.cells[colTokens] == "0" {
		r.fault(colTokens, "a top-up of 0 tokens changes nothing")
	}
	if first, taken := p.topUps[t.ID]; taken {
		r.fault(colName, "top-up %s stands already in line %d", t.ID, first)
		return
	}
	p.topUps[t.ID] = r.line
	p.sheet.TopUps = append(p.sheet.TopUps, t)
}

func (p *parser) shift(r *row) {
	s := Shift{
		Workspace: r.workspaceOrAll(colWorkspace),
		Service:   r.name(colService),
		Provider:  r.name(colProvider),
		Permille:  uint32(r.integer(colPermille, 0, fullShare)),
	}
	id := s
	id.Permille = 0
	if first, taken := p.shifts[id]; taken {
		r.fault(colProvider, "the same workspace, service and provider stand already in line %d", first)
		return
	}
	p.shifts[id] = r.line
	s.Line = r.line
	p.sheet.Shifts = append(p.sheet.Shifts, s)
}

// normalise orders what has no order in a sheet, so that moved lines change
// nothing.
func (s *Sheet) normalise() {
	for _, service := range s.Services {
		slices.SortFunc(service.Calls, func(a, b *pb.Call) int { return cmp.Compare(a.Path, b.Path) })
	}
	for _, w := range s.Workspaces {
		slices.SortFunc(w.KeySha256, bytes.Compare)
	}
}
