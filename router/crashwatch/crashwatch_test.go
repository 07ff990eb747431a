package crashwatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
)

// storeClock is a platform clock that is a constant ahead of the local one.
type storeClock struct{}

func (storeClock) LowerBound(local time.Time) (int64, bool) { return local.UnixMilli() + 1000, true }
func (storeClock) UpperBound(local time.Time) (int64, bool) { return local.UnixMilli() + 1000, true }

// watchers run on one store, as gateways do.
type watchers struct {
	t     *testing.T
	ctx   context.Context
	store *platformfake.Fake
	all   map[string]*Watcher
	stop  map[string]context.CancelFunc
	// accepting makes all targets accept connections.
	accepting bool
	// ended counts the targets that the watchers told to have ended.
	ended atomic.Int64
}

// inFleet runs a test in simulated time with watchers of the given names.
func inFleet(t *testing.T, test func(f *watchers), names ...string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := &watchers{t: t, ctx: ctx, store: &platformfake.Fake{}, all: make(map[string]*Watcher), stop: make(map[string]context.CancelFunc)}
		for _, name := range names {
			f.start(name)
		}
		test(f)
	})
}

// start starts a run of a gateway, and ends the one before.
func (f *watchers) start(name string) *Watcher {
	if f.stop[name] != nil {
		f.stop[name]()
	}
	ctx, cancel := context.WithCancel(f.ctx)
	w := New(Options{
		Gateway: name, Tables: f.store, Clock: storeClock{},
		TargetEnded: func(context.Context, string) bool { return !f.accepting },
		Ended:       func(placement.Target) { f.ended.Add(1) },
		Metrics:     NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})
	f.all[name], f.stop[name] = w, cancel
	f.list(w)
	go w.Run(ctx)
	return w
}

// list gives a watcher the rows of the store.
func (f *watchers) list(w *Watcher) {
	rows, _, err := f.store.Scan(f.ctx, Table+"//", "", 0)
	if err != nil {
		return
	}
	var entries []platformclient.Entry
	for _, row := range rows {
		entries = append(entries, platformclient.Entry{Key: row.Key[len(Table)+2:], Value: row.Value})
	}
	w.Replace(entries)
}

// pass lets time pass, in which the watchers follow the table.
func (f *watchers) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		for _, w := range f.all {
			f.list(w)
		}
	}
}

var harmful = []quarantine.Trait{{Hash: 1}, {Hash: 2}}

// lose makes a watcher lose the connection of an attempt that was just sent.
func (f *watchers) lose(w *Watcher, target int, traits []quarantine.Trait) {
	w.ConnectionLost(quarantine.Exchange{Target: placement.Target{ID: fmt.Sprintf("t%d", target), StartTimeMs: 1}, Traits: traits, SentAt: time.Now()})
}

// crash makes a watcher lose the connection of an answer as its target ends.
func (f *watchers) crash(w *Watcher, target int) {
	f.lose(w, target, harmful)
	f.pass(400 * time.Millisecond)
}

// Each gateway sees two crashes, and all refuse the part.
func TestGatewaysRefuseTogether(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		names := []string{"a", "b", "c"}
		for i := range 6 {
			f.crash(f.all[names[i%3]], i)
		}
		f.pass(time.Second)
		for _, name := range names {
			refusal := f.all[name].Refusal(harmful)
			is.True(refusal != nil)
			is.Equal(refusal.Kind, errkind.PromptRefused)
			is.True(refusal.RetryAfter > 0)
			is.True(f.all[name].Refusal([]quarantine.Trait{{Hash: 9}}) == nil)
		}
		late := f.start("late")
		is.True(late.Refusal(harmful) != nil)
	}, "a", "b", "c")
}

// A request without a prompt is refused after fewer crashes, with its own kind of error.
func TestGatewaysRefuseARequestTogether(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		request := []quarantine.Trait{quarantine.RequestTrait(7)}
		for i, name := range []string{"a", "b", "a"} {
			f.lose(f.all[name], i, request)
			f.pass(400 * time.Millisecond)
		}
		f.pass(time.Second)
		for _, w := range []*Watcher{f.all["a"], f.all["b"], f.start("late")} {
			is.Equal(w.Refusal(request).Kind, errkind.RequestRefused)
			is.True(w.Refusal([]quarantine.Trait{quarantine.RequestTrait(8)}) == nil)
			is.True(w.Refusal([]quarantine.Trait{{Kind: quarantine.PromptPart, Hash: 7}}) == nil)
		}
	}, "a", "b")
}

// A request that was lost with several targets at once, and answered by another gateway
// since, isn't refused.
func TestAnswerClearsARequestEverywhere(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		request := []quarantine.Trait{quarantine.RequestTrait(7)}
		for i := range 3 {
			f.lose(f.all["a"], i, request)
		}
		f.pass(2500 * time.Millisecond)
		is.True(f.all["a"].Refusal(request) != nil)
		f.all["b"].Answered(request, time.Now())
		f.pass(2 * time.Second)
		is.True(f.all["a"].Refusal(request) == nil)
	}, "a", "b")
}

