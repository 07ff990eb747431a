package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Long streams whose first byte arrives in time raise their target's limit up
// to MaxInFlight before any of them ends; a late first byte lowers it. A limit
// that grew only at the end of responses would refuse streams that the target has
// capacity for.
func TestLimitGrowsWithFirstBytes(t *testing.T) {
	is := is.New(t)
	const maxInFlight = 64
	table := New(Options{DataCentre: "a", MaxInFlight: maxInFlight})
	table.Update([]*pb.Target{{Name: "t", Service: "s", Provider: "p", DataCentre: "a"}})
	now := time.Unix(1, 0)
	r := &Request{Service: "s", RequestID: "r", DefaultProvider: "p", Now: now}
	var leases []Lease
	for range maxInFlight {
		lease, err := table.Pick(r)
		is.NoErr(err)
		lease.RecordFirstByte(20*time.Millisecond, now)
		leases = append(leases, lease)
	}
	_, err := table.Pick(r)
	is.True(err != nil) // the limit doesn't exceed MaxInFlight
	for _, lease := range leases {
		lease.Done(Outcome{Result: Neutral, Now: now})
	}
	lease, err := table.Pick(r)
	is.NoErr(err)
	before := lease.entry.state.limit.Load()
	lease.RecordFirstByte(5*time.Second, now.Add(5*time.Second))
	is.True(lease.entry.state.limit.Load() < before)
}
