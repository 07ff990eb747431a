// Package config holds the operators' configuration as immutable views.
//
// A View is one version. Apply creates the next version from a change and
// shares all unchanged data with the previous one, so readers keep a
// consistent version without locking, and a small change is cheap at any
// configuration size. Records returned by a View are shared and must not be
// modified.
package config

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// totalPermille is the required sum of the shares of one service, in permille.
const totalPermille = 1000

// View is the whole configuration at one version. It is immutable and safe
// for concurrent use.
type View struct {
	version    uint64
	workspaces index[pb.Workspace]
	budgets    index[pb.Budget]
	services   index[serviceEntry]
	targets    index[pb.Target]
	keys       index[keyEntry]
}

// serviceEntry is a service with the data that requests look up: its calls by
// path, its targets and its default shares.
type serviceEntry struct {
	service       *pb.Service
	calls         map[string]*pb.Call
	targets       []*pb.Target
	defaultShares []*pb.ProviderShare
}

// keyEntry maps the SHA-256 hash of a bearer key to its workspace.
type keyEntry struct {
	sum       string
	workspace *pb.Workspace
}

// Empty returns the view of version 0, which has no records.
func Empty() *View {
	return &View{
		workspaces: newIndex((*pb.Workspace).GetName),
		budgets:    newIndex((*pb.Budget).GetName),
		services:   newIndex(func(e *serviceEntry) string { return e.service.GetName() }),
		targets:    newIndex((*pb.Target).GetName),
		keys:       newIndex(func(e *keyEntry) string { return e.sum }),
	}
}

// FromSnapshot returns the view of a snapshot. The view retains the snapshot's
// records, so they must not be modified afterwards.
func FromSnapshot(s *pb.Snapshot) (*View, error) {
	b := newBuilder(Empty())
	for _, r := range s.GetRecords() {
		if err := b.upsert(r); err != nil {
			return nil, err
		}
	}
	return b.build(s.GetVersion()), nil
}

// Apply returns the view of the next version. It returns an error unless the
// version of the change is the successor of this view's version. The new view
// retains the change's records, so they must not be modified afterwards.
func (v *View) Apply(c *pb.Change) (*View, error) {
	if c.GetVersion() != v.version+1 {
		return nil, errkind.New(errkind.Internal, "change to version %d doesn't follow version %d", c.GetVersion(), v.version)
	}
	b := newBuilder(v)
	for _, key := range c.GetRemoves() {
		b.remove(key)
	}
	for _, r := range c.GetUpserts() {
		if err := b.upsert(r); err != nil {
			return nil, err
		}
	}
	return b.build(c.GetVersion()), nil
}

// Version returns the version of the configuration; 0 is the empty one.
func (v *View) Version() uint64 { return v.version }

// Snapshot returns all records, ordered by kind and name.
func (v *View) Snapshot() *pb.Snapshot {
	records := make([]*pb.Record, 0, v.RecordCount())
	for _, w := range v.workspaces.sorted() {
		records = append(records, WorkspaceRecord(w))
	}
	for _, b := range v.budgets.sorted() {
		records = append(records, BudgetRecord(b))
	}
	for _, e := range v.services.sorted() {
		records = append(records, ServiceRecord(e.service))
	}
	for _, t := range v.targets.sorted() {
		records = append(records, TargetRecord(t))
	}
	return &pb.Snapshot{Version: v.version, Records: records}
}

// RecordCount returns the number of records.
func (v *View) RecordCount() int {
	return v.workspaces.length + v.budgets.length + v.services.length + v.targets.length
}

// Record returns the record with the given key.
func (v *View) Record(key *pb.RecordKey) (*pb.Record, bool) {
	switch key.GetKind() {
	case pb.RecordKind_RECORD_KIND_WORKSPACE:
		w, ok := v.Workspace(key.Name)
		return WorkspaceRecord(w), ok
	case pb.RecordKind_RECORD_KIND_BUDGET:
		b, ok := v.Budget(key.Name)
		return BudgetRecord(b), ok
	case pb.RecordKind_RECORD_KIND_SERVICE:
		s, ok := v.Service(key.Name)
		return ServiceRecord(s), ok
	case pb.RecordKind_RECORD_KIND_TARGET:
		t, ok := v.Target(key.Name)
		return TargetRecord(t), ok
	}
	return nil, false
}

// WorkspaceByKey returns the workspace that owns a bearer key, given the
// SHA-256 hash of the key.
func (v *View) WorkspaceByKey(sum [32]byte) (*pb.Workspace, bool) {
	e, ok := v.keys.get(string(sum[:]))
	if !ok {
		return nil, false
	}
	return e.workspace, true
}

// Workspace returns the workspace with the given name.
func (v *View) Workspace(name string) (*pb.Workspace, bool) { return v.workspaces.get(name) }

// Budget returns the budget with the given name.
func (v *View) Budget(name string) (*pb.Budget, bool) { return v.budgets.get(name) }

// Target returns the target with the given name.
func (v *View) Target(name string) (*pb.Target, bool) { return v.targets.get(name) }

// Service returns the service with the given name.
func (v *View) Service(name string) (*pb.Service, bool) {
	e, ok := v.services.get(name)
	if !ok {
		return nil, false
	}
	return e.service, true
}

// Services returns all services, ordered by name.
func (v *View) Services() []*pb.Service {
	entries := v.services.sorted()
	services := make([]*pb.Service, len(entries))
	for i, e := range entries {
		services[i] = e.service
	}
	return services
}

// Call returns the call of a service with the given path.
func (v *View) Call(service, path string) (*pb.Call, bool) {
	e, ok := v.services.get(service)
	if !ok {
		return nil, false
	}
	call, ok := e.calls[path]
	return call, ok
}

// Targets returns the targets of a service, ordered by name. Leaving targets
// are included.
func (v *View) Targets(service string) []*pb.Target {
	e, ok := v.services.get(service)
	if !ok {
		return nil
	}
	return e.targets
}

// AllTargets returns the targets of all services, ordered by name.
func (v *View) AllTargets() []*pb.Target { return v.targets.sorted() }

// Shares returns how a workspace's traffic to a service is split among
// providers: the workspace's own shares if it has any for the service, else the
// service's default shares, else everything to the default provider. It is
// empty if the service is unknown or has no provider.
func (v *View) Shares(workspace, service string) []*pb.ProviderShare {
	w, _ := v.workspaces.get(workspace)
	for _, s := range w.GetShares() {
		if s.Service == service {
			return s.Providers
		}
	}
	e, ok := v.services.get(service)
	if !ok {
		return nil
	}
	return e.defaultShares
}
