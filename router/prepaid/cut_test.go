package prepaid

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platform"
	"cuminrock.example/router/platform/platformfake"
)

// cutTables loses all commits while cut; their answers come late, as a time-out.
type cutTables struct {
	*platformfake.Fake
	cut atomic.Bool
}

func (c *cutTables) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	if c.cut.Load() {
		<-ctx.Done()
		return nil, trace.Wrap(platform.ErrUnknown)
	}
	return c.Fake.Commit(ctx, txn)
}

// noteAge returns the age of machine a's note.
func noteAge(t *testing.T, tables platform.Tables) time.Duration {
	t.Helper()
	is := is.New(t)
	rows, err := tables.Read(context.Background(), "routers/m.a/note")
	is.NoErr(err)
	is.Equal(len(rows), 1)
	var note pb.AllotmentNote
	is.NoErr(proto.Unmarshal(rows[0].Value, &note))
	return time.Since(time.UnixMilli(note.StoreMs))
}

// A router that dies soon after a cut is bounded by its note: one from before
// the cut would keep all it holds.
func TestANoteThatWasLateIsFollowedByAFreshOneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tables := &cutTables{Fake: &platformfake.Fake{}}
		b := newBook(tables, "a1")
		hold, err := b.Reserve(context.Background(), "r", workspace(100000), 10, 0, long)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		tables.cut.Store(true)
		time.Sleep(8 * time.Second)
		is.True(noteAge(t, tables) > 7*time.Second)
		tables.cut.Store(false)
		time.Sleep(noteTimeout + retryMax + 2*noteGap) // the call in progress ends, and two notes
		is.True(noteAge(t, tables) < noteInterval)
		hold.Settle(10)
		is.NoErr(b.Close(context.Background()))
	})
}

// Rows that others wrote some time ago conflict at the first try; only several
// conflicts in a row tell of others who write now.
func TestOnlyConflictsInARowPutOffTakingAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBook(&platformfake.Fake{}, "a1")
		k := newKeeper(b, workspaceName)
		for range 10 {
			k.yield(false)
			is.True(!time.Now().Before(k.aheadAfter))
			k.yield(true)
		}
		for range contended {
			k.yield(false)
		}
		is.True(time.Now().Before(k.aheadAfter))
		is.NoErr(b.Close(context.Background()))
	})
}

// Tokens that are held, and that only the promise forbids to use yet, are worth
// waiting for; without them another router may serve the request at once.
func TestARefusalForThePromiseSaysWhenItAllowsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tables := &cutTables{Fake: &platformfake.Fake{}}
		b := newBook(tables, "a1")
		for range 200 {
			hold, err := b.Reserve(context.Background(), "r", workspace(10_000_000), 100, 0, long)
			is.NoErr(err)
			hold.Settle(100)
			time.Sleep(50 * time.Millisecond)
		}
		tables.cut.Store(true)
		time.Sleep(noteInterval + overdueAfter + tick)
		_, err := b.Reserve(context.Background(), "r", workspace(10_000_000), 8000, 0, tick)
		after := errkind.FromError(err).RetryAfter
		is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
		is.True(after > outageRetry)
		time.Sleep(after)
		hold, err := b.Reserve(context.Background(), "r", workspace(10_000_000), 8000, 0, tick)
		is.NoErr(err)
		hold.Settle(8000)
		_, err = b.Reserve(context.Background(), "r", workspace(10_000_000), 1_000_000, 0, tick)
		is.Equal(errkind.FromError(err).RetryAfter, outageRetry)
		tables.cut.Store(false)
		is.NoErr(b.Close(context.Background()))
	})
}
