package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

var testNow = time.Unix(1000, 0)

// newTargets returns n targets of a provider in a data centre.
func newTargets(provider, dataCentre string, n int) []*pb.Target {
	var all []*pb.Target
	for i := range n {
		all = append(all, &pb.Target{
			Name:       fmt.Sprintf("%s-%s-%d", provider, dataCentre, i),
			Service:    "model-pool",
			Provider:   provider,
			DataCentre: dataCentre,
			Address:    fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	return all
}

func newRequest(id string) *Request {
	return &Request{Service: "model-pool", RequestID: id, DefaultProvider: "old", Now: testNow}
}

// The measured share is within 1% of the declared one over 100,000 requests,
// and a retry stays with its provider.
func TestProviderFollowsShares(t *testing.T) {
	const requests = 100_000
	is := is.New(t)
	for _, permille := range []uint32{0, 5, 250, 300, 990, 1000} {
		r := newRequest("")
		r.Shares = []*pb.ProviderShare{{Provider: "new", Permille: permille}, {Provider: "old", Permille: 1000 - permille}}
		newCount := 0
		for i := range requests {
			r.RequestID = fmt.Sprint("request-", i)
			chosen := chooseProvider(r)
			is.Equal(chooseProvider(r), chosen)
			if chosen == "new" {
				newCount++
			}
		}
		deviation := float64(newCount)/requests - float64(permille)/1000
		t.Logf("share %d permille: %d of %d", permille, newCount, requests)
		is.True(deviation > -0.01 && deviation < 0.01)
	}
}

// A growing share moves requests only to the new provider, and none back.
func TestGrowingShareMovesRequestsOneWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRequest(rapid.String().Draw(t, "id"))
		before := rapid.Uint32Range(0, 1000).Draw(t, "before")
		after := rapid.Uint32Range(before, 1000).Draw(t, "after")
		r.Shares = []*pb.ProviderShare{{Provider: "new", Permille: before}, {Provider: "old", Permille: 1000 - before}}
		first := chooseProvider(r)
		r.Shares = []*pb.ProviderShare{{Provider: "new", Permille: after}, {Provider: "old", Permille: 1000 - after}}
		if first == "new" && chooseProvider(r) != "new" {
			t.Fatalf("a request moved back to the old provider")
		}
	})
}

