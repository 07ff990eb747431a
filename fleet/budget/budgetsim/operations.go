package budgetsim

import (
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// TopUp raises or lowers a budget. Sometimes it repeats the top-up.
func (w *World) TopUp() {
	b := w.chooser.Intn(budgetCount)
	tokens := int64(1 + w.chooser.Intn(maxTopUp))
	if w.oneIn(4) {
		tokens = -tokens
	}
	id := w.nextTopUpID()
	for range 1 + w.chooser.Intn(2) {
		_ = w.commitAsOperator(func(t *budget.Txn) error {
			_, err := t.TopUp(id, budgetName(b), tokens)
			return err
		})
	}
}

// CloseGrant closes the grants of any router, dead or alive.
func (w *World) CloseGrant() {
	rows := w.store.Scan(budget.GrantsPrefix(budgetName(w.chooser.Intn(budgetCount))), "")
	if len(rows) == 0 {
		return
	}
	g := &pb.GrantRow{}
	unmarshal(rows[w.chooser.Intn(len(rows))], g)
	for b := range budgetCount {
		w.closeGrant(&pb.GrantRow{Budget: budgetName(b), Id: g.Id})
	}
}

func (w *World) closeGrant(g *pb.GrantRow) {
	_ = w.commitAsOperator(func(t *budget.Txn) error {
		_, err := t.Close(g.Budget, g.Id)
		return err
	})
	if w.bug == BugCloseFreesTokens {
		_ = w.commitAsOperator(func(t *budget.Txn) error {
			_, err := t.Release(g.Budget, g.Id, budget.MaxTokens, budget.ResolveUnspent)
			return err
		})
	}
}

func unmarshal(row *pb.Row, m proto.Message) {
	if err := proto.Unmarshal(row.Value, m); err != nil {
		panic(err) // The store has only rows of the schema.
	}
}

// Release lets an operator resolve tokens in doubt. The operator knows from the
// engines what dead routers ran.
func (w *World) Release() {
	rows := w.store.Scan(budget.DoubtsPrefix(budgetName(w.chooser.Intn(budgetCount))), "")
	if len(rows) == 0 {
		return
	}
	d := &pb.DoubtRow{}
	unmarshal(rows[w.chooser.Intn(len(rows))], d)
	w.release(d)
}

func (w *World) release(d *pb.DoubtRow) {
	if d.Reason != pb.DoubtReason_DOUBT_REASON_HOLDER_CLOSED {
		w.resolve(d, d.Tokens, budget.ResolveSpent)
		return
	}
	status := w.fenceStatus(d.Grant)
	if len(status.LiveUnfenced()) > 0 && w.bug != BugUnfencedIgnored {
		return
	}
	w.resolve(d, d.Tokens-status.FencedOutstanding(d.Budget)-w.unsettledTokens(d), budget.ResolveUnspent)
}

func (w *World) resolve(d *pb.DoubtRow, tokens int64, resolution budget.Resolution) {
	if tokens <= 0 {
		return
	}
	taken := int64(0)
	err := w.commitAsOperator(func(t *budget.Txn) error {
		var err error
		taken, err = t.Release(d.Budget, d.Id, tokens, resolution)
		return err
	})
	if err == nil && resolution == budget.ResolveSpent {
		w.writtenOff[budgetIndex(d.Budget)] += taken
	}
}

// fenceStatus collects which routers are fenced and which are dead.
func (w *World) fenceStatus(grant string) budget.FenceStatus {
	var status budget.FenceStatus
	for _, row := range w.store.Scan(budget.RouterPrefix, "") {
		r := &pb.RouterRow{}
		unmarshal(row, r)
		status.Routers = append(status.Routers, r)
		if !w.isAlive(r.Incarnation) {
			status.GoneVMs = append(status.GoneVMs, r.VmInstance)
		}
	}
	for _, row := range w.store.Scan(budget.FencesPrefix(grant), "") {
		f := &pb.FenceRow{}
		unmarshal(row, f)
		status.Fences = append(status.Fences, f)
	}
	return status
}

func (w *World) isAlive(incarnation string) bool {
	for _, n := range w.nodes {
		if n.id == incarnation {
			return !n.dead
		}
	}
	return false
}

// unsettledTokens returns the tokens of a closed grant that runs of dead
// routers used and that the platform has no bills for.
func (w *World) unsettledTokens(d *pb.DoubtRow) int64 {
	var sum int64
	for _, r := range w.runs {
		if budgetName(r.budget) != d.Budget || !r.node.dead || w.isSettled(r) {
			continue
		}
		for i := range r.reserved.Len() {
			if part := r.reserved.At(i); part.Grant == d.Grant {
				sum += part.Tokens
			}
		}
	}
	return sum
}

// isSettled reports whether the platform has the run's own entry.
func (w *World) isSettled(r *run) bool {
	if !r.ended {
		return false
	}
	rows := w.store.Read([]string{budget.BillKey(r.requestID)})
	if len(rows) == 0 {
		return false
	}
	bill := &pb.BillRow{}
	unmarshal(rows[0], bill)
	id := r.node.outbox.EntryID(r.entryNumber)
	for _, e := range bill.Entries {
		if e == id {
			return true
		}
	}
	return false
}

// Kill ends a router without warning and starts another in its place.
func (w *World) Kill() {
	n := w.nodes[w.chooser.Intn(len(w.nodes))]
	n.dead = true
	w.startNode()
}

// Pause stops a router that doesn't notice it.
func (w *World) Pause() { w.nodes[w.chooser.Intn(len(w.nodes))].paused = true }

// Resume lets all paused routers continue where they were.
func (w *World) Resume() {
	for _, n := range w.nodes {
		n.paused = false
	}
}

// Partition cuts two data centres off from each other, or one from the
// platform.
func (w *World) Partition() {
	a, b := w.chooser.Intn(centreCount), w.chooser.Intn(centreCount)
	w.partitioned[a][b], w.partitioned[b][a] = true, true
}

// Heal ends all partitions and the platform's outage.
func (w *World) Heal() {
	w.partitioned = [centreCount][centreCount]bool{}
	w.platformDown = false
}

// Outage makes the platform refuse everything.
func (w *World) Outage() { w.platformDown = true }
