package dispatch

import (
	"context"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/target"
)

// Target returns the target that the stream runs at.
func (s *Stream) Target() *pb.Target { return s.sent.lease.Target() }

// InheritDigest makes a resumed stream check the contents from the first event on.
func (s *Stream) InheritDigest(broken *Stream) { s.Stream.InheritDigest(broken.Stream) }

// Resume goes on with a stream at the target that the call names, from an
// offset. It isn't new work, so a target that is leaving takes it too.
func (d *Dispatcher) Resume(ctx context.Context, call target.Call, stream string, from int64) (*Stream, error) {
	lease, ok := d.table.Attach(call.Target.GetName())
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "the target of this stream isn't known")
	}
	s := &sent{lease: lease, start: time.Now(), room: d.room(call.Target.GetService())}
	up, err := d.client.Resume(ctx, call, stream, from)
	if err != nil {
		s.done(err)
		return nil, err
	}
	s.firstByte = time.Since(s.start)
	s.reportStart()
	return &Stream{Stream: up, sent: s}, nil
}

// Reconnect goes on with a stream that broke off with cause, on a new
// connection, within the retry budget and the call's deadline. The error is
// that of the last try.
func (d *Dispatcher) Reconnect(ctx context.Context, call target.Call, stream string, from int64, cause error) (*Stream, error) {
	plan := Request{Call: call, Kind: pb.CallKind_CALL_KIND_MODEL}
	plan.Call.NewConnection = true
	for tries := 1; d.again(ctx, &plan, tries, cause); tries++ {
		d.stats.Retries.Add(1)
		s, err := d.Resume(ctx, plan.Call, stream, from)
		if err == nil {
			return s, nil
		}
		cause = err
	}
	return nil, cause
}
