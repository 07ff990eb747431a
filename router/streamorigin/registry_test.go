package streamorigin

import (
	"context"
	"flag"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
	"cuminrock.example/router/wait"
)

// seeds is the number of seeds of the simulation; more are run by hand.
var seeds = flag.Uint("sim.seeds", 1, "seeds of the simulation")

// minTakenUp is the number of streams taken up from which on the platform's rule asks
// for a share that goes on.
const minTakenUp = 12

// checkRules checks that no stream mixes versions, that streams begin, and that half of
// those that are taken up while their version serves go on.
func checkRules(t *testing.T, o *outcome) {
	t.Helper()
	if 10*o.refused.Load() > o.asked.Load() {
		t.Errorf("%d of %d new streams were refused", o.refused.Load(), o.asked.Load())
	}
	if o.mixed.Load() > 0 {
		t.Errorf("%d streams went on at another version", o.mixed.Load())
	}
	if o.takenUp.Load() < minTakenUp || 2*o.goneOn.Load() < o.takenUp.Load() {
		t.Errorf("%d of %d streams went on", o.goneOn.Load(), o.takenUp.Load())
	}
}

// Guards against incident second1 of issue 28 (ORDER and LOST): streams are taken up at
// gateways that didn't begin them, whose own gateway is killed, gone, cut off or new.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	forEachSeed(t, checkRules, small, large)
}

// Eight times the streams cause no more calls than writeGap and readGap allow.
func TestCallsDontGrowWithStreams(t *testing.T) {
	mostCalls := float64(time.Second/writeGap) + partitions*float64(time.Second/readGap)
	busy := small
	busy.rate, busy.breaks = 8*small.rate, 0.5
	forEachSeed(t, func(t *testing.T, o *outcome) {
		checkRules(t, o)
		if o.mostCalls > mostCalls {
			t.Errorf("%.1f calls a second; %.1f are allowed", o.mostCalls, mostCalls)
		}
	}, busy)
}

// A gateway that knows only its own streams loses most, and one that guesses mixes them.
func TestPlantedFaultsBreakTheRules(t *testing.T) {
	unshared, guess := small, small
	unshared.unshared, guess.guess = true, true
	forEachSeed(t, func(t *testing.T, o *outcome) {
		if 2*o.goneOn.Load() >= o.takenUp.Load() {
			t.Error("streams that aren't shared weren't noticed")
		}
	}, unshared)
	forEachSeed(t, func(t *testing.T, o *outcome) {
		if o.mixed.Load() == 0 {
			t.Error("guessed versions weren't noticed")
		}
	}, guess)
}

// Guards against answers of two versions, and against refusals of streams that could go on,
// after kills of all gateways in a row with a change of versions among them. Callers that
// don't name their stream are refused after the change.
func TestKillsOfAllGateways(t *testing.T) {
	for name, change := range map[string]func(*scenario){
		"plain":             func(*scenario) {},
		"slow store":        func(sc *scenario) { sc.slow = 700 * time.Millisecond },
		"store away":        func(sc *scenario) { sc.away = true },
		"retries at once":   func(sc *scenario) { sc.retries = 3 },
		"slow change":       slowChange,
		"nobody names them": func(sc *scenario) { sc.unnamed, sc.single, sc.change = 1, true, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			for _, sc := range []scenario{small.killed(), largeKilled.killed()} {
				change(&sc)
				forEachSeed(t, func(t *testing.T, o *outcome) {
					if !sc.single {
						checkRules(t, o)
					} else if o.mixed.Load() > 0 || o.unnamedTakenUp.Load() < minTakenUp || 2*o.unnamedGoneOn.Load() < o.unnamedTakenUp.Load() {
						t.Errorf("%d of %d streams without a name went on, %d mixed", o.unnamedGoneOn.Load(), o.unnamedTakenUp.Load(), o.mixed.Load())
					}
				}, sc)
			}
		})
	}
}

// slowChange makes writes slow while the second version starts, so that it isn't recorded
// yet when all gateways are killed. By then the record covers all streams, so that callers
// which don't name theirs may go on by it alone.
func slowChange(sc *scenario) {
	sc.change, sc.kills, sc.slowWrites = 22*time.Second, []time.Duration{21300 * time.Millisecond, 22800 * time.Millisecond}, 900*time.Millisecond
}

// The faults that the kills are to find. Gateways that remember the versions of their own
// run, or begin streams at versions that aren't recorded, mix versions.
func TestPlantedFaultsAfterKillsOfAllGateways(t *testing.T) {
	remember, ungated := small.killed(), small.killed()
	remember.remember = true
	slowChange(&ungated)
	ungated.ungated, ungated.unnamed, ungated.rate = true, 1, 3*small.rate
	forEachSeed(t, func(t *testing.T, o *outcome) {
		if o.mixed.Load() == 0 {
			t.Error("mixed versions weren't noticed")
		}
	}, remember, ungated)
	impatient := small.killed()
	impatient.impatient, impatient.away = true, true
	forEachSeed(t, func(t *testing.T, o *outcome) {
		if 2*o.goneOn.Load() >= o.takenUp.Load() {
			t.Error("reads that aren't repeated weren't noticed")
		}
	}, impatient)
}

