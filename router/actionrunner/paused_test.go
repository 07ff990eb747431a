package actionrunner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platform"
)

// pausedTables stops a router at the moment its claim took effect, as a paused
// process is, until it is woken.
type pausedTables struct {
	platform.Tables
	claimed chan struct{}
	wake    chan struct{}
}

func (p *pausedTables) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	resp, err := p.Tables.Commit(ctx, txn)
	select {
	case p.claimed <- struct{}{}:
		<-p.wake
	default:
	}
	return resp, err
}

// pauseClaimant starts an action at a router that pauses behind its claim.
func pauseClaimant(t *testing.T, patience time.Duration) (f *fleet, paused *pausedTables, told chan error) {
	tables := newMemTables(1, 0)
	f = newFleet(t, 1, tables, newService(1, serviceWell))
	paused = &pausedTables{Tables: tables, claimed: make(chan struct{}, 1), wake: make(chan struct{})}
	router := New(paused, Options{PollInterval: time.Millisecond, RetryInterval: time.Millisecond})
	f.routers = append(f.routers, router)
	told = make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	go func() {
		_, err := router.Run(ctx, f.request("a", "a#paused"))
		told <- err
	}()
	<-paused.claimed
	return f, paused, told
}

// While the claimant is paused nobody sends; when it wakes it sends once.
func TestPausedClaimantWakesAndSendsAlone(t *testing.T) {
	is := is.New(t)
	f, paused, told := pauseClaimant(t, time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	outcome, err := f.routers[0].Run(ctx, f.request("a", "a#2"))
	is.Equal(errkind.KindOf(err), errkind.InProgress)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_UNKNOWN)
	is.Equal(f.service.runs("a"), 0)
	close(paused.wake)
	is.NoErr(<-told)
	repeat, err := f.routers[0].Run(context.Background(), f.request("a", "a#3"))
	is.NoErr(err)
	is.True(repeat.Replayed)
	is.Equal(f.service.runs("a"), 1)
}

// A claimant that told its caller not_run while it was paused doesn't send when
// it wakes: it voids its claim, and another router may send.
func TestPausedClaimantThatToldDoesNotSend(t *testing.T) {
	is := is.New(t)
	f, paused, told := pauseClaimant(t, 10*time.Millisecond)
	is.Equal(errkind.KindOf(<-told), errkind.DeadlinePassed)
	close(paused.wake)
	_, err := f.routers[0].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.Equal(f.service.runs("a"), 1)
	is.Equal(f.service.requestRuns("a#paused"), 0)
}
