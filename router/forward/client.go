package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/forwarding"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
)

const (
	// offerShare is the part of a request's remaining time that the response to one offer
	// may take, within minOfferTimeout and maxOfferTimeout. A small VM may run nothing for a
	// tenth of a second.
	offerShare      = 4
	minOfferTimeout = 150 * time.Millisecond
	maxOfferTimeout = 500 * time.Millisecond
	// maxOffers bounds the gateways to which one request is offered.
	maxOffers = 6
	// checkTimeout bounds the question to one gateway whether a target has ended, and
	// maxCheckers the gateways that are asked.
	checkTimeout = 700 * time.Millisecond
	maxCheckers  = 3
	// statusInterval is how often another gateway is asked whether it passes requests on,
	// while this one is cut off, and statusTimeout bounds the wait for its response.
	statusInterval = 500 * time.Millisecond
	statusTimeout  = time.Second
)

// errNoGateway means that no other gateway passes the request on.
var errNoGateway = errors.New("no other gateway passes the request on")

// Peers calls other gateways.
type Peers interface {
	// Open offers a request to the gateway at an address. The stream ends with ctx.
	Open(ctx context.Context, address string, offer *pb.ForwardOffer) (Stream, error)
	// Drop makes the next call use a new connection to the address, since the last one may
	// be dead.
	Drop(address string)
	// GetForwardStatus asks the gateway at an address whether it passes requests on.
	GetForwardStatus(ctx context.Context, address string, req *pb.GetForwardStatusRequest) (*pb.GetForwardStatusResponse, error)
	// CheckTarget asks it whether a target has ended.
	CheckTarget(ctx context.Context, address string, req *pb.CheckTargetRequest) (*pb.CheckTargetResponse, error)
}

// Stream carries one request to a gateway, and its response back.
type Stream interface {
	Send(*pb.ForwardRequest) error
	Recv() (*pb.ForwardResponse, error)
}

// Options configures a Client. All fields are required.
type Options struct {
	// Direct sends requests to targets on this gateway's own connections.
	Direct       relay.Upstream
	Reachability Reachability
	// ConnectionRefused reports whether a target's address refuses connections.
	ConnectionRefused func(ctx context.Context, address string) bool
	// Evacuated reports whether a data centre is evacuated.
	Evacuated func(dataCentre string) bool
	Gateways  *forwarding.Table
	Peers     Peers
	Metrics   *Metrics
	Log       *zap.Logger
	Now       func() time.Time
}

// Client sends requests to targets, through other gateways while this one is cut off
// from all targets. It implements relay.Upstream and is safe for concurrent use.
type Client struct {
	Options
}

// NewClient returns a client.
func NewClient(opts Options) *Client { return &Client{Options: opts} }

// Send implements relay.Upstream.
func (c *Client) Send(ctx context.Context, s *relay.UpstreamRequest) (relay.UpstreamResponse, error) {
	if c.Reachability.CutOff() {
		return c.forward(ctx, s)
	}
	response, err := c.sendDirect(ctx, s)
	if err == nil || ctx.Err() != nil || errkind.FromError(err).Kind != errkind.TargetUnreachable {
		return response, err
	}
	if !c.Reachability.AwaitVerdict(ctx) {
		return nil, err
	}
	return c.forward(ctx, s)
}

// sendDirect sends the request on an own connection.
func (c *Client) sendDirect(ctx context.Context, s *relay.UpstreamRequest) (relay.UpstreamResponse, error) {
	c.Reachability.Begin()
	response, err := c.Direct.Send(ctx, s)
	if err != nil {
		c.Reachability.End()
		c.suspectIfLost(ctx, err)
		return nil, err
	}
	c.Reachability.Progress()
	return &directResponse{UpstreamResponse: response, client: c, ctx: ctx}, nil
}

// suspectIfLost makes a check if an error means that a connection was lost.
func (c *Client) suspectIfLost(ctx context.Context, err error) {
	if ctx.Err() == nil && (relay.IsConnectionLoss(err) || relay.AttemptResult(ctx, err) == placement.Silent) {
		c.Reachability.Suspect()
	}
}

// directResponse is a response on an own connection whose progress is told.
type directResponse struct {
	relay.UpstreamResponse
	client *Client
	ctx    context.Context
	closed bool
}