// While the store is away, a gateway knows its own streams, and nothing of others.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		store.SetDown(true)
		a := startRegistry(ctx, store, "a")
		b := startRegistry(ctx, store, "b")
		is.True(a.Began(ctx, 1, "v1", time.Now().Add(deadline)))
		version, known := a.Version(ctx, 1)
		is.True(known)
		is.Equal(version, "v1")
		_, known = b.Version(ctx, 1)
		is.True(!known)
		store.SetDown(false)
		time.Sleep(2 * time.Second)
		version, known = b.Version(ctx, 1)
		is.True(known)
		is.Equal(version, "v1")
	})
}

// The next run of a gateway keeps the row of the one before, and a stream is forgotten
// once it can't be taken up any more.
func TestNextRunKeepsTheStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		firstCtx, kill := context.WithCancel(ctx)
		startRegistry(firstCtx, store, "a").Began(ctx, 1, "v1", time.Now().Add(deadline))
		time.Sleep(time.Second)
		kill()
		next := startRegistry(ctx, store, "a")
		next.Began(ctx, 2, "v2", time.Now().Add(deadline))
		time.Sleep(time.Second)
		b := startRegistry(ctx, store, "b")
		for stream, want := range map[streamorigin.Stream]string{1: "v1", 2: "v2"} {
			version, known := b.Version(ctx, stream)
			is.True(known)
			is.Equal(version, want)
		}
		time.Sleep(deadline + takeUpMargin)
		_, known := b.Version(ctx, 1)
		is.True(!known)
	})
}

// A row that can't be decoded hides no other.
func TestInvalidRowIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		for _, partition := range []string{"0", "1", "2", "3", "4", "5", "6", "7"} {
			_, err := store.Commit(ctx, &pb.CommitRequest{Writes: []*pb.Write{{Key: table + "/" + partition + "/A", Value: []byte("junk")}}})
			is.NoErr(err)
		}
		startRegistry(ctx, store, "a").Began(ctx, 1, "v1", time.Now().Add(deadline))
		time.Sleep(time.Second)
		version, known := startRegistry(ctx, store, "b").Version(ctx, 1)
		is.True(known)
		is.Equal(version, "v1")
	})
}

func startRegistry(ctx context.Context, store *platformfake.Fake, name string) *Registry {
	r := New(Options{Gateway: name, Tables: store, Clock: storeClock{}, Gateways: func() int { return 7 }, Log: zap.NewNop(), Now: time.Now})
	go r.Run(ctx)
	return r
}

// Guards against refusals of streams whose gateway was killed right after the first event:
// their origin wasn't stored yet. It is, if it was recorded when the request was sent.
func TestOriginIsStoredByTheFirstEvent(t *testing.T) {
	for _, ahead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := &platformfake.Fake{}
			firstCtx, kill := context.WithCancel(ctx)
			a := startRegistry(firstCtx, store, "a")
			if ahead {
				a.Expect(1, "v1", time.Now().Add(deadline))
			}
			time.Sleep(minWriteDelay + writeGap)
			is.True(a.Began(ctx, 1, "v1", time.Now().Add(deadline)))
			kill()
			_, known := startRegistry(ctx, store, "b").Version(ctx, 1)
			is.Equal(known, ahead)
		})
	}
}

// Guards against origins that were dropped before the platform's time was known.
func TestOriginBeforeThePlatformsTimeIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		l := &link{TableStore: store}
		l.cut.Store(true)
		a := New(Options{Gateway: "a", Tables: l, Clock: runClock{answered: &l.answered}, Gateways: func() int { return 7 }, Log: zap.NewNop(), Now: time.Now})
		go a.Run(ctx)
		a.Expect(1, "v1", time.Now().Add(deadline))
		is.True(a.Began(ctx, 1, "v1", time.Now().Add(deadline)))
		a.Expect(2, "v1", time.Now().Add(deadline)) // another target begins it
		is.True(a.Began(ctx, 2, "v2", time.Now().Add(deadline)))
		time.Sleep(3 * time.Second)
		l.cut.Store(false)
		time.Sleep(time.Second)
		b := startRegistry(ctx, store, "b")
		for stream, want := range map[streamorigin.Stream]string{1: "v1", 2: "v2"} {
			version, known := b.Version(ctx, stream)
			is.True(known)
			is.Equal(version, want)
		}
	})
}

