package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Long streams that start well raise their target's limit before any ends, up
// to the highest; one that starts late lowers it.
func TestLimitGrowsWithFirstBytes(t *testing.T) {
	is := is.New(t)
	const most = 64
	table := New(Options{DataCentre: "a", MaxInFlight: most})
	table.Update([]*pb.Target{{Name: "t", Service: "s", Provider: "p", DataCentre: "a"}})
	now := time.Unix(1, 0)
	request := &Request{Service: "s", RequestID: "r", DefaultProvider: "p", Now: now}
	var open []Lease
	for range most {
		lease, err := table.Pick(request)
		is.NoErr(err)
		lease.RecordFirstByte(20*time.Millisecond, now)
		open = append(open, lease)
	}
	_, err := table.Pick(request)
	is.True(err != nil) // the highest limit holds
	for _, lease := range open {
		lease.Done(Outcome{Result: Neutral, Now: now})
	}
	lease, err := table.Pick(request)
	is.NoErr(err)
	before := lease.entry.state.limit.Load()
	lease.RecordFirstByte(5*time.Second, now.Add(5*time.Second))
	is.True(lease.entry.state.limit.Load() < before)
}
