package ledger

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/wait"
)

// maxPushed bounds the entries sent in one round.
const maxPushed = 1000

// pushLoop sends own bills to their budgets' homes, until a home reports them
// as settled or they were sent maxHomeSends times; after that this router
// settles them itself. It also reports settled bills to the routers that hold
// standby copies, and settles the copies of origins that have not done so.
func (l *Ledger) pushLoop(ctx context.Context) {
	for wait.For(ctx, l.jittered(l.settleInterval)) {
		l.push(ctx)
		l.sendDropNotices(ctx)
		l.adoptDueCopies(l.now())
	}
}

func (l *Ledger) push(ctx context.Context) {
	for _, s := range l.bills.sendable(maxPushed, l.peers.Home) {
		req := &pb.SettleRequest{Sender: l.self.Incarnation, Entries: s.entries}
		resp, err := l.peers.Settle(ctx, s.home, req)
		if err != nil {
			l.counters.pushErrors.Add(1)
			continue
		}
		l.dropSettled(resp.SettledEntryIds)
	}
}

// HandleSettle keeps a peer's bills until they are settled, and takes back the
// loans that it returns. The response lists the entries that are already
// settled; the sender asks again about the others.
func (l *Ledger) HandleSettle(_ context.Context, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	if l.draining.Load() && len(req.Totals) > 0 {
		return nil, errkind.New(errkind.Draining, "this router is stopping")
	}
	for _, e := range req.Entries {
		if err := budget.CheckEntry(e); err != nil {
			return nil, err
		}
	}
	if req.Sender == "" {
		return nil, errkind.New(errkind.BadRequest, "settle request without a sender")
	}
	resp := &pb.SettleResponse{}
	l.standby.drop(req.SettledEntryIds)
	if req.Standby {
		return resp, l.addStandby(req.Entries)
	}
	l.bills.mu.Lock()
	for _, e := range req.Entries {
		if l.bills.copies.Add(e) {
			resp.SettledEntryIds = append(resp.SettledEntryIds, e.Id)
		}
	}
	l.bills.mu.Unlock()
	for _, total := range req.Totals {
		l.receiveLoans(l.accounts.getOrCreate(l.self.Incarnation, total.Budget), []*pb.LoanTotal{total})
	}
	return resp, nil
}

func (l *Ledger) addStandby(entries []*pb.BillEntry) error {
	for _, e := range entries {
		if !l.standby.add(e, l.now()) {
			return errkind.New(errkind.Overloaded, "too many standby copies of bills")
		}
	}
	return nil
}

// dropSettled drops settled entries, and marks their standby copies at other
// routers to be dropped.
func (l *Ledger) dropSettled(ids []string) {
	l.bills.remove(ids)
	l.copyTracker.markSettled(ids)
}

// ReportUsage reports the usage of a run that was billed as unknown.
func (l *Ledger) ReportUsage(budgetName, workspace, requestID, run string, tokens int64) error {
	if tokens < 0 || tokens > budget.MaxTokens {
		return errkind.New(errkind.BadAmount, "usage of %d tokens is out of range", tokens)
	}
	l.bills.add(budget.OutboxEntry{RequestID: requestID, RunID: run, Budget: budgetName, Workspace: workspace, Tokens: tokens}, false)
	return nil
}

// Bill returns the bill of a request, and false if there is none. If an entry
// of the request is not settled yet, the bill is made from that entry.
func (l *Ledger) Bill(ctx context.Context, requestID string) (*pb.BillRow, bool, error) {
	if e, ok := l.bills.find(requestID); ok {
		return &pb.BillRow{
			RequestId: e.RequestId,
			Budget:    e.Budget,
			Workspace: e.Workspace,
			Parts:     e.Parts,
			Tokens:    e.Tokens,
			Run:       e.Run,
			Entries:   []string{e.Id},
		}, true, nil
	}
	return ReadBill(ctx, l.tables, requestID)
}