// Guards against refusals of streams while the store is slow, or away for a moment.
func TestSlowReadIsNotAnUnknownStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		a := startRegistry(ctx, store, "a")
		a.Expect(1, "v1", time.Now().Add(deadline))
		time.Sleep(time.Second)
		for _, disturb := range []func(*link){
			func(l *link) { l.extra.Store(int64(time.Second)) },
			func(l *link) { l.cut.Store(true) },
		} {
			l := &link{TableStore: store}
			disturb(l)
			time.AfterFunc(2*time.Second, func() { l.cut.Store(false) })
			b := New(Options{Gateway: "b", Tables: l, Clock: storeClock{}, Gateways: func() int { return 7 }, Log: zap.NewNop(), Now: time.Now})
			bCtx, end := context.WithCancel(ctx)
			go b.Run(bCtx)
			version, known := b.Version(ctx, 1)
			is.True(known)
			is.Equal(version, "v1")
			end()
		}
	})
}

// Guards against answers of two versions if another target than the expected one begins a
// stream: the first event is held until the row is right, and isn't passed on if that fails.
func TestStreamThatAnotherVersionBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		l := &link{TableStore: store}
		firstCtx, kill := context.WithCancel(ctx)
		a := New(Options{Gateway: "a", Tables: l, Clock: storeClock{}, Gateways: func() int { return 7 }, Log: zap.NewNop(), Now: time.Now})
		go a.Run(firstCtx)
		a.Expect(1, "v1", time.Now().Add(deadline))
		a.Expect(2, "v1", time.Now().Add(deadline))
		time.Sleep(time.Second)
		a.Expect(1, "v2", time.Now().Add(deadline))
		is.True(a.Began(ctx, 1, "v2", time.Now().Add(deadline)))
		l.cut.Store(true)
		is.True(!a.Began(ctx, 2, "v2", time.Now().Add(deadline)))
		kill()
		version, known := startRegistry(ctx, store, "b").Version(ctx, 1)
		is.True(known)
		is.Equal(version, "v2")
	})
}

// Guards against a burst of writes when all gateways list a new version together: few write
// it, and all may begin streams at it within half a second and the random delay.
func TestNewVersionCausesFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		const gateways = 300
		var registries []*Registry
		store := &platformfake.Fake{}
		writes := &countedWrites{TableStore: store}
		for range gateways {
			r := New(Options{Gateway: "g", Tables: writes, Clock: storeClock{}, Gateways: func() int { return gateways }, Log: zap.NewNop(), Now: time.Now})
			go r.Run(ctx)
			registries = append(registries, r)
		}
		for i, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
			for _, r := range registries {
				r.SetListed(map[string][]string{"s": versions})
			}
			time.Sleep(maxWriteDelay + 500*time.Millisecond)
			for _, r := range registries {
				for _, version := range versions {
					is.True(r.MayBegin("s", version))
				}
			}
			is.True(writes.count.Load() <= int64(60*(i+1))) // half of what a partition takes in that time
		}
		before := store.CallCount()
		time.Sleep(20 * time.Minute)
		is.True(registries[0].MayBegin("s", "v1")) // the record was refreshed
		calls := float64(store.CallCount()-before) / (20 * time.Minute).Seconds()
		t.Logf("%d writes of new versions, then %.2f calls a second for refreshes", writes.count.Load(), calls)
		is.True(calls < 3)
	})
}

// countedWrites is a store that takes 5 ms for each call and counts writes.
type countedWrites struct {
	platformclient.TableStore
	count atomic.Int64
}

func (c *countedWrites) Scan(ctx context.Context, prefix, after string, limit int) ([]*pb.Row, bool, error) {
	if !wait.For(ctx, 5*time.Millisecond) {
		return nil, false, ctx.Err()
	}
	return c.TableStore.Scan(ctx, prefix, after, limit)
}

func (c *countedWrites) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	c.count.Add(1)
	if !wait.For(ctx, 5*time.Millisecond) {
		return nil, ctx.Err()
	}
	return c.TableStore.Commit(ctx, txn)
}

// Guards against answers of two versions right after the first record was made: streams that
// began before it aren't in it.
func TestRecordSaysNothingOfEarlierStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := startRegistry(ctx, &platformfake.Fake{}, "a")
		version, covers := r.SoleVersion(ctx, "s", deadline)
		is.Equal(version, "") // there is no record
		is.True(!covers)
		r.SetListed(map[string][]string{"s": {"v1"}})
		time.Sleep(time.Second)
		version, covers = r.SoleVersion(ctx, "s", deadline)
		is.Equal(version, "v1")
		is.True(!covers)
		time.Sleep(deadline + takeUpMargin)
		_, covers = r.SoleVersion(ctx, "s", deadline)
		is.True(covers)
	})
}

// A new stream waits for a short time only if no version may begin it.
func TestAwaitVersionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &platformfake.Fake{}
		store.SetDown(true)
		r := startRegistry(ctx, store, "a")
		r.SetListed(map[string][]string{"s": {"v1"}})
		began := time.Now()
		is.True(!r.AwaitVersion(ctx, "s"))
		is.Equal(time.Since(began), awaitTimeout)
		store.SetDown(false)
		is.True(r.AwaitVersion(ctx, "s"))
		is.True(r.MayBegin("s", "v1"))
		is.True(!r.AwaitVersion(ctx, "s")) // there is no other
	})
}