// A target that still accepts connections has lost a connection, not ended.
func TestLostConnectionOfARunningTargetIsNoCrash(t *testing.T) {
	inFleet(t, func(f *watchers) {
		f.accepting = true
		for i := range 6 {
			f.crash(f.all["a"], i)
		}
		is := is.New(t)
		is.True(f.all["a"].Refusal(harmful) == nil)
		is.Equal(f.ended.Load(), int64(0))
	}, "a")
}

// An answer that ended with its connection counts as an answer only if the target
// still accepts connections.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		a := f.all["a"]
		for i := range 6 {
			a.AnsweredUnlessCrashed(quarantine.Exchange{Target: placement.Target{ID: fmt.Sprintf("t%d", i)}, Traits: harmful}, time.Now())
			f.pass(400 * time.Millisecond)
		}
		is.True(a.Refusal(harmful) != nil)
		is.Equal(f.ended.Load(), int64(6))
		f.accepting = true
		a.AnsweredUnlessCrashed(quarantine.Exchange{Target: placement.Target{ID: "t9"}, Traits: harmful}, time.Now())
		f.pass(400 * time.Millisecond)
		is.True(a.Refusal(harmful) == nil)
	}, "a")
}

// What gateways see while the store is away reaches the others after its return.
func TestCrashesSeenWhileTheStoreIsAway(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		f.store.SetDown(true)
		for i := range 6 {
			f.crash(f.all["a"], i)
		}
		is.True(f.all["a"].Refusal(harmful) != nil)
		is.True(f.all["b"].Refusal(harmful) == nil)
		f.store.SetDown(false)
		f.pass(time.Second)
		is.True(f.all["b"].Refusal(harmful) != nil)
	}, "a", "b")
}

// Writes that are lost, or committed without a response, are repeated.
func TestLostWritesAreRepeated(t *testing.T) {
	inFleet(t, func(f *watchers) {
		f.store.SetCommitFaults(platformfake.RequestLost, platformfake.ResponseLost, platformfake.Delayed)
		for i := range 6 {
			f.crash(f.all["a"], i)
		}
		f.pass(2 * time.Second)
		is.New(t).True(f.all["b"].Refusal(harmful) != nil)
	}, "a", "b")
}

// The next run of a gateway keeps what the one before reported, and adds to it.
func TestNextRunKeepsTheReport(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		for i := range 2 {
			f.crash(f.all["a"], i)
		}
		next := f.start("a")
		for i := range 4 {
			f.crash(next, 10+i)
		}
		f.pass(time.Second)
		is.True(f.all["b"].Refusal(harmful) != nil)
		is.Equal(len(f.reported("a").Crashes), 6)
	}, "a", "b")
}

func (f *watchers) reported(name string) quarantine.Report {
	rows, err := f.store.Read(f.ctx, Table+"//"+name)
	is := is.New(f.t)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	report, err := decodeReport(rows[0].Value)
	is.NoErr(err)
	return report
}

// A store that comes back without a gateway's row gets it again.
func TestLostRowIsWrittenAgain(t *testing.T) {
	inFleet(t, func(f *watchers) {
		for i := range 6 {
			f.crash(f.all["a"], i)
		}
		f.pass(time.Second)
		_, err := f.store.Commit(f.ctx, &pb.CommitRequest{Writes: []*pb.Write{{Key: Table + "//a", Delete: true}}})
		is.New(t).NoErr(err)
		f.pass(3 * time.Second)
		is.New(t).True(len(f.reported("a").Crashes) >= 5)
	}, "a")
}

// An answer seen by one gateway ends the refusal at all.
func TestAnswerEndsRefusalEverywhere(t *testing.T) {
	inFleet(t, func(f *watchers) {
		is := is.New(t)
		for i := range 6 {
			f.crash(f.all["a"], i)
		}
		f.pass(time.Second)
		is.True(f.all["b"].Refusal(harmful) != nil)
		f.all["c"].Answered(harmful, time.Now())
		f.pass(2 * time.Second)
		is.True(f.all["a"].Refusal(harmful) == nil)
		is.True(f.all["b"].Refusal(harmful) == nil)
	}, "a", "b", "c")
}

func TestInvalidReportIsIgnored(t *testing.T) {
	inFleet(t, func(f *watchers) {
		w := f.all["a"]
		w.Update([]platformclient.Entry{{Key: "x", Value: []byte("junk")}})
		is.New(t).True(w.Refusal(harmful) == nil)
	}, "a")
}

// Callers aren't held up by checks of targets.
func TestTooManyLostAnswersArentChecked(t *testing.T) {
	is := is.New(t)
	metrics := NewMetrics(prometheus.NewRegistry())
	w := New(Options{Gateway: "a", Clock: storeClock{}, Metrics: metrics, Log: zap.NewNop(), Now: time.Now})
	for range maxPendingChecks + 1 {
		w.ConnectionLost(quarantine.Exchange{Target: placement.Target{ID: "t"}, Traits: harmful})
	}
	is.Equal(len(w.lost), maxPendingChecks)
}
