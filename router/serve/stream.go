package serve

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/dispatch"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/target"
)

// Stream is one streamed answer on its way to a caller. One goroutine uses it.
type Stream struct {
	server *Server
	req    *Request
	res    *ledger.Reservation
	up     *dispatch.Stream
	// next is the offset of the next event to pass on.
	next  int64
	first bool
	ended bool
}

// Event is one event for the caller.
type Event struct {
	Position Position
	// Data is valid until the next call of Next.
	Data []byte
	// End is set on the last event of a whole answer.
	End *target.EndEvent
}

// OpenStream starts or resumes a streamed model call. It returns when the
// engine has accepted the call. The error is an *errkind.Error.
//
// The engine call isn't bound to ctx, which ends when the caller goes away:
// a call that was sent must be known until it is billed.
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

func (s *Server) start(ctx context.Context, r *Request, p *parked) (*Stream, error) {
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
	st := &Stream{server: s, req: r, res: res}
	err = st.openNew(ctx)
	if err != nil {
		endReservation(res, target.RunState(err))
		return nil, err
	}
	return st, nil
}

// unpark goes on with a stream that this router has parked.
func (s *Server) unpark(ctx context.Context, r *Request, p *parked) (*Stream, error) {
	st := &Stream{server: s, req: r, res: p.res}
	if r.ResumeAfter != nil {
		st.next = r.ResumeAfter.Offset + 1
	}
	err := st.attach(ctx, p.target, p.stream)
	if err != nil {
		s.finishInBackground(r, p)
		return nil, err
	}
	return st, nil
}

// openNew dispatches to a picked target, and to others while none has sent a
// first event.
func (st *Stream) openNew(ctx context.Context) error {
	up, err := st.server.Dispatch.Stream(detach(ctx), st.server.plan(st.req))
	if err != nil {
		return err
	}
	st.follow(up)
	return nil
}

// follow takes a stream of the engine as the source of events.
func (st *Stream) follow(up *dispatch.Stream) {
	name := up.Target().Name
	st.up = up
	st.res.SetRun(runName(name, up.ID()))
	st.server.runs.dispatched(st.req.ID, name, up.ID())
}

// asParked returns what is needed to end or resume the stream later.
func (st *Stream) asParked() *parked {
	return &parked{target: st.up.Target(), stream: st.up.ID(), res: st.res}
}

// resume goes on with a stream that another router dispatched. That router is
// asked to hand over its reservation. Where none does, because it is dead or
// cut off, the bound is reserved here as well; the bill is still one, since
// both name the same run.
func (s *Server) resume(ctx context.Context, r *Request) (*Stream, error) {
	p := r.ResumeAfter
	t, ok := s.findTarget(r.Service.Name, p.Target)
	if !ok {
		return nil, errkind.New(errkind.UnknownRequest, "the target of this stream is not known")
	}
	res, handed := s.takeover(ctx, r)
	if !handed {
		var err error
		res, err = s.reserve(ctx, r)
		if err != nil {
			return nil, err
		}
	}
	st := &Stream{server: s, req: r, res: res, next: p.Offset + 1}
	err := st.attach(ctx, t, p.Stream)
	if err == nil {
		return st, nil
	}
	if handed {
		s.finishInBackground(r, &parked{target: t, stream: p.Stream, res: res})
	} else {
		res.Release()
	}
	return nil, err
}

// attach resumes an engine's stream at the next offset.
func (st *Stream) attach(ctx context.Context, t *pb.Target, stream string) error {
	s := st.server
	up, err := s.Dispatch.Resume(detach(ctx), s.call(st.req, t), stream, st.next)
	if err != nil {
		return errkind.Wrap(errkind.TargetFailed, err, "the stream can't be resumed")
	}
	st.follow(up)
	st.first = st.next > 0
	s.record(st.req, pb.EventKind_EVENT_KIND_RESUMED, t.Name, st.next, "")
	return nil
}

