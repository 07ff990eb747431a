package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// Fence records that a router gave up its tokens of a grant and how many it may
// still bill. The tokens given up return to free once per budget; a repeat only
// lowers what is outstanding.
func (t *Txn) Fence(want *pb.FenceRow) error {
	f, ok := open(t, FenceKey(want.Grant, want.Incarnation), &pb.FenceRow{})
	if !ok {
		return nil
	}
	changed := !f.exists
	f.row.Grant, f.row.Incarnation = want.Grant, want.Incarnation
	for _, part := range want.Parts {
		recorded := fencePart(f.row, part.Budget)
		if recorded == nil {
			if err := t.returnGivenUp(want.Grant, part); err != nil {
				return err
			}
			f.row.Parts = append(f.row.Parts, part)
			changed = true
			continue
		}
		if part.Outstanding < recorded.Outstanding {
			recorded.Outstanding = part.Outstanding
			changed = true
		}
	}
	if changed {
		f.save()
	}
	return nil
}

func fencePart(f *pb.FenceRow, budget string) *pb.FencePart {
	for _, part := range f.Parts {
		if part.Budget == budget {
			return part
		}
	}
	return nil
}

func (t *Txn) returnGivenUp(grant string, part *pb.FencePart) error {
	if part.GivenUp == 0 {
		return nil
	}
	return t.move(part.Budget, grant, part.GivenUp, toFree)
}

// Register inserts a router's row before the router holds tokens, or updates
// it.
func (t *Txn) Register(r *pb.RouterRow) {
	stored, ok := open(t, RouterKey(r.Incarnation), &pb.RouterRow{})
	if !ok || (stored.exists && stored.row.Listed == r.Listed && stored.row.Closed == r.Closed) {
		return
	}
	stored.row.Incarnation, stored.row.Name = r.Incarnation, r.Name
	stored.row.VmInstance = r.VmInstance
	stored.row.Listed, stored.row.Closed = r.Listed, r.Closed
	stored.save()
}

// Deregister removes a router that holds no tokens and has no unsettled bills.
func (t *Txn) Deregister(incarnation string) {
	stored, ok := open(t, RouterKey(incarnation), &pb.RouterRow{})
	if ok && stored.exists {
		stored.remove()
	}
}
