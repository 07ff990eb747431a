package streamorigin

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/platformclient/platformfake"
)

// seeds is the number of seeds of the simulation; more are run by hand.
var seeds = flag.Uint("sim.seeds", 1, "seeds of the simulation")

// minTakenUp is the number of streams taken up from which on the platform's rule asks
// for a share that goes on.
const minTakenUp = 12

// checkRules checks that no stream mixes versions, and that half of those that are taken
// up at gateways in touch go on.
func checkRules(t *testing.T, o *outcome) {
	t.Helper()
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
		a.Began(1, "v1", time.Now().Add(deadline))
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
		startRegistry(firstCtx, store, "a").Began(1, "v1", time.Now().Add(deadline))
		time.Sleep(time.Second)
		kill()
		next := startRegistry(ctx, store, "a")
		next.Began(2, "v2", time.Now().Add(deadline))
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
		startRegistry(ctx, store, "a").Began(1, "v1", time.Now().Add(deadline))
		time.Sleep(time.Second)
		version, known := startRegistry(ctx, store, "b").Version(ctx, 1)
		is.True(known)
		is.Equal(version, "v1")
	})
}

func startRegistry(ctx context.Context, store *platformfake.Fake, name string) *Registry {
	r := New(Options{Gateway: name, Tables: store, Clock: storeClock{}, Log: zap.NewNop(), Now: time.Now})
	go r.Run(ctx)
	return r
}
