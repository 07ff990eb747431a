package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
)

// sendBurst sends requests at the same time to one target with capacity for 16,
// in virtual time, and returns how many were sent and how many refused. The
// target sends no response before the stall has passed.
func sendBurst(requests int, stall, responseTime time.Duration) (sends, refused int64) {
	table := route.New(route.Options{MaxInFlight: 128})
	table.Update([]*pb.Target{{Name: "t0", Service: "registry-app", Provider: "old"}})
	d := New(table, nil, retry.NewBudget(0, 0), retry.DefaultPolicy())
	ready := time.Now().Add(stall)
	var sent, failed atomic.Int64
	call := func(context.Context, target.Call) (*target.Response, error) {
		sent.Add(1)
		time.Sleep(max(0, time.Until(ready)) + responseTime)
		return &target.Response{}, nil
	}
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() {
			_, err := doUnary(context.Background(), d, testRequest(fmt.Sprint("burst-", i)), singleAttempt(d, call))
			if err != nil {
				failed.Add(1)
			}
		})
	}
	callers.Wait()
	return sent.Load(), failed.Load()
}

// Requests beyond the limit of the targets wait and are served: none is lost, and
// none is refused because of a stall shorter than the longest wait in the queue.
func TestRequestsWaitForCapacity(t *testing.T) {
	for _, stall := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			sends, refused := sendBurst(100, stall, 2*time.Millisecond)
			is.Equal(refused, int64(0))
			is.Equal(sends, int64(100))
		})
	}
}

// A request whose caller gives up while it waits is reported as not run, isn't
// sent, and is removed from the queue.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := route.New(route.Options{MaxInFlight: 128})
		table.Update([]*pb.Target{{Name: "t0", Service: "registry-app", Provider: "old"}})
		d := New(table, nil, retry.NewBudget(0, 0), retry.DefaultPolicy())
		var sends atomic.Int64
		call := singleAttempt(d, func(context.Context, target.Call) (*target.Response, error) {
			sends.Add(1)
			time.Sleep(time.Minute)
			return &target.Response{}, nil
		})
		var busy sync.WaitGroup
		for i := range 16 {
			busy.Go(func() { _, _ = doUnary(context.Background(), d, testRequest(fmt.Sprint("busy-", i)), call) })
		}
		synctest.Wait()
		is.Equal(sends.Load(), int64(16))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := doUnary(ctx, d, testRequest("leaves"), call)
		is.Equal(target.RunState(err), pb.RunState_RUN_STATE_NOT_RUN)
		room := d.queueFor("registry-app")
		room.mu.Lock()
		is.Equal(room.queue.Len(), 0)
		room.mu.Unlock()
		busy.Wait()
		is.Equal(sends.Load(), int64(16))
	})
}
