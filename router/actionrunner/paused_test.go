package actionrunner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

// pausedTables simulates a process that is paused right after its claim took
// effect: the first commit returns only when resume is closed.
type pausedTables struct {
	platformclient.TableStore
	claimed chan struct{}
	resume  chan struct{}
}

func (p *pausedTables) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	resp, err := p.TableStore.Commit(ctx, txn)
	select {
	case p.claimed <- struct{}{}:
		<-p.resume
	default:
	}
	return resp, err
}

// pauseClaimant starts an action at a router that is paused after its claim.
func pauseClaimant(t *testing.T, timeout time.Duration) (f *fleet, paused *pausedTables, result chan error) {
	tables := newMemTables(1, 0)
	f = newFleet(t, 1, tables, newService(1, serviceOK))
	paused = &pausedTables{TableStore: tables, claimed: make(chan struct{}, 1), resume: make(chan struct{})}
	router := New(paused, Options{PollInterval: time.Millisecond, RetryInterval: time.Millisecond})
	f.routers = append(f.routers, router)
	result = make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	go func() {
		_, err := router.Run(ctx, f.request("a", "a#paused"))
		result <- err
	}()
	<-paused.claimed
	return f, paused, result
}

// While the claimant is paused, no other attempt may send. When it resumes, it
// sends once.
func TestPausedClaimantResumesAndSendsAlone(t *testing.T) {
	is := is.New(t)
	f, paused, result := pauseClaimant(t, time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	outcome, err := f.routers[0].Run(ctx, f.request("a", "a#2"))
	is.Equal(errkind.KindOf(err), errkind.InProgress)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_UNKNOWN)
	is.Equal(f.service.runs("a"), 0)
	close(paused.resume)
	is.NoErr(<-result)
	repeat, err := f.routers[0].Run(context.Background(), f.request("a", "a#3"))
	is.NoErr(err)
	is.True(repeat.Replayed)
	is.Equal(f.service.runs("a"), 1)
}

// A claimant that reported not_run to its caller while it was paused must not
// send when it resumes. It voids its claim, and another router may send.
func TestPausedClaimantThatReportedDoesNotSend(t *testing.T) {
	is := is.New(t)
	f, paused, result := pauseClaimant(t, 10*time.Millisecond)
	is.Equal(errkind.KindOf(<-result), errkind.DeadlinePassed)
	close(paused.resume)
	_, err := f.routers[0].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.Equal(f.service.runs("a"), 1)
	is.Equal(f.service.requestRuns("a#paused"), 0)
}
