package serve

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/dispatch"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/target"
)

// Stream is a streamed response to a caller. It isn't safe for concurrent use.
type Stream struct {
	server      *Server
	req         *Request
	reservation *ledger.Reservation
	upstream    *dispatch.Stream
	// nextOffset is the offset of the next event to deliver.
	nextOffset        int64
	firstByteRecorded bool
	ended             bool
}

// Event is one event for the caller.
type Event struct {
	Position Position
	// Data is valid until the next call of Next.
	Data []byte
	// End is set on the last event of a complete stream.
	End *target.EndEvent
}

// OpenStream starts or resumes a streamed model call. It returns when the
// engine has accepted the call. The error is an *errkind.Error.
//
// The engine call isn't cancelled with ctx, which ends when the caller
// disconnects: a call that was sent must be tracked until it is billed.
func (s *Server) OpenStream(ctx context.Context, r *Request) (*Stream, error) {
	s.active.Add(1)
	s.streams.Add(1)
	st, err := s.open(ctx, r)
	if err != nil {
		s.streams.Add(-1)
		s.active.Done()
	}
	return st, err
}

func (s *Server) open(ctx context.Context, r *Request) (*Stream, error) {
	parked, err := s.runs.claim(r.ID, requestDigest(r))
	if err != nil {
		return nil, err
	}
	st, err := s.start(ctx, r, parked)
	if err != nil {
		s.runs.remove(r.ID)
	}
	return st, err
}

func (s *Server) start(ctx context.Context, r *Request, p *parkedStream) (*Stream, error) {
	if p != nil {
		return s.unpark(ctx, r, p)
	}
	if r.ResumeAfter != nil {
		return s.resume(ctx, r)
	}
	res, err := s.reserve(ctx, r)
	if err != nil {
		return nil, err
	}
	st := &Stream{server: s, req: r, reservation: res}
	err = st.openNew(ctx)
	if err != nil {
		endFailedReservation(res, target.RunState(err))
		return nil, err
	}
	return st, nil
}

// unpark resumes a stream that this router has parked.
func (s *Server) unpark(ctx context.Context, r *Request, p *parkedStream) (*Stream, error) {
	st := &Stream{server: s, req: r, reservation: p.reservation}
	if r.ResumeAfter != nil {
		st.nextOffset = r.ResumeAfter.Offset + 1
	}
	err := st.attach(ctx, p.target, p.stream)
	if err != nil {
		s.settleInBackground(r, p)
		return nil, err
	}
	return st, nil
}

// openNew dispatches the request to a target, and to further targets as long as
// none has sent a first event.
func (st *Stream) openNew(ctx context.Context) error {
	upstream, err := st.server.Dispatch.Stream(detach(ctx), st.server.dispatchRequest(st.req))
	if err != nil {
		return err
	}
	st.setUpstream(upstream)
	return nil
}

// setUpstream makes an engine's stream the source of events.
func (st *Stream) setUpstream(upstream *dispatch.Stream) {
	name := upstream.Target().Name
	st.upstream = upstream
	st.reservation.SetRun(runID(name, upstream.ID()))
	st.server.runs.recordDispatch(st.req.ID, name, upstream.ID())
}

// asParked returns what is needed to cancel or resume the stream later.
func (st *Stream) asParked() *parkedStream {
	return &parkedStream{target: st.upstream.Target(), stream: st.upstream.ID(), reservation: st.reservation}
}

// resume resumes a stream that another router dispatched. That router is asked
// to hand over its reservation. If none does, because it crashed or is
// unreachable, the bound is reserved here as well; the run is still billed
// once, since both reservations have the same run ID.
func (s *Server) resume(ctx context.Context, r *Request) (*Stream, error) {
	position := r.ResumeAfter
	t, ok := s.findTarget(r.Service.Name, position.Target)
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "the target of this stream is unknown")
	}
	res, handedOver := s.takeover(ctx, r)
	if !handedOver {
		var err error
		res, err = s.reserve(ctx, r)
		if err != nil {
			return nil, err
		}
	}
	st := &Stream{server: s, req: r, reservation: res, nextOffset: position.Offset + 1}
	err := st.attach(ctx, t, position.Stream)
	if err == nil {
		return st, nil
	}
	if handedOver {
		s.settleInBackground(r, &parkedStream{target: t, stream: position.Stream, reservation: res})
	} else {
		res.Release()
	}
	return nil, err
}

// attach resumes an engine's stream at nextOffset.
func (st *Stream) attach(ctx context.Context, t *pb.Target, stream string) error {
	s := st.server
	upstream, err := s.Dispatch.Resume(detach(ctx), s.targetCall(st.req, t), stream, st.nextOffset)
	if err != nil {
		return errkind.Wrap(errkind.TargetFailed, err, "the stream can't be resumed")
	}
	st.setUpstream(upstream)
	st.firstByteRecorded = st.nextOffset > 0
	s.record(st.req, pb.EventKind_EVENT_KIND_RESUMED, t.Name, st.nextOffset, "")
	return nil
}

