package budget

import (
	"slices"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// FenceStatus describes which routers can still bill a closed grant. Routers
// must be read after the grant was closed and after the VMs in GoneVMs were
// known to be gone, and Fences after Routers.
type FenceStatus struct {
	Routers []*pb.RouterRow
	Fences  []*pb.FenceRow
	// GoneVMs lists VM instances that will never run again.
	GoneVMs []string
}

// LiveUnfenced returns the routers that are neither fenced nor gone. While
// there is one, tokens of the grant must not return to free, because that
// router may hold them.
func (s FenceStatus) LiveUnfenced() []*pb.RouterRow {
	var unfenced []*pb.RouterRow
	for _, r := range s.Routers {
		if !s.fenced(r.Incarnation) && !slices.Contains(s.GoneVMs, r.VmInstance) {
			unfenced = append(unfenced, r)
		}
	}
	return unfenced
}

func (s FenceStatus) fenced(incarnation string) bool {
	return slices.ContainsFunc(s.Fences, func(f *pb.FenceRow) bool { return f.Incarnation == incarnation })
}

// FencedOutstanding returns the tokens of a budget that fenced routers may
// still bill.
func (s FenceStatus) FencedOutstanding(budget string) int64 {
	var sum int64
	for _, f := range s.Fences {
		sum += fencePart(f, budget).GetOutstanding()
	}
	return sum
}
