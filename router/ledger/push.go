package ledger

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/wait"
)

// mostPushed bounds the entries sent in one round.
const mostPushed = 1000

// pushLoop brings own bills to their budgets' homes, a few times until a home
// says that the platform holds them. After that this router settles them.
func (l *Ledger) pushLoop(ctx context.Context) {
	for wait.For(ctx, l.jittered(l.settle)) {
		l.push(ctx)
		l.tellDrops(ctx)
		l.adopt(l.now())
	}
}

func (l *Ledger) push(ctx context.Context) {
	for _, s := range l.box.sendable(mostPushed, l.peers.Home) {
		req := &pb.SettleRequest{Sender: l.self.Incarnation, Entries: s.entries}
		resp, err := l.peers.Settle(ctx, s.home, req)
		if err != nil {
			l.counters.pushErrors.Add(1)
			continue
		}
		l.forget(resp.SettledEntryIds)
	}
}

// HandleSettle keeps a peer's bills until the platform holds them and takes
// back its loans. It answers with the entries that the platform holds; the
// sender asks again about the others.
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
		return nil, errkind.New(errkind.BadRequest, "bills without a sender")
	}
	resp := &pb.SettleResponse{}
	l.standby.drop(req.SettledEntryIds)
	if req.Standby {
		return resp, l.keepStandby(req.Entries)
	}
	l.box.mu.Lock()
	for _, e := range req.Entries {
		if l.box.copies.Add(e) {
			resp.SettledEntryIds = append(resp.SettledEntryIds, e.Id)
		}
	}
	l.box.mu.Unlock()
	for _, total := range req.Totals {
		l.receive(l.accounts.get(l.self.Incarnation, total.Budget), []*pb.LoanTotal{total})
	}
	return resp, nil
}

func (l *Ledger) keepStandby(entries []*pb.BillEntry) error {
	for _, e := range entries {
		if !l.standby.keep(e, l.now()) {
			return errkind.New(errkind.Overloaded, "no room for copies of bills")
		}
	}
	return nil
}

// forget drops entries that the platform holds, here and where copies are.
func (l *Ledger) forget(ids []string) {
	l.box.done(ids)
	l.copied.done(ids)
}

// ReportUsage tells the usage of a run that was billed as unknown.
func (l *Ledger) ReportUsage(budgetName, workspace, requestID, run string, tokens int64) error {
	if tokens < 0 || tokens > budget.MaxTokens {
		return errkind.New(errkind.BadAmount, "usage of %d tokens", tokens)
	}
	l.box.add(budget.OutboxEntry{RequestID: requestID, RunID: run, Budget: budgetName, Workspace: workspace, Tokens: tokens}, false)
	return nil
}

// Bill returns the bill of a request, and false where there is none. A bill
// that the platform doesn't hold yet is returned as it will stand.
func (l *Ledger) Bill(ctx context.Context, requestID string) (*pb.BillRow, bool, error) {
	if e, ok := l.box.find(requestID); ok {
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
