package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
)

// sent is one send and its place at the target.
type sent struct {
	lease     route.Lease
	room      *waitRoom
	start     time.Time
	firstByte time.Duration
	// started says that the first byte was reported already.
	started bool
	once    sync.Once
}

// reportStart reports the first byte of a stream.
func (s *sent) reportStart() {
	s.started = true
	s.lease.RecordFirstByte(s.firstByte, time.Now())
	s.room.wake()
}

// done gives the place back, once, with what the call showed.
func (s *sent) done(err error) {
	s.once.Do(func() {
		result := resultOf(err)
		if result == route.OK && s.started {
			result = route.Neutral
		}
		s.lease.Done(route.Outcome{Result: result, FirstByte: s.firstByte, Now: time.Now()})
		s.room.wake()
	})
}

// resultOf returns what a call showed of its target. A reused connection that
// broke or fell silent shows nothing: new ones may work.
func resultOf(err error) route.Result {
	if errors.Is(err, target.ErrReusedConnection) && errkind.KindOf(err) != errkind.AnswerMismatch {
		return route.Neutral
	}
	return route.ResultOf(err)
}

// Stream is a streamed answer that holds its place at the target until Close.
type Stream struct {
	*target.Stream
	sent *sent
	// first is the first event, until it is returned.
	first *target.Event
}

// Next returns the next event as target.Stream does.
func (s *Stream) Next(ctx context.Context) (target.Event, error) {
	e, err := s.next(ctx)
	ended := e.End != nil
	failed := err != nil && ctx.Err() == nil
	if ended || failed {
		s.sent.done(err)
	}
	return e, err
}

func (s *Stream) next(ctx context.Context) (target.Event, error) {
	if s.first == nil {
		return s.Stream.Next(ctx)
	}
	e := *s.first
	s.first = nil
	return e, nil
}

// Ready tells whether Next wouldn't wait.
func (s *Stream) Ready() bool { return s.first != nil || s.Stream.Ready() }

// Close ends the stream and gives its place back.
func (s *Stream) Close() {
	s.Stream.Close()
	s.sent.done(context.Canceled)
}
