package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
)

// errUnexpectedMessage means that an accepted offer wasn't followed by its request.
var errUnexpectedMessage = status.Error(codes.InvalidArgument, "an accepted offer must be followed by the request")

// forwarded is one request of another gateway.
type forwarded struct {
	server *Server
	stream pb.ForwardService_ForwardServer
	lease  *placement.Lease
	id     string
}

// serve receives the request, sends it to the target and passes the response on.
func (f *forwarded) serve() error {
	now := f.server.Now
	req, err := f.receiveRequest()
	if err != nil {
		f.lease.Done(placement.Neutral, now())
		return err
	}
	f.id = req.Id
	f.server.Metrics.served.Inc()
	send := decodeRequest(req, f.lease.Target(), now())
	if f.server.Targets.Evacuated(send.Target.DataCentre) {
		// The evacuation began after the offer was accepted.
		f.lease.Done(placement.Neutral, now())
		return f.sendEnd(&pb.ForwardEnd{Result: pb.ForwardResult_FORWARD_RESULT_UNREACHABLE, Message: "the target's data centre is evacuated"})
	}
	if send.Source != nil && f.server.Targets.Evacuated(send.Source.DataCentre) {
		send.Source = nil
	}
	ctx, cancel := context.WithDeadline(f.stream.Context(), send.Deadline)
	defer cancel()
	f.server.Egress.Add(len(req.Body), now())
	response, err := f.server.Upstream.Send(ctx, send)
	if err != nil {
		return f.endSend(ctx, err)
	}
	defer response.Close()
	return f.passOn(ctx, response)
}

// receiveRequest receives the request that follows an accepted offer.
func (f *forwarded) receiveRequest() (*pb.ForwardedRequest, error) {
	type result struct {
		message *pb.ForwardRequest
		err     error
	}
	received := make(chan result, 1)
	go func() {
		message, err := f.stream.Recv()
		received <- result{message, err}
	}()
	timeout := time.NewTimer(requestTimeout)
	defer timeout.Stop()
	select {
	case r := <-received:
		if r.err == nil && r.message.GetRequest() == nil {
			return nil, errUnexpectedMessage
		}
		return r.message.GetRequest(), r.err
	case <-timeout.C:
		return nil, context.DeadlineExceeded
	}
}

// endSend ends a request that got no response.
func (f *forwarded) endSend(ctx context.Context, err error) error {
	end := &pb.ForwardEnd{Message: err.Error()}
	result := relay.AttemptResult(ctx, err)
	var refusal *relay.Refusal
	switch errkind.FromError(err).Kind {
	case errkind.TargetUnreachable:
		end.Result, result = pb.ForwardResult_FORWARD_RESULT_UNREACHABLE, placement.Unreachable
	case errkind.TargetRefused:
		end.Result, result = pb.ForwardResult_FORWARD_RESULT_REFUSED, placement.Refused
		if errors.As(err, &refusal) {
			end.Status, end.Misdirected, end.Announcement = int32(refusal.Status), refusal.Misdirected, encodeAnnouncement(refusal.Announcement)
		}
		if refusal != nil && !refusal.Misdirected {
			f.lease.Announce(refusal.Announcement, f.server.Now())
		}
	default:
		end.Result, end.ConnectionLost = failedResult(result), relay.IsConnectionLoss(err)
	}
	f.lease.Done(result, f.server.Now())
	return f.sendEnd(end)
}

// passOn passes a response on until it ends.
func (f *forwarded) passOn(ctx context.Context, response relay.UpstreamResponse) error {
	if load := response.Load(); load != nil {
		f.lease.ReportLoad(*load, f.server.Now())
	}
	f.lease.Announce(response.Announcement(), f.server.Now())
	err := f.stream.Send(&pb.ForwardResponse{Part: &pb.ForwardResponse_Head{Head: encodeHead(response)}})
	buffer := make([]byte, chunkBytes)
	for err == nil {
		n, readErr := response.Read(buffer)
		if n > 0 {
			f.lease.RecordProgress(f.server.Now())
			f.server.Egress.Add(n, f.server.Now())
			err = f.stream.Send(&pb.ForwardResponse{Part: &pb.ForwardResponse_Body{Body: buffer[:n]}})
		}
		if readErr != nil {
			return f.endResponse(ctx, response.Status(), readErr)
		}
	}
	f.lease.Done(placement.Neutral, f.server.Now())
	return err
}

// endResponse ends a response whose reading ended with an error, io.EOF if it is
// complete.
func (f *forwarded) endResponse(ctx context.Context, httpStatus int, readErr error) error {
	if errors.Is(readErr, io.EOF) {
		result := placement.OK
		if httpStatus >= http.StatusInternalServerError {
			result = placement.Failed
		}
		f.lease.Done(result, f.server.Now())
		return f.sendEnd(&pb.ForwardEnd{Result: pb.ForwardResult_FORWARD_RESULT_COMPLETE})
	}
	result := relay.AttemptResult(ctx, readErr)
	f.lease.Done(result, f.server.Now())
	return f.sendEnd(&pb.ForwardEnd{Result: failedResult(result), Message: readErr.Error(), ConnectionLost: relay.IsConnectionLoss(readErr)})
}

func (f *forwarded) sendEnd(end *pb.ForwardEnd) error {
	f.server.Log.Info("forward: a request of another gateway has ended.", zap.String("request", f.id),
		zap.String("target", f.lease.Target().ID), zap.Stringer("result", end.Result), zap.String("error", end.Message))
	return f.stream.Send(&pb.ForwardResponse{Part: &pb.ForwardResponse_End{End: end}})
}

func failedResult(result placement.Result) pb.ForwardResult {
	if result == placement.Silent {
		return pb.ForwardResult_FORWARD_RESULT_SILENT
	}
	return pb.ForwardResult_FORWARD_RESULT_FAILED
}
