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

// maxMessageBytes bounds one response; a configuration snapshot must fit.
const maxMessageBytes = 256 << 20

// Client calls the platform over gRPC. It is safe for concurrent use.
type Client struct {
	conn    *grpc.ClientConn
	tables  pb.TableServiceClient
	objects pb.ObjectStoreClient
	vms     pb.VmListServiceClient
	timeout time.Duration
}

var _ Platform = (*Client)(nil)

// Dial returns a client of the platform at host:port. It connects on first use.
// The timeout applies to each call.
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

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Read implements TableStore.
func (c *Client) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.tables.Read(ctx, &pb.ReadRequest{Keys: keys})
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	return resp.Rows, nil
}

// Scan implements TableStore.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]*pb.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.tables.Scan(ctx, &pb.ScanRequest{Prefix: prefix, After: after, Limit: uint32(limit)})
	if err != nil {
		return nil, false, wrapUnavailable(err)
	}
	return resp.Rows, resp.More, nil
}

// Commit implements TableStore. Only ResourceExhausted, which the platform
// sends before it looks at the transaction, gives ErrUnavailable; after any
// other error the outcome is unknown.
func (c *Client) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.tables.Commit(ctx, txn)
	if err == nil {
		return resp, nil
	}
	if status.Code(err) == codes.ResourceExhausted {
		return nil, wrapUnavailable(err)
	}
	return nil, trace.Wrap(wrapClass(ErrOutcomeUnknown, err))
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.objects.PutObject(ctx, &pb.PutObjectRequest{Name: name, Data: data})
	if err != nil {
		return wrapUnavailable(err)
	}
	return nil
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.objects.GetObject(ctx, &pb.GetObjectRequest{Name: name})
	if err != nil {
		return nil, false, wrapUnavailable(err)
	}
	return resp.Data, resp.Found, nil
}

// ListVMs implements VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]*pb.Vm, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.vms.ListVms(ctx, &pb.ListVmsRequest{})
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	return resp.Vms, nil
}

func wrapUnavailable(err error) error { return trace.Wrap(wrapClass(ErrUnavailable, err)) }

// platformError combines the class of an outcome, ErrUnavailable or
// ErrOutcomeUnknown, with the transport's error.
type platformError struct {
	class error
	cause error
}

func wrapClass(class, cause error) error { return &platformError{class: class, cause: cause} }

// Error returns the class and the cause.
func (e *platformError) Error() string { return e.class.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is find both class and cause.
func (e *platformError) Unwrap() []error { return []error{e.class, e.cause} }
