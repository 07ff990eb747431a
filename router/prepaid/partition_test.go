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
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
)

// partitionedTables loses all commits while partitioned; the caller sees a timeout.
type partitionedTables struct {
	*platformfake.Fake
	partitioned atomic.Bool
}

func (p *partitionedTables) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	if p.partitioned.Load() {
		<-ctx.Done()
		return nil, trace.Wrap(platformclient.ErrOutcomeUnknown)
	}
	return p.Fake.Commit(ctx, txn)
}

// noteAge returns the age of machine a's note.
func noteAge(t *testing.T, tables platformclient.TableStore) time.Duration {
	t.Helper()
	is := is.New(t)
	rows, err := tables.Read(context.Background(), "routers/m.a/note")
	is.NoErr(err)
	is.Equal(len(rows), 1)
	var note pb.AllotmentNote
	is.NoErr(proto.Unmarshal(rows[0].Value, &note))
	return time.Since(time.UnixMilli(note.StoreMs))
}

// The note of a router that dies bounds what it can have consumed. If the router dies
// soon after a partition ends and its latest note is still the resent one from before
// the partition, the bound covers all that it holds, and none of its tokens can be
// returned.
func TestResentNoteIsFollowedByNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tables := &partitionedTables{Fake: &platformfake.Fake{}}
		m := newManager(tables, "a1")
		reservation, err := m.Reserve(context.Background(), "r", workspace(100000), 10, 0, longWait)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		tables.partitioned.Store(true)
		time.Sleep(8 * time.Second)
		is.True(noteAge(t, tables) > 7*time.Second)
		tables.partitioned.Store(false)
		time.Sleep(noteTimeout + maxRetryDelay + 2*minNoteInterval) // the call in progress times out, then two notes are written
		is.True(noteAge(t, tables) < maxNoteInterval)
		reservation.Settle(10)
		is.NoErr(m.Close(context.Background()))
	})
}

// Rows that others changed some time ago conflict at the first try; only several
// consecutive conflicts show that others are writing now.
func TestOnlyConsecutiveConflictsDeferPrefetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newManager(&platformfake.Fake{}, "a1")
		aw := newAccountWorker(m, workspaceName)
		for range 10 {
			aw.backOff(false)
			is.True(!time.Now().Before(aw.prefetchAfter))
			aw.backOff(true)
		}
		for range contentionThreshold {
			aw.backOff(false)
		}
		is.True(time.Now().Before(aw.prefetchAfter))
		is.NoErr(m.Close(context.Background()))
	})
}

// When the router holds enough tokens and only its usage bound blocks them, the
// Retry-After is the time until the bound allows them. Otherwise it is short, as
// another router may serve the request at once.
func TestRetryAfterOfBoundBlockedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tables := &partitionedTables{Fake: &platformfake.Fake{}}
		m := newManager(tables, "a1")
		for range 200 {
			reservation, err := m.Reserve(context.Background(), "r", workspace(10_000_000), 100, 0, longWait)
			is.NoErr(err)
			reservation.Settle(100)
			time.Sleep(50 * time.Millisecond)
		}
		tables.partitioned.Store(true)
		time.Sleep(maxNoteInterval + callOverdueAfter + checkInterval)
		_, err := m.Reserve(context.Background(), "r", workspace(10_000_000), 8000, 0, checkInterval)
		after := errkind.FromError(err).RetryAfter
		is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
		is.True(after > outageRetryAfter)
		time.Sleep(after)
		reservation, err := m.Reserve(context.Background(), "r", workspace(10_000_000), 8000, 0, checkInterval)
		is.NoErr(err)
		reservation.Settle(8000)
		_, err = m.Reserve(context.Background(), "r", workspace(10_000_000), 1_000_000, 0, checkInterval)
		is.Equal(errkind.FromError(err).RetryAfter, outageRetryAfter)
		tables.partitioned.Store(false)
		is.NoErr(m.Close(context.Background()))
	})
}
