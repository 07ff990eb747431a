package config

import (
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// WorkspaceRecord wraps a workspace in a record.
func WorkspaceRecord(w *pb.Workspace) *pb.Record {
	return &pb.Record{Record: &pb.Record_Workspace{Workspace: w}}
}

// BudgetRecord wraps a budget in a record.
func BudgetRecord(b *pb.Budget) *pb.Record {
	return &pb.Record{Record: &pb.Record_Budget{Budget: b}}
}

// ServiceRecord wraps a service in a record.
func ServiceRecord(s *pb.Service) *pb.Record {
	return &pb.Record{Record: &pb.Record_Service{Service: s}}
}

// TargetRecord wraps a target in a record.
func TargetRecord(t *pb.Target) *pb.Record {
	return &pb.Record{Record: &pb.Record_Target{Target: t}}
}

// RecordKey returns the kind and name of a record. The kind is unspecified if
// the record is empty.
func RecordKey(r *pb.Record) *pb.RecordKey {
	switch r := r.GetRecord().(type) {
	case *pb.Record_Workspace:
		return &pb.RecordKey{Kind: pb.RecordKind_RECORD_KIND_WORKSPACE, Name: r.Workspace.GetName()}
	case *pb.Record_Budget:
		return &pb.RecordKey{Kind: pb.RecordKind_RECORD_KIND_BUDGET, Name: r.Budget.GetName()}
	case *pb.Record_Service:
		return &pb.RecordKey{Kind: pb.RecordKind_RECORD_KIND_SERVICE, Name: r.Service.GetName()}
	case *pb.Record_Target:
		return &pb.RecordKey{Kind: pb.RecordKind_RECORD_KIND_TARGET, Name: r.Target.GetName()}
	}
	return &pb.RecordKey{}
}

// KindName returns the name of a record kind in sheets and messages.
func KindName(kind pb.RecordKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "RECORD_KIND_"))
}

// FormatKey formats a record key for messages, for example "budget archive-daily".
func FormatKey(key *pb.RecordKey) string { return KindName(key.GetKind()) + " " + key.GetName() }
