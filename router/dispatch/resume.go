package dispatch

import (
	"context"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/target"
)

// Target returns the target that runs the stream.
func (s *Stream) Target() *pb.Target { return s.attempt.lease.Target() }

// InheritDigest makes a resumed stream verify the contents from the first event
// on, as target.Stream.InheritDigest does.
func (s *Stream) InheritDigest(broken *Stream) { s.Stream.InheritDigest(broken.Stream) }

// Resume resumes a stream at the call's target, from an offset. A resume isn't
// new work, so a leaving target accepts it too.
func (d *Dispatcher) Resume(ctx context.Context, call target.Call, stream string, from int64) (*Stream, error) {
	lease, ok := d.table.Attach(call.Target.GetName())
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "the target of this stream is unknown")
	}
	a := &attempt{lease: lease, start: time.Now(), queue: d.queueFor(call.Target.GetService())}
	resumed, err := d.client.Resume(ctx, call, stream, from)
	if err != nil {
		a.release(err)
		return nil, err
	}
	a.firstByte = time.Since(a.start)
	a.reportFirstByte()
	return &Stream{Stream: resumed, attempt: a}, nil
}

// Reconnect resumes a stream that failed with cause, on a new connection and
// within the retry budget and the call's deadline. The error is that of the
// last attempt.
func (d *Dispatcher) Reconnect(ctx context.Context, call target.Call, stream string, from int64, cause error) (*Stream, error) {
	req := Request{Call: call, Kind: pb.CallKind_CALL_KIND_MODEL}
	req.Call.NewConnection = true
	for attempts := 1; d.waitToRetry(ctx, &req, attempts, cause); attempts++ {
		d.stats.Retries.Add(1)
		s, err := d.Resume(ctx, req.Call, stream, from)
		if err == nil {
			return s, nil
		}
		cause = err
	}
	return nil, cause
}
