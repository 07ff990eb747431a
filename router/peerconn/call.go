package peerconn

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Call makes one call of a service at an address. The connection of a call that
// wasn't answered in time is replaced, since it may be dead.
func Call[Client, Req, Resp any](
	ctx context.Context, p *Pool, address string, req Req, newClient func(grpc.ClientConnInterface) Client,
	method func(Client, context.Context, Req, ...grpc.CallOption) (Resp, error),
) (Resp, error) {
	var none Resp
	conn, err := p.Conn(address)
	if err != nil {
		return none, err
	}
	resp, err := method(newClient(conn), ctx, req)
	if status.Code(err) == codes.DeadlineExceeded {
		p.Replace(address)
	}
	return resp, err
}