// Next returns the next event. After an event with End the response is complete
// and billed. A stream that fails is resumed at its engine if possible; else
// the error is an *errkind.Error, and the stream has ended. When ctx ends, the
// caller must call Park.
func (st *Stream) Next(ctx context.Context) (Event, error) {
	for {
		ev, err := st.upstream.Next(ctx)
		if err == nil && st.exceedsReservation(ev) {
			return Event{}, st.cancelOverrun()
		}
		if err == nil {
			return st.deliver(ev), nil
		}
		if ctx.Err() != nil {
			return Event{}, ctx.Err()
		}
		err = st.reconnect(ctx, err)
		if err != nil {
			return Event{}, err
		}
	}
}

// Ready reports whether the next event has already arrived, so that it can be
// sent in the same packet as the previous one.
func (st *Stream) Ready() bool { return !st.ended && st.upstream.Ready() }

func (st *Stream) deliver(ev target.Event) Event {
	name := st.upstream.Target().Name
	if !st.firstByteRecorded {
		st.firstByteRecorded = true
		st.server.record(st.req, pb.EventKind_EVENT_KIND_FIRST_BYTE, name, 0, "")
	}
	st.nextOffset = ev.Offset + 1
	out := Event{
		Position: Position{Target: name, Stream: st.upstream.ID(), Offset: ev.Offset},
		Data:     ev.Data,
		End:      ev.End,
	}
	if ev.End != nil {
		st.finish(totalTokens(ev.End.Usage))
	}
	return out
}

// exceedsReservation reports whether an engine sent more tokens than reserved.
func (st *Stream) exceedsReservation(ev target.Event) bool {
	return ev.End == nil && ev.Offset >= st.req.MaxTotalTokens()
}

// cancelOverrun cancels a stream that exceeded its reservation.
func (st *Stream) cancelOverrun() error {
	st.abort("past the token bound")
	return errkind.New(errkind.TargetFailed, "the target exceeded the reserved tokens; its stream was cancelled")
}

// reconnect resumes an interrupted stream at its engine, or aborts it.
func (st *Stream) reconnect(ctx context.Context, cause error) error {
	s := st.server
	t := st.upstream.Target()
	s.record(st.req, pb.EventKind_EVENT_KIND_CUT, t.Name, st.nextOffset, errkind.KindOf(cause).String())
	st.upstream.Close()
	upstream, err := s.Dispatch.Reconnect(detach(ctx), s.targetCall(st.req, t), st.upstream.ID(), st.nextOffset, cause)
	if err != nil {
		st.abort(errkind.KindOf(err).String())
		return errkind.Wrap(errkind.TargetFailed, err, "the stream was interrupted and can't be resumed now")
	}
	upstream.InheritDigest(st.upstream)
	st.setUpstream(upstream)
	s.record(st.req, pb.EventKind_EVENT_KIND_RESUMED, t.Name, st.nextOffset, "")
	return nil
}

// abort ends a stream that can't be completed. The engine is told to cancel it
// and its usage is billed.
func (st *Stream) abort(why string) {
	s := st.server
	st.upstream.Close()
	s.record(st.req, pb.EventKind_EVENT_KIND_CUT, st.upstream.Target().Name, st.nextOffset, why)
	s.runs.remove(st.req.ID)
	s.settleInBackground(st.req, st.asParked())
	st.finishRequest()
}

// finish bills a complete stream and ends it.
func (st *Stream) finish(tokens int64) {
	s := st.server
	s.bill(st.req, st.reservation, st.upstream.Target().Name, tokens)
	st.upstream.Close()
	s.runs.remove(st.req.ID)
	st.finishRequest()
}

// Park detaches the caller from an incomplete stream: it parks the stream, or
// aborts it if the deadline has passed. It is a no-op on a stream that has
// ended.
func (st *Stream) Park() {
	if st.ended {
		return
	}
	s := st.server
	if !s.Now().Before(st.req.Deadline) {
		st.abort("the deadline passed")
		return
	}
	st.upstream.Close()
	s.record(st.req, pb.EventKind_EVENT_KIND_CUT, st.upstream.Target().Name, st.nextOffset, "the caller went away")
	s.park(st.req, st.asParked())
	st.finishRequest()
}

func (st *Stream) finishRequest() {
	if st.ended {
		return
	}
	st.ended = true
	st.server.streams.Add(-1)
	st.server.active.Done()
}

// detach returns a context with the values of ctx that is never cancelled.
func detach(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (s *Server) findTarget(service, name string) (*pb.Target, bool) {
	view := s.Config()
	if view == nil {
		return nil, false
	}
	t, ok := view.Target(name)
	return t, ok && t.Service == service
}