// Read implements relay.UpstreamResponse.
func (r *directResponse) Read(p []byte) (int, error) {
	n, err := r.UpstreamResponse.Read(p)
	if n > 0 || err == nil {
		r.client.Reachability.Progress()
	}
	if err != nil && err != io.EOF {
		r.client.suspectIfLost(r.ctx, err)
	}
	return n, err
}

// Close implements relay.UpstreamResponse.
func (r *directResponse) Close() {
	if !r.closed {
		r.closed = true
		r.client.Reachability.End()
	}
	r.UpstreamResponse.Close()
}

// forward offers the request to other gateways, and sends it through the first that
// accepts it.
func (c *Client) forward(ctx context.Context, s *relay.UpstreamRequest) (relay.UpstreamResponse, error) {
	var tried []home.Gateway
	// Run finds out when another gateway responds again.
	for len(tried) < maxOffers && ctx.Err() == nil && !c.Alone() {
		// Offers without a response take seconds, in which an evacuation may begin.
		if c.Evacuated(s.Target.DataCentre) {
			return nil, errkind.New(errkind.TargetUnreachable, "the target's data centre is evacuated")
		}
		offer := c.Gateways.PickWithin(s.Homes, s.Request.ID, s.Target.DataCentre, tried, c.Now())
		if offer == nil {
			break
		}
		tried = append(tried, offer.Gateway)
		x, verdict := c.open(ctx, offer, s)
		switch verdict {
		case pb.ForwardVerdict_FORWARD_VERDICT_ACCEPTED:
			return x.exchange(s, c.Now())
		case pb.ForwardVerdict_FORWARD_VERDICT_TARGET_UNAVAILABLE:
			return nil, errkind.New(errkind.TargetUnreachable, "another gateway doesn't send to the target")
		}
	}
	c.Metrics.record(resultNoGateway)
	return nil, errkind.Wrap(errkind.TargetUnreachable, errNoGateway, "no target can be reached")
}

// open offers the request to one gateway. The exchange is nil unless it is accepted.
func (c *Client) open(ctx context.Context, offer *forwarding.Offer, s *relay.UpstreamRequest) (*exchange, pb.ForwardVerdict) {
	streamCtx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(offerTimeout(s.Deadline.Sub(c.Now())), cancel)
	stream, verdict, err := c.offer(streamCtx, offer.Gateway.PeerAddress, s)
	if !timeout.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	switch {
	case err != nil && ctx.Err() != nil:
		offer.Release()
	case err != nil:
		offer.Failed(c.Now())
		c.Peers.Drop(offer.Gateway.PeerAddress)
		c.Metrics.record(resultNoResponse)
		c.Log.Info("forward: a gateway didn't respond to an offer.", zap.String("request", s.Request.ID), zap.String("gateway", offer.Gateway.Name), zap.Error(err))
	case verdict == pb.ForwardVerdict_FORWARD_VERDICT_ACCEPTED:
		offer.Accepted()
		c.Metrics.record(resultAccepted)
		return newExchange(streamCtx, cancel, stream, offer.Gateway.Name), verdict
	case verdict == pb.ForwardVerdict_FORWARD_VERDICT_TARGET_UNAVAILABLE:
		offer.Accepted()
		c.Metrics.record(resultTargetUnavailable)
	default:
		offer.Refused(c.Now())
		c.Metrics.record(resultRefused)
	}
	cancel()
	if err != nil {
		verdict = pb.ForwardVerdict_FORWARD_VERDICT_UNSPECIFIED
	}
	return nil, verdict
}

// offerTimeout returns how long the response to an offer may take.
func offerTimeout(remaining time.Duration) time.Duration {
	return min(max(remaining/offerShare, minOfferTimeout), maxOfferTimeout)
}

// offer opens a stream and returns the gateway's verdict.
func (c *Client) offer(ctx context.Context, address string, s *relay.UpstreamRequest) (Stream, pb.ForwardVerdict, error) {
	process := s.Target.Process()
	stream, err := c.Peers.Open(ctx, address, &pb.ForwardOffer{
		TargetId: process.ID, StartTimeMs: process.StartTimeMs,
		PromptTokens: s.PromptTokens, Urgent: s.Urgent,
	})
	if err != nil {
		return nil, 0, err
	}
	message, err := stream.Recv()
	if err != nil {
		return nil, 0, err
	}
	return stream, message.GetVerdict(), nil
}
