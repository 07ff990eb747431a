package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/egress"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/forwarding"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/location"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
)

// silentPeers are gateways that don't respond to offers.
type silentPeers struct {
	Peers
	offered []string
	onOffer func()
}

func (p *silentPeers) Open(_ context.Context, address string, _ *pb.ForwardOffer) (Stream, error) {
	p.offered = append(p.offered, address)
	p.onOffer()
	return nil, io.ErrUnexpectedEOF
}

func (p *silentPeers) Drop(string) {}

// cutLinks is the Reachability of a gateway that is cut off.
type cutLinks struct{ Reachability }

func (cutLinks) CutOff() bool { return true }

// openLinks is that of one which isn't.
type openLinks struct{ Reachability }

func (openLinks) CutOff() bool { return false }

func gatewaysIn(dataCentres ...string) []home.Gateway {
	var list []home.Gateway
	for _, dc := range dataCentres {
		list = append(list, home.Gateway{Name: "g" + dc, DataCentre: dc, PeerAddress: dc})
	}
	return list
}

func cutClient(peers Peers, evacuated func(string) bool, list []home.Gateway) *Client {
	gateways := forwarding.New(list[0])
	gateways.Update(list)
	return NewClient(Options{Reachability: cutLinks{}, Evacuated: evacuated, Gateways: gateways, Peers: peers,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now})
}

// A request that waits for gateways which don't respond isn't offered to further ones
// once its target's data centre is evacuated.
func TestEvacuationDuringOffers(t *testing.T) {
	is := is.New(t)
	evacuated := false
	peers := &silentPeers{onOffer: func() { evacuated = true }}
	c := cutClient(peers, func(dc string) bool { return evacuated && dc == "b" }, gatewaysIn("a", "b", "c", "d"))
	s := &relay.UpstreamRequest{Request: &relay.Request{ID: "1"}, Target: placement.Target{DataCentre: "b"}, Deadline: time.Now().Add(time.Second)}
	_, err := c.Send(context.Background(), s)
	is.Equal(errkind.KindOf(err), errkind.TargetUnreachable)
	is.Equal(len(peers.offered), 1)
}

// requestStream is an offer and its request. onVerdict is called between them.
type requestStream struct {
	pb.ForwardService_ForwardServer
	request   *pb.ForwardedRequest
	onVerdict func()
	offered   bool
	sent      []*pb.ForwardResponse
}

func (s *requestStream) Context() context.Context { return context.Background() }

func (s *requestStream) Recv() (*pb.ForwardRequest, error) {
	if !s.offered {
		s.offered = true
		return &pb.ForwardRequest{Part: &pb.ForwardRequest_Offer{Offer: &pb.ForwardOffer{TargetId: "t", StartTimeMs: 1}}}, nil
	}
	s.onVerdict()
	return &pb.ForwardRequest{Part: &pb.ForwardRequest_Request{Request: s.request}}, nil
}

func (s *requestStream) Send(r *pb.ForwardResponse) error { s.sent = append(s.sent, r); return nil }

// failingUpstream records the requests that reach it.
type failingUpstream struct{ received []*relay.UpstreamRequest }

func (u *failingUpstream) Send(_ context.Context, s *relay.UpstreamRequest) (relay.UpstreamResponse, error) {
	u.received = append(u.received, s)
	return nil, errkind.Wrap(errkind.TargetUnreachable, errors.New("down"), "down")
}

func serveForwarded(evacuated, later location.DataCentres) (*failingUpstream, []*pb.ForwardResponse) {
	targets := placement.New("a")
	targets.Update([]placement.Target{{ID: "t", StartTimeMs: 1, Service: "s", DataCentre: "b"}}, time.Now())
	targets.SetEvacuated(evacuated, time.Now())
	up := &failingUpstream{}
	server := NewServer(ServerOptions{Targets: targets, Upstream: up, Reachability: openLinks{}, Overloaded: func(bool) bool { return false },
		Egress: egress.NewMeter(0), Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now})
	stream := &requestStream{
		request:   &pb.ForwardedRequest{Id: "1", RemainingMs: 1000, SourceAddress: "s:1", SourceDataCentre: "c"},
		onVerdict: func() { targets.SetEvacuated(later, time.Now()) },
	}
	_ = server.Forward(stream)
	return up, stream.sent
}

// A gateway checks the evacuations that it knows itself: with the offer, and again with
// the request, which may come a second later.
func TestForwardedRequestToAnEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	up, sent := serveForwarded(location.NewDataCentres("b"), nil)
	is.Equal(len(up.received), 0)
	is.Equal(sent[0].GetVerdict(), pb.ForwardVerdict_FORWARD_VERDICT_TARGET_UNAVAILABLE)

	up, sent = serveForwarded(nil, location.NewDataCentres("b"))
	is.Equal(len(up.received), 0)
	is.Equal(sent[1].GetEnd().Result, pb.ForwardResult_FORWARD_RESULT_UNREACHABLE) // not run

	up, _ = serveForwarded(nil, nil)
	is.Equal(up.received[0].Source.Address, "s:1")
	up, _ = serveForwarded(nil, location.NewDataCentres("c"))
	is.True(up.received[0].Source == nil) // no copy from an evacuated data centre
}

// A request with home regions is offered to gateways in its own and in the home regions
// only, and reaches no target without one.
func TestOffersStayInTheHomeRegions(t *testing.T) {
	is := is.New(t)
	list := gatewaysIn("eu1", "eu2", "us1", "asia1", "unknown")
	gateways := forwarding.NewInRegions(list[0], location.Regions{"eu1": "eu", "eu2": "eu", "us1": "us", "asia1": "asia"})
	gateways.Update(list)
	peers := &silentPeers{onOffer: func() {}}
	c := cutClient(peers, func(string) bool { return false }, list)
	c.Gateways = gateways
	s := &relay.UpstreamRequest{Request: &relay.Request{ID: "1"}, Target: placement.Target{DataCentre: "asia1"}, Deadline: time.Now().Add(time.Second), Homes: location.NewHomes("asia")}
	_, err := c.Send(context.Background(), s)
	is.Equal(errkind.KindOf(err), errkind.TargetUnreachable)
	is.Equal(peers.offered, []string{"asia1", "eu2"})
}
