package ledger

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// HandOver ends the reservation here and moves its tokens to a peer that goes
// on with the run. It returns the parts and the loans that carry them; the
// answer may be sent again. False means that the reservation had ended.
func (r *Reservation) HandOver(taker string) ([]*pb.BillPart, []*pb.LoanTotal, bool) {
	if !r.ended.CompareAndSwap(false, true) {
		return nil, nil, false
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.HandOver(&r.parts, taker)
	a.outstanding--
	return r.parts.Proto(), a.holder.Totals(taker), true
}

// TakeUp takes a reservation over from a peer. Where the tokens can't be
// taken it reserves others.
func (l *Ledger) TakeUp(ctx context.Context, budgetName, workspace, requestID, run string, parts []*pb.BillPart, totals []*pb.LoanTotal) (*Reservation, error) {
	a := l.accounts.get(l.self.Incarnation, budgetName)
	l.receive(a, totals)
	var handed budget.Parts
	for _, p := range parts {
		handed.Add(budget.Part{Grant: p.Grant, Tokens: p.Tokens})
	}
	a.mu.Lock()
	ok := a.holder.TakeUp(&handed)
	if ok {
		a.outstanding++
	}
	a.mu.Unlock()
	if !ok {
		r, err := l.Reserve(ctx, budgetName, workspace, requestID, handed.Sum())
		if err == nil {
			r.SetRun(run)
		}
		return r, err
	}
	return &Reservation{l: l, account: a, request: requestID, workspace: workspace, run: run, parts: handed, tokens: handed.Sum()}, nil
}
