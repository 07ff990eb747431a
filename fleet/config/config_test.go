package config

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

func keyHash(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// referenceModel is the configuration as a plain map, which views are compared
// with.
type referenceModel map[recordID]*pb.Record

func (m referenceModel) apply(c *pb.Change) {
	for _, key := range c.Removes {
		delete(m, recordID{key.Kind, key.Name})
	}
	for _, r := range c.Upserts {
		key := RecordKey(r)
		m[recordID{key.Kind, key.Name}] = r
	}
}

func (m referenceModel) snapshot(version uint64) *pb.Snapshot {
	s := &pb.Snapshot{Version: version}
	for _, r := range m {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b *pb.Record) int { return compareKeys(RecordKey(a), RecordKey(b)) })
	return s
}

func compareKeys(a, b *pb.RecordKey) int {
	if byKind := cmp.Compare(a.GetKind(), b.GetKind()); byKind != 0 {
		return byKind
	}
	return cmp.Compare(a.GetName(), b.GetName())
}

// owner returns a workspace that has the bearer key, and the number of
// workspaces that have it.
func (m referenceModel) owner(sum []byte) (owner string, count int) {
	for _, r := range m {
		for _, s := range r.GetWorkspace().GetKeySha256() {
			if string(s) == string(sum) {
				owner = r.GetWorkspace().Name
				count++
			}
		}
	}
	return owner, count
}

var names = []string{"a", "b", "c", "d"}

func drawRecord(t *rapid.T) *pb.Record {
	name := rapid.SampledFrom(names).Draw(t, "name")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return BudgetRecord(&pb.Budget{Name: name, Workspace: rapid.SampledFrom(names).Draw(t, "workspace")})
	case 1:
		return ServiceRecord(&pb.Service{Name: name, DefaultProvider: rapid.SampledFrom(names).Draw(t, "provider")})
	case 2:
		return TargetRecord(&pb.Target{Name: name, Service: rapid.SampledFrom(names).Draw(t, "service")})
	}
	// The key hashes of two workspaces differ, as Check requires.
	sums := [][]byte{keyHash(name + rapid.SampledFrom(names).Draw(t, "key"))}
	return WorkspaceRecord(&pb.Workspace{Name: name, KeySha256: sums})
}

func drawChange(t *rapid.T, version uint64) *pb.Change {
	c := &pb.Change{Version: version}
	for range rapid.IntRange(0, 2).Draw(t, "removes") {
		c.Removes = append(c.Removes, RecordKey(drawRecord(t)))
	}
	for range rapid.IntRange(1, 3).Draw(t, "upserts") {
		c.Upserts = append(c.Upserts, drawRecord(t))
	}
	return c
}

// TestViewsMatchReferenceModel applies random changes and checks every view,
// including older ones, to detect writes to data that views share.
func TestViewsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := make(referenceModel)
		view := Empty()
		var views []*View
		var want []*pb.Snapshot
		for version := uint64(1); version <= uint64(rapid.IntRange(1, 12).Draw(t, "changes")); version++ {
			c := drawChange(t, version)
			next, err := view.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			m.apply(c)
			view = next
			views = append(views, view)
			want = append(want, m.snapshot(version))
		}
		for i, v := range views {
			if !proto.Equal(v.Snapshot(), want[i]) {
				t.Fatalf("version %d: %v, want %v", i+1, v.Snapshot(), want[i])
			}
		}
		checkLookups(t, view, m)
		loaded, err := FromSnapshot(view.Snapshot())
		if err != nil || !proto.Equal(loaded.Snapshot(), view.Snapshot()) {
			t.Fatalf("the view loaded from the snapshot differs: %v", err)
		}
		checkLookups(t, loaded, m)
	})
}

func checkLookups(t *rapid.T, view *View, m referenceModel) {
	for _, name := range names {
		for _, key := range names {
			sum := keyHash(name + key)
			owner, count := m.owner(sum)
			w, found := view.WorkspaceByKey([32]byte(sum))
			if found != (count == 1) || found && w.Name != owner {
				t.Fatalf("key of %s: found %v %v, want %q", name, found, w, owner)
			}
		}
		targets := 0
		for _, r := range m {
			if r.GetTarget().GetService() == name && m[recordID{pb.RecordKind_RECORD_KIND_SERVICE, name}] != nil {
				targets++
			}
		}
		if len(view.Targets(name)) != targets {
			t.Fatalf("service %s has %d targets, want %d", name, len(view.Targets(name)), targets)
		}
	}
}

func TestApplyRejectsGapsAndOldVersions(t *testing.T) {
	is := is.New(t)
	view, err := Empty().Apply(&pb.Change{Version: 1})
	is.NoErr(err)
	for _, version := range []uint64{0, 1, 3} {
		_, err := view.Apply(&pb.Change{Version: version})
		is.True(err != nil)
	}
}

func TestSharesFallBackToDefaults(t *testing.T) {
	is := is.New(t)
	view, err := FromSnapshot(&pb.Snapshot{Version: 1, Records: []*pb.Record{
		ServiceRecord(&pb.Service{Name: "plain", DefaultProvider: "local"}),
		ServiceRecord(&pb.Service{Name: "model", DefaultProvider: "old", DefaultShares: []*pb.ProviderShare{{Provider: "new", Permille: 1000}}}),
		WorkspaceRecord(&pb.Workspace{Name: "w", Shares: []*pb.ServiceShares{
			{Service: "model", Providers: []*pb.ProviderShare{{Provider: "old", Permille: 1000}}},
		}}),
	}})
	is.NoErr(err)
	is.Equal(view.Shares("w", "model")[0].Provider, "old")
	is.Equal(view.Shares("other", "model")[0].Provider, "new")
	is.Equal(view.Shares("w", "plain")[0].Provider, "local")
	is.Equal(len(view.Shares("w", "none")), 0)
}

func TestCheckReportsEveryFault(t *testing.T) {
	is := is.New(t)
	faults := Check([]*pb.Record{
		{},
		ServiceRecord(&pb.Service{Name: "m m", Calls: []*pb.Call{{Path: "/x"}, {Path: "/x"}}}),
		TargetRecord(&pb.Target{Name: "t", Service: "none", Provider: "old", DataCentre: "a", Address: "host:1"}),
		WorkspaceRecord(&pb.Workspace{Name: "w", KeySha256: [][]byte{keyHash("k"), {1}}, DefaultBudget: "b2",
			Shares: []*pb.ServiceShares{{Service: "none"}}}),
		WorkspaceRecord(&pb.Workspace{Name: "v", KeySha256: [][]byte{keyHash("k")}, Priority: pb.Priority_PRIORITY_BATCH, DefaultBudget: "b"}),
		BudgetRecord(&pb.Budget{Name: "b", Workspace: "w"}),
		BudgetRecord(&pb.Budget{Name: "b", Workspace: "x"}),
	})
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprintf("%s: %s", FormatKey(f.Key), f.Field))
	}
	is.Equal(strings.Join(got, "\n"), strings.Join([]string{
		"unspecified : record",
		"service m m: name", "service m m: kind",
		"service m m: calls", "service m m: calls", "service m m: calls", "service m m: calls", "service m m: calls",
		"service m m: default_provider",
		"target t: service", "target t: address",
		"workspace w: key_sha256", "workspace w: priority", "workspace w: default_budget", "workspace w: shares",
		"workspace v: key_sha256", "workspace v: default_budget",
		"budget b: name", "budget b: workspace",
	}, "\n"))
}
