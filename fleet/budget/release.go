package budget

import (
	"slices"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// FenceStatus is what is known about who can still bill a closed grant: the
// registered routers, read after the grant was closed and after the gone ones
// were known to be gone, and the fences, read after the routers.
type FenceStatus struct {
	Routers []*pb.RouterRow
	Fences  []*pb.FenceRow
	// GoneVMs lists VM instances that will never run again.
	GoneVMs []string
}

// LiveUnfenced returns the routers that are neither fenced nor gone. While there is
// one, tokens of the grant must not return to free: it may hold them.
func (p FenceStatus) LiveUnfenced() []*pb.RouterRow {
	var silent []*pb.RouterRow
	for _, r := range p.Routers {
		if !p.fenced(r.Incarnation) && !slices.Contains(p.GoneVMs, r.VmInstance) {
			silent = append(silent, r)
		}
	}
	return silent
}

func (p FenceStatus) fenced(incarnation string) bool {
	return slices.ContainsFunc(p.Fences, func(f *pb.FenceRow) bool { return f.Incarnation == incarnation })
}

// FencedOutstanding returns the tokens of a budget that fenced routers may still bill.
func (p FenceStatus) FencedOutstanding(budget string) int64 {
	var sum int64
	for _, f := range p.Fences {
		sum += fencePart(f, budget).GetOutstanding()
	}
	return sum
}
