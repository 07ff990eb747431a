package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// Fence records that a router gave up its tokens of a grant and what it may
// still bill of it. Tokens given up return to free once per budget; a repeat
// only lowers what is outstanding.
func (t *Txn) Fence(want *pb.FenceRow) error {
	f, ok := open(t, FenceKey(want.Grant, want.Incarnation), &pb.FenceRow{})
	if !ok {
		return nil
	}
	changed := !f.exists
	f.row.Grant, f.row.Incarnation = want.Grant, want.Incarnation
	for _, part := range want.Parts {
		had := fencePart(f.row, part.Budget)
		if had == nil {
			if err := t.giveUp(want.Grant, part); err != nil {
				return err
			}
			f.row.Parts = append(f.row.Parts, part)
			changed = true
			continue
		}
		if part.Outstanding < had.Outstanding {
			had.Outstanding = part.Outstanding
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

func (t *Txn) giveUp(grant string, part *pb.FencePart) error {
	if part.GivenUp == 0 {
		return nil
	}
	return t.move(part.Budget, grant, part.GivenUp, toFree)
}

// Register records a router before it holds tokens, or changes its row.
func (t *Txn) Register(r *pb.RouterRow) {
	row, ok := open(t, RouterKey(r.Incarnation), &pb.RouterRow{})
	if !ok || (row.exists && row.row.Listed == r.Listed && row.row.Closed == r.Closed) {
		return
	}
	row.row.Incarnation, row.row.Name = r.Incarnation, r.Name
	row.row.VmInstance = r.VmInstance
	row.row.Listed, row.row.Closed = r.Listed, r.Closed
	row.save()
}

// Deregister removes a router that holds no tokens and owes no bills.
func (t *Txn) Deregister(incarnation string) {
	row, ok := open(t, RouterKey(incarnation), &pb.RouterRow{})
	if ok && row.exists {
		row.remove()
	}
}