// Next returns the next event. After an event with End the answer is whole
// and billed. A stream that fails is resumed at its engine where that helps;
// else the error is an *errkind.Error, and the stream has ended. When ctx
// ends, the caller must call Park.
func (st *Stream) Next(ctx context.Context) (Event, error) {
	for {
		ev, err := st.up.Next(ctx)
		if err == nil && st.overruns(ev) {
			return Event{}, st.cutOverrun()
		}
		if err == nil {
			return st.passOn(ev), nil
		}
		if ctx.Err() != nil {
			return Event{}, ctx.Err()
		}
		err = st.recover(ctx, err)
		if err != nil {
			return Event{}, err
		}
	}
}

// Ready tells whether the next event has come already, so that it may share a
// packet with the one before.
func (st *Stream) Ready() bool { return !st.ended && st.up.Ready() }

func (st *Stream) passOn(ev target.Event) Event {
	name := st.up.Target().Name
	if !st.first {
		st.first = true
		st.server.record(st.req, pb.EventKind_EVENT_KIND_FIRST_BYTE, name, 0, "")
	}
	st.next = ev.Offset + 1
	out := Event{
		Position: Position{Target: name, Stream: st.up.ID(), Offset: ev.Offset},
		Data:     ev.Data,
		End:      ev.End,
	}
	if ev.End != nil {
		st.finish(total(ev.End.Usage))
	}
	return out
}

// overruns tells whether an engine went past the tokens reserved.
func (st *Stream) overruns(ev target.Event) bool {
	return ev.End == nil && ev.Offset >= st.req.MaxTotalTokens()
}

// cutOverrun cancels an engine that doesn't keep to its bound.
func (st *Stream) cutOverrun() error {
	st.breakOff("past the token bound")
	return errkind.New(errkind.TargetFailed, "the target went past the tokens reserved and was cancelled")
}

// recover resumes a broken stream at its engine, or ends it.
func (st *Stream) recover(ctx context.Context, cause error) error {
	s := st.server
	t := st.up.Target()
	s.record(st.req, pb.EventKind_EVENT_KIND_CUT, t.Name, st.next, errkind.KindOf(cause).String())
	st.up.Close()
	up, err := s.Dispatch.Reconnect(detach(ctx), s.call(st.req, t), st.up.ID(), st.next, cause)
	if err != nil {
		st.breakOff(errkind.KindOf(err).String())
		return errkind.Wrap(errkind.TargetFailed, err, "the stream broke off and can't be resumed now")
	}
	up.InheritDigest(st.up)
	st.follow(up)
	s.record(st.req, pb.EventKind_EVENT_KIND_RESUMED, t.Name, st.next, "")
	return nil
}

// breakOff ends a stream that can't become whole. The engine is told to cancel
// and its usage is billed.
func (st *Stream) breakOff(why string) {
	s := st.server
	st.up.Close()
	s.record(st.req, pb.EventKind_EVENT_KIND_CUT, st.up.Target().Name, st.next, why)
	s.runs.remove(st.req.ID)
	s.finishInBackground(st.req, st.asParked())
	st.close()
}

// finish bills a whole answer.
func (st *Stream) finish(tokens int64) {
	s := st.server
	s.bill(st.req, st.res, st.up.Target().Name, tokens)
	st.up.Close()
	s.runs.remove(st.req.ID)
	st.close()
}

// Park ends the caller's part of a stream that isn't whole yet. It is a no-op
// on a stream that has ended.
func (st *Stream) Park() {
	if st.ended {
		return
	}
	s := st.server
	if !s.Now().Before(st.req.Deadline) {
		st.breakOff("the deadline passed")
		return
	}
	st.up.Close()
	s.record(st.req, pb.EventKind_EVENT_KIND_CUT, st.up.Target().Name, st.next, "the caller went away")
	s.park(st.req, st.asParked())
	st.close()
}

func (st *Stream) close() {
	if st.ended {
		return
	}
	st.ended = true
	st.server.streams.Add(-1)
	st.server.active.Done()
}

// detach keeps the values of ctx and drops its end.
func detach(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (s *Server) findTarget(service, name string) (*pb.Target, bool) {
	view := s.Config()
	if view == nil {
		return nil, false
	}
	t, ok := view.Target(name)
	return t, ok && t.Service == service
}
