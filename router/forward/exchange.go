package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
	"cuminrock.example/router/responseconn"
)

// receivedAhead is the number of parts of a response that are received before they are
// read.
const receivedAhead = 4

// errProtocol means that a gateway sent a part that isn't due.
var errProtocol = errors.New("the other gateway sent an unexpected part of a response")

// exchange is a request that another gateway has accepted, and its response. It
// implements relay.UpstreamResponse once it has the header.
type exchange struct {
	ctx     context.Context
	cancel  context.CancelFunc
	stream  Stream
	gateway string
	parts   chan part
	head    *pb.ForwardedHead
	header  http.Header
	// unread is the rest of the last part of the body.
	unread []byte
	// ended is the error of all further reads.
	ended error
}

// part is a message of the gateway, or the error that ends the stream.
type part struct {
	message *pb.ForwardResponse
	err     error
}

func newExchange(ctx context.Context, cancel context.CancelFunc, stream Stream, gateway string) *exchange {
	return &exchange{ctx: ctx, cancel: cancel, stream: stream, gateway: gateway, parts: make(chan part, receivedAhead)}
}

// exchange sends the request and waits for the header of its response.
func (x *exchange) exchange(s *relay.UpstreamRequest, now time.Time) (relay.UpstreamResponse, error) {
	err := x.stream.Send(&pb.ForwardRequest{Part: &pb.ForwardRequest_Request{Request: encodeRequest(s, now)}})
	if err != nil && !errors.Is(err, io.EOF) {
		x.cancel()
		return nil, x.lost(err)
	}
	// After io.EOF, Recv returns the stream's error.
	go x.receive()
	message, err := x.next()
	if err == nil {
		err = x.begin(message)
	}
	if err != nil {
		x.cancel()
		return nil, err
	}
	return x, nil
}

// begin takes the first part of the response.
func (x *exchange) begin(message *pb.ForwardResponse) error {
	if message.GetEnd() != nil {
		return endError(message.GetEnd())
	}
	if message.GetHead() == nil {
		return x.lost(errProtocol)
	}
	x.head, x.header = message.GetHead(), decodeHeader(message.GetHead().Header)
	// The other gateway may have another version, which lets more pass.
	if !responseconn.ValidStatus(x.Status()) || !responseconn.ValidHeader(x.header) {
		return errkind.Wrap(errkind.TargetFailed, responseconn.ErrNoResponse, "the exchange of another gateway with the target failed")
	}
	return nil
}

// receive receives the parts of the response until the stream ends.
func (x *exchange) receive() {
	for {
		message, err := x.stream.Recv()
		select {
		case x.parts <- part{message, err}:
		case <-x.ctx.Done():
			return
		}
		if err != nil || message.GetEnd() != nil {
			return
		}
	}
}

// next returns the next part, or an error at the end of the request or if the gateway is
// lost.
func (x *exchange) next() (*pb.ForwardResponse, error) {
	select {
	case p := <-x.parts:
		if p.err != nil {
			return nil, x.lost(p.err)
		}
		return p.message, nil
	case <-x.ctx.Done():
		return nil, x.lost(x.ctx.Err())
	}
}

// lost returns the error of a request that was given to a gateway which didn't say how
// it ended. It says nothing about the target.
func (x *exchange) lost(cause error) error {
	return errkind.New(errkind.TargetFailed, "gateway %s, which passed the request on, was lost: %v", x.gateway, cause)
}

// endError returns the error of a response that isn't complete.
func endError(end *pb.ForwardEnd) error {
	cause := errors.New(end.Message)
	if end.ConnectionLost {
		cause = errors.Join(cause, io.ErrUnexpectedEOF)
	}
	switch end.Result {
	case pb.ForwardResult_FORWARD_RESULT_UNREACHABLE:
		return errkind.Wrap(errkind.TargetUnreachable, cause, "the target is unreachable from another gateway, too")
	case pb.ForwardResult_FORWARD_RESULT_REFUSED:
		refusal := &relay.Refusal{Status: int(end.Status), Misdirected: end.Misdirected, Announcement: decodeAnnouncement(end.Announcement)}
		return errkind.Wrap(errkind.TargetRefused, refusal, "the target didn't run the request")
	case pb.ForwardResult_FORWARD_RESULT_SILENT:
		return errkind.Wrap(errkind.TargetFailed, errors.Join(cause, syscall.ETIMEDOUT), "the target stopped responding to another gateway")
	default:
		return errkind.Wrap(errkind.TargetFailed, cause, "the exchange of another gateway with the target failed")
	}
}

// Read implements relay.UpstreamResponse.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.unread) == 0 {
		if x.ended != nil {
			return 0, x.ended
		}
		message, err := x.next()
		if err != nil {
			return 0, err
		}
		x.take(message)
	}
	n := copy(p, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

// take takes the next part of the body.
func (x *exchange) take(message *pb.ForwardResponse) {
	switch end := message.GetEnd(); {
	case end == nil && message.GetBody() == nil:
		x.ended = x.lost(errProtocol)
	case end == nil:
		x.unread = message.GetBody()
	case end.Result == pb.ForwardResult_FORWARD_RESULT_COMPLETE:
		x.ended = io.EOF
	default:
		x.ended = endError(end)
	}
}

// Status implements relay.UpstreamResponse.
func (x *exchange) Status() int { return int(x.head.Status) }

// Header implements relay.UpstreamResponse.
func (x *exchange) Header() http.Header { return x.header }

// Load implements relay.UpstreamResponse.
func (x *exchange) Load() *placement.Load {
	if x.head.Load == nil {
		return nil
	}
	return &placement.Load{Running: int(x.head.Load.Running), Waiting: int(x.head.Load.Waiting), Slots: int(x.head.Load.Slots)}
}

// EndsWithConnection implements relay.UpstreamResponse.
func (x *exchange) EndsWithConnection() bool { return x.head.EndsWithConnection }

// Announcement implements relay.UpstreamResponse.
func (x *exchange) Announcement() placement.Announcement {
	return decodeAnnouncement(x.head.Announcement)
}

// Close implements relay.UpstreamResponse. The other gateway closes its connection to
// the target unless the response is complete.
func (x *exchange) Close() { x.cancel() }