func TestLocalDataCentreIsPreferred(t *testing.T) {
	is := is.New(t)
	table := New(Options{DataCentre: "cluj-a", MaxInFlight: 2 * initialLimitDivisor})
	table.Update(append(newTargets("old", "cluj-a", 2), newTargets("old", "cluj-b", 2)...))
	for i := range 4 {
		lease, err := table.Pick(newRequest(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(lease.Target().DataCentre, "cluj-a")
	}
	lease, err := table.Pick(newRequest("5"))
	is.NoErr(err)
	is.Equal(lease.Target().DataCentre, "cluj-b")
}

// A target that misses reports gets no requests until one arrives.
func TestMissedReportsExcludeATarget(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Update(newTargets("old", "", 1))
	name := newTargets("old", "", 1)[0].Name
	table.ReportMissing(name)
	lease, err := table.Pick(newRequest("a"))
	is.NoErr(err)
	lease.Done(Outcome{Now: testNow})
	table.ReportMissing(name)
	_, err = table.Pick(newRequest("b"))
	is.Equal(errkind.KindOf(err), errkind.NoTarget)
	table.Report(name, 0, false)
	_, err = table.Pick(newRequest("c"))
	is.NoErr(err)
}

// Requests of a provider whose targets are all leaving go to another provider
// instead of failing.
func TestLeavingProviderFallsBackToAnother(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	old := newTargets("old", "", 2)
	old[0].Leaving = true
	table.Update(append(old, newTargets("new", "", 1)...), old[1].Name)
	r := newRequest("a")
	r.Shares = []*pb.ProviderShare{{Provider: "old", Permille: 999}, {Provider: "new", Permille: 1}}
	lease, err := table.Pick(r)
	is.NoErr(err)
	is.Equal(lease.Target().Provider, "new")
	is.Equal(len(table.Leaving()), 2)
}

func TestPickErrorKinds(t *testing.T) {
	is := is.New(t)
	table := New(Options{MaxInFlight: 1})
	_, err := table.Pick(newRequest("a"))
	is.Equal(errkind.KindOf(err), errkind.NoTarget)
	table.Update(newTargets("old", "", 1))
	lease, err := table.Pick(newRequest("b"))
	is.NoErr(err)
	_, err = table.Pick(newRequest("c"))
	is.Equal(errkind.KindOf(err), errkind.Overloaded)
	is.True(errkind.FromError(err).RetryAfter > 0)
	lease.Done(Outcome{Now: testNow})
	_, err = table.Pick(newRequest("d"))
	is.NoErr(err)
}

// Requests with the same prefix go to the same target until its load exceeds
// the bound.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	table := New(Options{Seed: 1})
	table.Update(newTargets("old", "", 8))
	r := newRequest("a")
	r.PrefixHash = 42
	first, err := table.Pick(r)
	is.NoErr(err)
	first.Done(Outcome{Now: testNow})
	for range 16 {
		lease, err := table.Pick(r)
		is.NoErr(err)
		is.Equal(lease.Target().Name, first.Target().Name)
		lease.Done(Outcome{Now: testNow})
	}
	counts := make(map[string]int)
	for range 64 {
		lease, err := table.Pick(r)
		is.NoErr(err)
		counts[lease.Target().Name]++
	}
	is.True(len(counts) > 1)
	is.True(counts[first.Target().Name] <= 16)
}

// pickModel runs a table next to the expected state of each target.
type pickModel struct {
	table           *Table
	all             []*pb.Target
	markedLeaving   map[string]bool
	reportedLeaving map[string]bool
	suspectUntil    map[string]time.Time
	leases          []Lease
	now             time.Time
}

func (m *pickModel) inFlight(name string) int {
	n := 0
	for _, l := range m.leases {
		if l.Target().Name == name {
			n++
		}
	}
	return n
}

// After any sequence of reports, declarations, leaving marks and outcomes, a
// leaving, excluded, full or suspect target is never picked, and target states
// survive updates of the target set.
func TestPickNeverReturnsUnavailableTargets(t *testing.T) {
	const limit = 3
	rapid.Check(t, func(t *rapid.T) {
		m := &pickModel{
			table:           New(Options{Seed: rapid.Uint64().Draw(t, "seed"), MaxInFlight: limit}),
			all:             newTargets("old", "", 5),
			markedLeaving:   make(map[string]bool),
			reportedLeaving: make(map[string]bool),
			suspectUntil:    make(map[string]time.Time),
			now:             testNow,
		}
		m.table.Update(m.all)
		name := func(t *rapid.T) string { return rapid.SampledFrom(m.all).Draw(t, "target").Name }
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				r := newRequest("r")
				r.Now = m.now
				r.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
				r.Exclude = []string{name(t)}
				lease, err := m.table.Pick(r)
				if err != nil {
					return
				}
				got := lease.Target().Name
				until, isSuspect := m.suspectUntil[got]
				switch {
				case m.markedLeaving[got] || m.reportedLeaving[got] || m.all[indexOf(m.all, got)].Leaving:
					t.Fatalf("%s is leaving and was picked", got)
				case got == r.Exclude[0]:
					t.Fatalf("%s was excluded and picked", got)
				case m.inFlight(got) >= limit:
					t.Fatalf("%s was picked above its limit", got)
				case isSuspect && (m.now.Before(until) || m.inFlight(got) > 0):
					t.Fatalf("%s is suspect and was picked", got)
				}
				m.leases = append(m.leases, lease)
			},
			"done": func(t *rapid.T) {
				if len(m.leases) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(m.leases)-1).Draw(t, "lease")
				lease := m.leases[i]
				m.leases = append(m.leases[:i], m.leases[i+1:]...)
				if rapid.Bool().Draw(t, "well") {
					lease.Done(Outcome{Result: OK, Now: m.now})
					delete(m.suspectUntil, lease.Target().Name)
					return
				}
				lease.Done(Outcome{Result: Unreachable, Now: m.now})
				m.suspectUntil[lease.Target().Name] = m.now.Add(defaultSuspectMin)
			},
			"report": func(t *rapid.T) {
				n, leaving := name(t), rapid.Bool().Draw(t, "leaving")
				m.table.Report(n, rapid.IntRange(0, 9).Draw(t, "in flight"), leaving)
				m.reportedLeaving[n] = leaving
			},
			"update": func(t *rapid.T) {
				m.markedLeaving = map[string]bool{name(t): true}
				m.all = newTargets("old", "", 5)
				m.all[rapid.IntRange(0, 4).Draw(t, "declared")].Leaving = true
				for n := range m.markedLeaving {
					m.table.Update(m.all, n)
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func indexOf(all []*pb.Target, name string) int {
	for i, target := range all {
		if target.Name == name {
			return i
		}
	}
	return -1
}

func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Update(newTargets("old", "", 600))
	r := newRequest("a")
	r.PrefixHash = 7
	allocs := testing.AllocsPerRun(1000, func() {
		lease, err := table.Pick(r)
		if err == nil {
			lease.Done(Outcome{Now: testNow})
		}
	})
	is.Equal(allocs, 0.0)
}

func benchmarkPick(b *testing.B, prefix uint64, leavingTargets int) {
	table := New(Options{DataCentre: "cluj-a"})
	table.Update(append(newTargets("old", "cluj-a", 600), newTargets("new", "cluj-a", 600)...))
	for _, target := range newTargets("old", "cluj-a", leavingTargets) {
		table.Report(target.Name, 0, true)
	}
	shares := []*pb.ProviderShare{{Provider: "old", Permille: 999}, {Provider: "new", Permille: 1}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := newRequest("request-12345678")
		r.Shares = shares
		for pb.Next() {
			r.PrefixHash += prefix
			lease, err := table.Pick(r)
			if err != nil {
				b.Fatal(err)
			}
			lease.Done(Outcome{Now: testNow})
		}
	})
}

func BenchmarkPick(b *testing.B)           { benchmarkPick(b, 0, 0) }
func BenchmarkPickWithPrefix(b *testing.B) { benchmarkPick(b, 1, 0) }

// BenchmarkPickLastOne picks with only one of the 600 targets of the main
// provider in service.
func BenchmarkPickLastOne(b *testing.B) { benchmarkPick(b, 0, 599) }
