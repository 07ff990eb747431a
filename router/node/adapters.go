package node

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// ledgerPeers connects the ledger to the other routers.
type ledgerPeers struct{ n *Node }

// Home implements ledger.Peers.
func (p ledgerPeers) Home(budget string) (*pb.Member, bool) {
	home, ok := p.n.membership.Home(budget)
	if !ok {
		return nil, false
	}
	return home, home.Incarnation == p.n.self.Incarnation
}

// Others implements ledger.Peers.
func (p ledgerPeers) Others() []*pb.Member { return p.n.membership.Members() }

// Borrow implements ledger.Peers.
func (p ledgerPeers) Borrow(ctx context.Context, m *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	resp, err := p.n.pool.Borrow(ctx, m, req)
	p.n.suspectIfUnanswered(m, err)
	return resp, err
}

// Settle implements ledger.Peers.
func (p ledgerPeers) Settle(ctx context.Context, m *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	resp, err := p.n.pool.Settle(ctx, m, req)
	p.n.suspectIfUnanswered(m, err)
	return resp, err
}

// suspectIfUnanswered schedules an immediate heartbeat to a member that didn't
// respond, so that a dead home of budgets is replaced before its next regular
// heartbeat.
func (n *Node) suspectIfUnanswered(m *pb.Member, err error) {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded:
		n.membership.Suspect(m)
	}
}

// configPeers connects the configuration watcher to the other routers.
type configPeers struct{ n *Node }

// Members implements configwatch.Peers.
func (p configPeers) Members() []*pb.Member { return p.n.membership.Members() }

// FetchConfig implements configwatch.Peers.
func (p configPeers) FetchConfig(ctx context.Context, m *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return p.n.pool.FetchConfig(ctx, m, req)
}

// servePeers connects the request path to the other routers.
type servePeers struct{ n *Node }

// Members implements serve.Peers.
func (p servePeers) Members() []*pb.Member { return p.n.membership.Members() }

// Takeover implements serve.Peers.
func (p servePeers) Takeover(ctx context.Context, m *pb.Member, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	return p.n.pool.Takeover(ctx, m, req)
}

// Locate implements serve.Peers.
func (p servePeers) Locate(ctx context.Context, m *pb.Member, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	return p.n.pool.Locate(ctx, m, req)
}
