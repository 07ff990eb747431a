package config

import (
	"cmp"
	"slices"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// builder makes a new version from an old one.
type builder struct {
	workspaces *edit[pb.Workspace]
	budgets    *edit[pb.Budget]
	services   *edit[serviceEntry]
	targets    *edit[pb.Target]
	keys       *edit[keyEntry]
	// retarget is set when targets or services changed.
	retarget bool
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
		b.retarget = true
	case *pb.Record_Target:
		b.targets.put(r.Target)
		b.retarget = true
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

// removeKeys forgets the bearer keys of a workspace that still name it.
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
		b.retarget = true
	case pb.RecordKind_RECORD_KIND_TARGET:
		b.targets.remove(key.Name)
		b.retarget = true
	}
}

func (b *builder) view(version uint64) *View {
	targets := b.targets.done()
	if b.retarget {
		b.assignTargets(&targets)
	}
	return &View{
		version:    version,
		workspaces: b.workspaces.done(),
		budgets:    b.budgets.done(),
		services:   b.services.done(),
		targets:    targets,
		keys:       b.keys.done(),
	}
}

// assignTargets gives each service its targets. Services and targets are few.
func (b *builder) assignTargets(targets *index[pb.Target]) {
	byService := make(map[string][]*pb.Target)
	targets.all(func(t *pb.Target) { byService[t.Service] = append(byService[t.Service], t) })
	var entries []*serviceEntry
	b.services.all(func(e *serviceEntry) { entries = append(entries, e) })
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
	return &serviceEntry{service: s, calls: calls, defaults: defaultShares(s)}
}

func defaultShares(s *pb.Service) []*pb.ProviderShare {
	if len(s.DefaultShares) > 0 {
		return s.DefaultShares
	}
	if s.DefaultProvider == "" {
		return nil
	}
	return []*pb.ProviderShare{{Provider: s.DefaultProvider, Permille: fullShare}}
}
