package config

import (
	"cmp"
	"slices"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// builder builds a new View from an existing one.
type builder struct {
	workspaces *edit[pb.Workspace]
	budgets    *edit[pb.Budget]
	services   *edit[serviceEntry]
	targets    *edit[pb.Target]
	keys       *edit[keyEntry]
	// targetsChanged is set when a target or a service was changed, so that the
	// targets of each service must be assigned again.
	targetsChanged bool
}

func newBuilder(v *View) *builder {
	return &builder{
		workspaces: v.workspaces.edit(),
		budgets:    v.budgets.edit(),
		services:   v.services.edit(),
		targets:    v.targets.edit(),
		keys:       v.keys.edit(),
	}
}

func (b *builder) upsert(r *pb.Record) error {
	key := RecordKey(r)
	if key.Name == "" {
		return errkind.New(errkind.Internal, "a configuration record has no kind or no name")
	}
	switch r := r.Record.(type) {
	case *pb.Record_Workspace:
		b.upsertWorkspace(r.Workspace)
	case *pb.Record_Budget:
		b.budgets.put(r.Budget)
	case *pb.Record_Service:
		b.services.put(newServiceEntry(r.Service))
		b.targetsChanged = true
	case *pb.Record_Target:
		b.targets.put(r.Target)
		b.targetsChanged = true
	}
	return nil
}

func (b *builder) upsertWorkspace(w *pb.Workspace) {
	b.removeKeys(w.Name)
	b.workspaces.put(w)
	for _, sum := range w.KeySha256 {
		b.keys.put(&keyEntry{sum: string(sum), workspace: w})
	}
}

// removeKeys removes the bearer keys of a workspace. It leaves keys that belong
// to another workspace by now.
func (b *builder) removeKeys(workspace string) {
	old, ok := b.workspaces.get(workspace)
	if !ok {
		return
	}
	for _, sum := range old.KeySha256 {
		e, ok := b.keys.get(string(sum))
		if ok && e.workspace.Name == workspace {
			b.keys.remove(string(sum))
		}
	}
}

func (b *builder) remove(key *pb.RecordKey) {
	switch key.GetKind() {
	case pb.RecordKind_RECORD_KIND_WORKSPACE:
		b.removeKeys(key.Name)
		b.workspaces.remove(key.Name)
	case pb.RecordKind_RECORD_KIND_BUDGET:
		b.budgets.remove(key.Name)
	case pb.RecordKind_RECORD_KIND_SERVICE:
		b.services.remove(key.Name)
		b.targetsChanged = true
	case pb.RecordKind_RECORD_KIND_TARGET:
		b.targets.remove(key.Name)
		b.targetsChanged = true
	}
}

func (b *builder) build(version uint64) *View {
	targets := b.targets.finish()
	if b.targetsChanged {
		b.assignTargets(&targets)
	}
	return &View{
		version:    version,
		workspaces: b.workspaces.finish(),
		budgets:    b.budgets.finish(),
		services:   b.services.finish(),
		targets:    targets,
		keys:       b.keys.finish(),
	}
}

// assignTargets sets the targets of every service. It rebuilds all services,
// which is acceptable because services and targets are few.
func (b *builder) assignTargets(targets *index[pb.Target]) {
	byService := make(map[string][]*pb.Target)
	targets.forEach(func(t *pb.Target) { byService[t.Service] = append(byService[t.Service], t) })
	var entries []*serviceEntry
	b.services.forEach(func(e *serviceEntry) { entries = append(entries, e) })
	for _, e := range entries {
		list := byService[e.service.Name]
		slices.SortFunc(list, func(a, b *pb.Target) int { return cmp.Compare(a.Name, b.Name) })
		next := *e
		next.targets = list
		b.services.put(&next)
	}
}

func newServiceEntry(s *pb.Service) *serviceEntry {
	calls := make(map[string]*pb.Call, len(s.Calls))
	for _, call := range s.Calls {
		calls[call.Path] = call
	}
	return &serviceEntry{service: s, calls: calls, defaultShares: defaultShares(s)}
}

func defaultShares(s *pb.Service) []*pb.ProviderShare {
	if len(s.DefaultShares) > 0 {
		return s.DefaultShares
	}
	if s.DefaultProvider == "" {
		return nil
	}
	return []*pb.ProviderShare{{Provider: s.DefaultProvider, Permille: totalPermille}}
}
