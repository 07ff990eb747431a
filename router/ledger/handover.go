package ledger

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
)

// HandOver ends the reservation at this router because another router continues
// its run. The reserved tokens are billed as usage unknown, so that they stay
// covered by this router even if the other router fails; the other router
// reports the usage when the run ends. HandOver returns the entry that covers
// the run, which must be sent to the other router along with the run. It
// returns false if the reservation had ended or SetRun has not been called.
func (r *Reservation) HandOver() (*pb.BillEntry, bool) {
	if r.run == "" || !r.ended.CompareAndSwap(false, true) {
		return nil, false
	}
	return r.end(r.tokens, true), true
}

// TakeOver continues a run that another router handed over. The covering entry
// already pays for it, so this router reserves no tokens. The entry is kept as
// a copy, and this router settles it too. The returned reservation ends like
// any other.
func (l *Ledger) TakeOver(covering *pb.BillEntry) (*Reservation, error) {
	if err := budget.CheckEntry(covering); err != nil {
		return nil, err
	}
	if !covering.UsageUnknown {
		return nil, errkind.New(errkind.BadRequest, "entry %s does not cover a handed-over run: its usage is known", covering.Id)
	}
	l.bills.mu.Lock()
	l.bills.copies.ForceAdd(covering)
	l.bills.mu.Unlock()
	return &Reservation{
		l:         l,
		account:   l.accounts.getOrCreate(l.self.Incarnation, covering.Budget),
		request:   covering.RequestId,
		workspace: covering.Workspace,
		run:       covering.Run,
		tokens:    budget.PartsSum(covering.Parts),
		takenOver: true,
	}, nil
}
