package platformclient

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// maxMessageBytes bounds one answer, so that a snapshot object fits.
const maxMessageBytes = 256 << 20

// Client speaks to the platform by gRPC. It is safe for concurrent use.
type Client struct {
	conn    *grpc.ClientConn
	tables  pb.TableServiceClient
	objects pb.ObjectStoreClient
	vms     pb.VmListServiceClient
	timeout time.Duration
}

var _ Platform = (*Client)(nil)

// Dial returns a client of the platform at host:port. It connects on first
// use. Each call ends after timeout.
func Dial(address string, timeout time.Duration) (*Client, error) {
	conn, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Client{
		conn:    conn,
		tables:  pb.NewTableServiceClient(conn),
		objects: pb.NewObjectStoreClient(conn),
		vms:     pb.NewVmListServiceClient(conn),
		timeout: timeout,
	}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Read implements Tables.
func (c *Client) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.tables.Read(ctx, &pb.ReadRequest{Keys: keys})
	if err != nil {
		return nil, unavailable(err)
	}
	return resp.Rows, nil
}

// Scan implements Tables.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]*pb.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.tables.Scan(ctx, &pb.ScanRequest{Prefix: prefix, After: after, Limit: uint32(limit)})
	if err != nil {
		return nil, false, unavailable(err)
	}
	return resp.Rows, resp.More, nil
}

// Commit implements Tables. Only an error that the platform itself sent
// before it looked at the transaction is ErrUnavailable; all else is unknown.
func (c *Client) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.tables.Commit(ctx, txn)
	if err == nil {
		return resp, nil
	}
	if status.Code(err) == codes.ResourceExhausted {
		return nil, unavailable(err)
	}
	return nil, trace.Wrap(errJoin(ErrOutcomeUnknown, err))
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.objects.PutObject(ctx, &pb.PutObjectRequest{Name: name, Data: data})
	if err != nil {
		return unavailable(err)
	}
	return nil
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.objects.GetObject(ctx, &pb.GetObjectRequest{Name: name})
	if err != nil {
		return nil, false, unavailable(err)
	}
	return resp.Data, resp.Found, nil
}

// ListVMs implements Vms.
func (c *Client) ListVMs(ctx context.Context) ([]*pb.Vm, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.vms.ListVms(ctx, &pb.ListVmsRequest{})
	if err != nil {
		return nil, unavailable(err)
	}
	return resp.Vms, nil
}

func unavailable(err error) error { return trace.Wrap(errJoin(ErrUnavailable, err)) }

// platformError keeps the class of an outcome and the transport's error.
type platformError struct {
	class error
	cause error
}

func errJoin(class, cause error) error { return &platformError{class: class, cause: cause} }

// Error implements error.
func (e *platformError) Error() string { return e.class.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is find both.
func (e *platformError) Unwrap() []error { return []error{e.class, e.cause} }
