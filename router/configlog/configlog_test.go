package configlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient/platformfake"
)

func budgetChange(version uint64, names ...string) *pb.Change {
	c := &pb.Change{Version: version}
	for _, name := range names {
		c.Upserts = append(c.Upserts, config.BudgetRecord(&pb.Budget{Name: name, Workspace: "schools"}))
	}
	return c
}

// appendInSimulatedTime runs Append in a synctest bubble, so that retry delays
// take no real time.
func appendInSimulatedTime(t *testing.T, p *platformfake.Fake, author string, c *pb.Change) (version uint64, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		version, err = Append(t.Context(), p, author, c)
	})
	return version, err
}

func TestOneOfRacingOperatorsWins(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	_, err := appendInSimulatedTime(t, p, "ana", budgetChange(1, "daily"))
	is.NoErr(err)

	_, err = appendInSimulatedTime(t, p, "bela", budgetChange(1, "reserve"))

	is.Equal(errkind.KindOf(err), errkind.Conflict)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.HeadVersion, uint64(1))
	is.True(strings.Contains(err.Error(), "ana made version 1"))
	is.True(strings.Contains(err.Error(), "budget daily"))
	view, err := Load(t.Context(), p)
	is.NoErr(err)
	_, found := view.Budget("reserve")
	is.True(!found)
}

func TestLostResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	p.SetCommitFaults(platformfake.ResponseLost)

	version, err := appendInSimulatedTime(t, p, "ana", budgetChange(1, "daily"))

	is.NoErr(err)
	is.Equal(version, uint64(1))
}

func TestLostRequestIsRetried(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	p.SetCommitFaults(platformfake.RequestLost, platformfake.RequestLost)

	version, err := appendInSimulatedTime(t, p, "ana", budgetChange(1, "daily"))

	is.NoErr(err)
	is.Equal(version, uint64(1))
}

func TestDelayedCommitTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	p.SetCommitFaults(platformfake.Delayed)
	_, err := appendInSimulatedTime(t, p, "ana", budgetChange(1, "daily"))
	is.NoErr(err)
	_, err = appendInSimulatedTime(t, p, "bela", budgetChange(2, "reserve"))
	is.NoErr(err)

	p.DeliverDelayed()

	view, err := Load(t.Context(), p)
	is.NoErr(err)
	is.Equal(view.Version(), uint64(2))
	_, found := view.Budget("reserve")
	is.True(found)
}

func TestAppendWithoutResponseReportsItsOutcome(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	p.SetDown(true)
	_, err := appendInSimulatedTime(t, p, "ana", budgetChange(1, "daily"))
	is.Equal(errkind.KindOf(err), errkind.PlatformDown)

	p.SetDown(false)
	faults := make([]platformfake.CommitFault, maxAppendAttempts)
	for i := range faults {
		faults[i] = platformfake.RequestLost
	}
	p.SetCommitFaults(faults...)
	_, err = appendInSimulatedTime(t, p, "ana", budgetChange(1, "daily"))
	is.Equal(errkind.KindOf(err), errkind.OutcomeUnknown)
}

func TestLargeChangeIsStoredAsObject(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	names := make([]string, 5000)
	for i := range names {
		names[i] = fmt.Sprintf("budget-%05d", i)
	}
	_, err := appendInSimulatedTime(t, p, "ana", budgetChange(1, names...))
	is.NoErr(err)

	rows, err := p.Read(t.Context(), changeKey(1))
	is.NoErr(err)
	is.True(len(rows[0].Value) <= maxChangeRowBytes)
	changes, err := ChangesSince(t.Context(), p, 0)
	is.NoErr(err)
	is.Equal(len(changes[0].Upserts), len(names))
}

func TestSnapshotAndChangesGiveTheSameView(t *testing.T) {
	is := is.New(t)
	p := &platformfake.Fake{}
	for v := range uint64(SnapshotInterval + 3) {
		_, err := appendInSimulatedTime(t, p, "ana", budgetChange(v+1, fmt.Sprintf("budget-%d", v%7)))
		is.NoErr(err)
		writeSnapshotIfDue(t, p)
	}
	view, err := Load(t.Context(), p)
	is.NoErr(err)
	is.Equal(view.Version(), uint64(SnapshotInterval+3))

	changes, err := ChangesSince(t.Context(), p, 0)
	is.NoErr(err)
	replayed, err := applyAll(config.Empty(), changes)
	is.NoErr(err)
	is.True(proto.Equal(view.Snapshot(), replayed.Snapshot()))
}

func writeSnapshotIfDue(t *testing.T, p *platformfake.Fake) {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	due, err := SnapshotDue(ctx, p)
	is.NoErr(err)
	if !due {
		return
	}
	view, err := Load(ctx, p)
	is.NoErr(err)
	is.NoErr(WriteSnapshot(ctx, p, view))
}
