package ledger

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
)

// HandOver ends the reservation here because another router goes on with its
// run, which SetRun has named. The bound is billed as unknown, so that it
// stays covered here whatever becomes of the other router, which tells the
// usage at the end. It returns the entry that covers the run, to be sent with
// the run; false means that the reservation had ended.
func (r *Reservation) HandOver() (*pb.BillEntry, bool) {
	if r.run == "" || !r.ended.CompareAndSwap(false, true) {
		return nil, false
	}
	return r.end(r.tokens, true), true
}

// TakeOver goes on with a run that another router handed over. The entry covers
// it, so that no tokens are reserved here; it is kept as a copy and settled
// from here too. The reservation ends as any other.
func (l *Ledger) TakeOver(covering *pb.BillEntry) (*Reservation, error) {
	if err := budget.CheckEntry(covering); err != nil {
		return nil, err
	}
	if !covering.UsageUnknown {
		return nil, errkind.New(errkind.BadRequest, "entry %s doesn't hand a run over", covering.Id)
	}
	l.box.mu.Lock()
	l.box.copies.ForceAdd(covering)
	l.box.mu.Unlock()
	return &Reservation{
		l:         l,
		account:   l.accounts.get(l.self.Incarnation, covering.Budget),
		request:   covering.RequestId,
		workspace: covering.Workspace,
		run:       covering.Run,
		tokens:    budget.PartsSum(covering.Parts),
		taken:     true,
	}, nil
}
