package sheet

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

// field is one value of a record, with the name and format that a sheet uses.
type field struct{ name, value string }

// FieldChange is the change of one value by a plan. Before is empty if the value
// is added; After is empty if it is removed.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ItemReport is the printable form of an Item.
type ItemReport struct {
	Operation Operation     `json:"operation"`
	Kind      string        `json:"kind"`
	Name      string        `json:"name"`
	Fields    []FieldChange `json:"fields,omitempty"`
}

// Report is the printable form of a Plan, also written as JSON.
type Report struct {
	BaseVersion   uint64       `json:"base_version"`
	NextVersion   uint64       `json:"next_version"`
	Added         int          `json:"added"`
	Changed       int          `json:"changed"`
	Removed       int          `json:"removed"`
	Items         []ItemReport `json:"items"`
	TopUps        []TopUp      `json:"top_ups"`
	AppliedTopUps int          `json:"applied_top_ups"`
}

// Report returns the report of the plan.
func (p *Plan) Report() *Report {
	r := &Report{
		BaseVersion:   p.BaseVersion,
		NextVersion:   p.BaseVersion,
		Added:         p.Count(Add),
		Changed:       p.Count(Alter),
		Removed:       p.Count(Remove),
		Items:         make([]ItemReport, 0, len(p.Items)),
		TopUps:        slices.Concat([]TopUp{}, p.TopUps),
		AppliedTopUps: p.AppliedTopUps,
	}
	if p.Change != nil {
		r.NextVersion = p.Change.Version
	}
	for _, item := range p.Items {
		r.Items = append(r.Items, ItemReport{
			Operation: item.Operation,
			Kind:      config.KindName(item.Key.Kind),
			Name:      item.Key.Name,
			Fields:    compareFields(fieldsOf(item.Before), fieldsOf(item.After)),
		})
	}
	return r
}

// Text formats the report as text with one line per item. A line starts with +
// for an added record, ~ for a changed one, - for a removed one and ^ for a
// top-up.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d -> %d: %d added, %d changed, %d removed; %d top-ups to apply, %d applied before\n",
		r.BaseVersion, r.NextVersion, r.Added, r.Changed, r.Removed, len(r.TopUps), r.AppliedTopUps)
	signs := map[Operation]string{Add: "+", Alter: "~", Remove: "-"}
	for _, item := range r.Items {
		fmt.Fprintf(&b, "%s %s %s%s\n", signs[item.Operation], item.Kind, item.Name, item.text())
	}
	for _, t := range r.TopUps {
		fmt.Fprintf(&b, "^ top-up %s: budget %s, %+d tokens\n", t.ID, t.Budget, t.Tokens)
	}
	return b.String()
}

func (i *ItemReport) text() string {
	if i.Operation == Remove || len(i.Fields) == 0 {
		return ""
	}
	texts := make([]string, len(i.Fields))
	for n, f := range i.Fields {
		texts[n] = f.text(i.Operation)
	}
	return ": " + strings.Join(texts, ", ")
}

func (f *FieldChange) text(op Operation) string {
	if op == Add {
		return f.Field + "=" + f.After
	}
	return fmt.Sprintf("%s %s -> %s", f.Field, orNone(f.Before), orNone(f.After))
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

func compareFields(before, after []field) []FieldChange {
	var changes []FieldChange
	for _, f := range before {
		if next := valueOf(after, f.name); next != f.value {
			changes = append(changes, FieldChange{Field: f.name, Before: f.value, After: next})
		}
	}
	for _, f := range after {
		if valueOf(before, f.name) == "" && f.value != "" {
			changes = append(changes, FieldChange{Field: f.name, After: f.value})
		}
	}
	return changes
}

func valueOf(fields []field, name string) string {
	at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if at < 0 {
		return ""
	}
	return fields[at].value
}

func fieldsOf(r *pb.Record) []field {
	switch r := r.GetRecord().(type) {
	case *pb.Record_Workspace:
		return workspaceFields(r.Workspace)
	case *pb.Record_Budget:
		return []field{{"workspace", r.Budget.Workspace}}
	case *pb.Record_Service:
		return serviceFields(r.Service)
	case *pb.Record_Target:
		return targetFields(r.Target)
	}
	return nil
}

func workspaceFields(w *pb.Workspace) []field {
	sums := make([]string, len(w.KeySha256))
	for i, sum := range w.KeySha256 {
		sums[i] = hex.EncodeToString(sum)
	}
	fields := []field{
		{"key_sha256", strings.Join(sums, " ")},
		{"priority", keywordOf(priorities, w.Priority)},
		{"budget", w.DefaultBudget},
	}
	for _, s := range w.Shares {
		fields = append(fields, field{"shift " + s.Service, sharesText(s.Providers)})
	}
	return fields
}

func serviceFields(s *pb.Service) []field {
	fields := []field{
		{"kind", keywordOf(serviceKinds, s.Kind)},
		{"provider", s.DefaultProvider},
	}
	for _, call := range s.Calls {
		fields = append(fields, field{"call " + call.Path, fmt.Sprintf("%s, %d tokens", keywordOf(callKinds, call.Kind), call.CostTokens)})
	}
	return append(fields, field{"shift " + AllWorkspaces, sharesText(s.DefaultShares)})
}

func targetFields(t *pb.Target) []field {
	return []field{
		{"service", t.Service},
		{"provider", t.Provider},
		{"data_centre", t.DataCentre},
		{"address", t.Address},
		{"checks_fencing", yesOrNo(t.ChecksFencing)},
		{"leaving", yesOrNo(t.Leaving)},
	}
}

func sharesText(shares []*pb.ProviderShare) string {
	texts := make([]string, len(shares))
	for i, s := range shares {
		texts[i] = s.Provider + " " + strconv.Itoa(int(s.Permille))
	}
	return strings.Join(texts, " + ")
}

func keywordOf[T comparable](keywords []keyword[T], value T) string {
	at := slices.IndexFunc(keywords, func(w keyword[T]) bool { return w.value == value })
	if at < 0 {
		return ""
	}
	return keywords[at].text
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
