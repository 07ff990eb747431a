package budgetsim

import (
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// TopUp raises or lowers a budget, or repeats an earlier top-up.
func (w *World) TopUp() {
	b := w.choose.Intn(budgets)
	tokens := int64(1 + w.choose.Intn(mostTopUp))
	if w.chance(4) {
		tokens = -tokens
	}
	id := w.topUpID()
	for range 1 + w.choose.Intn(2) {
		_ = w.operate(func(t *budget.Txn) error {
			_, err := t.TopUp(id, name(b), tokens)
			return err
		})
	}
}

// CloseGrant closes the grants of any router, dead or not.
func (w *World) CloseGrant() {
	rows := w.store.Scan(budget.GrantsPrefix(name(w.choose.Intn(budgets))), "")
	if len(rows) == 0 {
		return
	}
	g := &pb.GrantRow{}
	parse(rows[w.choose.Intn(len(rows))], g)
	for b := range budgets {
		w.closeGrant(&pb.GrantRow{Budget: name(b), Id: g.Id})
	}
}

func (w *World) closeGrant(g *pb.GrantRow) {
	_ = w.operate(func(t *budget.Txn) error {
		_, err := t.Close(g.Budget, g.Id)
		return err
	})
	if w.plant == BugCloseFreesTokens {
		_ = w.operate(func(t *budget.Txn) error {
			_, err := t.Release(g.Budget, g.Id, budget.MaxTokens, budget.ResolveUnspent)
			return err
		})
	}
}

func parse(row *pb.Row, m proto.Message) {
	if err := proto.Unmarshal(row.Value, m); err != nil {
		panic(err) // The store holds only rows of the schema.
	}
}

// Release lets an operator decide about tokens in doubt. The operator knows
// what gone routers ran, from the engines.
func (w *World) Release() {
	rows := w.store.Scan(budget.DoubtsPrefix(name(w.choose.Intn(budgets))), "")
	if len(rows) == 0 {
		return
	}
	d := &pb.DoubtRow{}
	parse(rows[w.choose.Intn(len(rows))], d)
	w.release(d)
}

func (w *World) release(d *pb.DoubtRow) {
	if d.Reason != pb.DoubtReason_DOUBT_REASON_HOLDER_CLOSED {
		w.decide(d, d.Tokens, budget.ResolveSpent)
		return
	}
	proof := w.proof(d.Grant)
	if len(proof.LiveUnfenced()) > 0 && w.plant != BugUnfencedIgnored {
		return
	}
	w.decide(d, d.Tokens-proof.FencedOutstanding(d.Budget)-w.unbilled(d), budget.ResolveUnspent)
}

func (w *World) decide(d *pb.DoubtRow, tokens int64, decision budget.Resolution) {
	if tokens <= 0 {
		return
	}
	taken := int64(0)
	err := w.operate(func(t *budget.Txn) error {
		var err error
		taken, err = t.Release(d.Budget, d.Id, tokens, decision)
		return err
	})
	if err == nil && decision == budget.ResolveSpent {
		w.writtenOff[index(d.Budget)] += taken
	}
}

// proof collects who was fenced and who is gone.
func (w *World) proof(grant string) budget.FenceStatus {
	var p budget.FenceStatus
	for _, row := range w.store.Scan(budget.RouterPrefix, "") {
		r := &pb.RouterRow{}
		parse(row, r)
		p.Routers = append(p.Routers, r)
		if !w.lives(r.Incarnation) {
			p.GoneVMs = append(p.GoneVMs, r.VmInstance)
		}
	}
	for _, row := range w.store.Scan(budget.FencesPrefix(grant), "") {
		f := &pb.FenceRow{}
		parse(row, f)
		p.Fences = append(p.Fences, f)
	}
	return p
}

func (w *World) lives(incarnation string) bool {
	for _, n := range w.nodes {
		if n.id == incarnation {
			return !n.dead
		}
	}
	return false
}

// unbilled returns the tokens of a closed grant that gone routers' runs used
// and the platform doesn't hold.
func (w *World) unbilled(d *pb.DoubtRow) int64 {
	var sum int64
	for _, r := range w.runs {
		if name(r.budget) != d.Budget || !r.node.dead || w.settled(r) {
			continue
		}
		for i := range r.parts.Len() {
			if part := r.parts.At(i); part.Grant == d.Grant {
				sum += part.Tokens
			}
		}
	}
	return sum
}

// settled reports whether the platform holds the run's own entry.
func (w *World) settled(r *run) bool {
	if !r.ended {
		return false
	}
	rows := w.store.Read([]string{budget.BillKey(r.request)})
	if len(rows) == 0 {
		return false
	}
	bill := &pb.BillRow{}
	parse(rows[0], bill)
	id := r.node.outbox.EntryID(r.entry)
	for _, e := range bill.Entries {
		if e == id {
			return true
		}
	}
	return false
}

// Kill ends a router without warning; another starts in its place.
func (w *World) Kill() {
	n := w.nodes[w.choose.Intn(len(w.nodes))]
	n.dead = true
	w.start()
}

// Pause stops a router that doesn't notice.
func (w *World) Pause() { w.nodes[w.choose.Intn(len(w.nodes))].paused = true }

// Resume lets all paused routers go on where they were.
func (w *World) Resume() {
	for _, n := range w.nodes {
		n.paused = false
	}
}

// Partition partitions two data centres, or one from the platform.
func (w *World) Partition() {
	a, b := w.choose.Intn(centres), w.choose.Intn(centres)
	w.cut[a][b], w.cut[b][a] = true, true
}

// Heal ends all partitions and the platform's outage.
func (w *World) Heal() {
	w.cut = [centres][centres]bool{}
	w.down = false
}

// Outage makes the platform refuse everything.
func (w *World) Outage() { w.down = true }
