// Package forward sends requests to targets through another gateway while this one is
// cut off from all targets, and does the same for others.
//
// The gateway that got the request from its caller stays in charge of it: it admits it,
// reserves its tokens, picks the target, repeats it where that is allowed, and bills it.
// The other gateway only takes the place of the connection to the target. Guarantees:
//
//   - A request is offered first, and sent to a gateway only after that one accepted it.
//     Until then nothing was sent, and another gateway or target may be tried.
//   - After that, a request whose response doesn't arrive may have run.
//   - A gateway sends a forwarded request to the target itself or not at all, so that
//     requests can't go in circles.
//   - A gateway doesn't send to a target that it knows to be leaving, that asked it for
//     quiet, or whose data centre it knows to be evacuated.
package forward

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/prometheus/client_golang/prometheus"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
)

// chunkBytes is the size of the parts in which a body is passed on.
const chunkBytes = 16 << 10

// Labels of the results of offers.
const (
	resultAccepted          = "accepted"
	resultTargetUnavailable = "target_unavailable"
	resultRefused           = "refused"
	resultNoResponse        = "no_response"
	resultNoGateway         = "no_gateway"
)

// Reachability knows whether this gateway reaches any target.
type Reachability interface {
	// CutOff reports whether no target can be reached.
	CutOff() bool
	// AwaitVerdict waits for a check that is due or running, if any, and does the same.
	AwaitVerdict(ctx context.Context) bool
	// Suspect makes a check soon, as a connection was lost.
	Suspect()
	// ReachesOther reports whether a target at another address can be reached now.
	ReachesOther(ctx context.Context, address string) bool
	// Begin, Progress and End tell of a response that is awaited from a target.
	Begin()
	Progress()
	End()
}

// Metrics counts forwarded requests.
type Metrics struct {
	offers *prometheus.CounterVec
	served prometheus.Counter
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		offers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_forward_offers_total", Help: "Requests offered to other gateways to be sent to targets, by result."}, []string{"result"}),
		served: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_forwarded_for_others_total", Help: "Requests of other gateways that were sent to targets."}),
	}
	registry.MustRegister(m.offers, m.served)
	return m
}

func (m *Metrics) record(result string) { m.offers.WithLabelValues(result).Inc() }

func encodeHeader(h http.Header) []*pb.HeaderField {
	fields := make([]*pb.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, &pb.HeaderField{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*pb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.Name] = f.Values
	}
	return h
}

func encodeAnnouncement(a placement.Announcement) *pb.TargetAnnouncement {
	out := &pb.TargetAnnouncement{Leaving: a.Leaving, QuietMs: a.Quiet.Milliseconds(), LimitPerSecond: a.Limit, MaxRefusals: int64(a.MaxRefusals)}
	if a.ColdKnown {
		out.ColdMs = proto.Int64(a.ColdFor.Milliseconds())
	}
	return out
}

func decodeAnnouncement(a *pb.TargetAnnouncement) placement.Announcement {
	return placement.Announcement{
		Leaving: a.GetLeaving(), Quiet: time.Duration(a.GetQuietMs()) * time.Millisecond, Limit: a.GetLimitPerSecond(), MaxRefusals: int(a.GetMaxRefusals()),
		ColdFor: time.Duration(a.GetColdMs()) * time.Millisecond, ColdKnown: a != nil && a.ColdMs != nil,
	}
}

func encodeHead(r relay.UpstreamResponse) *pb.ForwardedHead {
	head := &pb.ForwardedHead{
		Status: int32(r.Status()), Header: encodeHeader(r.Header()),
		EndsWithConnection: r.EndsWithConnection(), Announcement: encodeAnnouncement(r.Announcement()),
	}
	if load := r.Load(); load != nil {
		head.Load = &pb.TargetLoad{Running: int64(load.Running), Waiting: int64(load.Waiting), Slots: int64(load.Slots)}
	}
	return head
}

func encodeRequest(s *relay.UpstreamRequest, now time.Time) *pb.ForwardedRequest {
	req := &pb.ForwardedRequest{
		Id: s.Request.ID, Method: s.Request.Method, Host: s.Request.Host, RequestUri: s.Request.RequestURI,
		Header: encodeHeader(s.Request.Header), Body: s.Request.Body.Bytes(), Workspace: s.Workspace,
		RemainingMs: s.Deadline.Sub(now).Milliseconds(), ResumeAfter: s.ResumeAfter, Repeatable: s.Repeatable,
	}
	if s.Priority != nil {
		priority := int32(*s.Priority)
		req.Priority = &priority
	}
	if s.Source != nil {
		req.SourceAddress, req.SourceDataCentre = s.Source.Address, s.Source.DataCentre
	}
	return req
}

func decodeRequest(req *pb.ForwardedRequest, target placement.Target, now time.Time) *relay.UpstreamRequest {
	s := &relay.UpstreamRequest{
		Request: &relay.Request{
			ID: req.Id, Method: req.Method, Host: req.Host, RequestURI: req.RequestUri,
			Header: decodeHeader(req.Header), Body: relay.Body{req.Body}, Arrived: now,
		},
		Target: target, Workspace: req.Workspace, ResumeAfter: req.ResumeAfter, Repeatable: req.Repeatable,
		Deadline: now.Add(time.Duration(req.RemainingMs) * time.Millisecond),
	}
	if req.Priority != nil {
		priority := int(*req.Priority)
		s.Priority = &priority
	}
	if req.SourceAddress != "" {
		s.Source = &placement.Target{Address: req.SourceAddress, DataCentre: req.SourceDataCentre}
	}
	return s
}
