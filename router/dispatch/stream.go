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

// attempt is one send of a request, with the lease of its target.
type attempt struct {
	lease     route.Lease
	queue     *waitQueue
	start     time.Time
	firstByte time.Duration
	// firstByteReported is set once firstByte was reported to the route table.
	firstByteReported bool
	releaseOnce       sync.Once
}

// reportFirstByte reports the time to the first byte of a stream to the route
// table.
func (a *attempt) reportFirstByte() {
	a.firstByteReported = true
	a.lease.RecordFirstByte(a.firstByte, time.Now())
	a.queue.wakeNext()
}

// release returns the lease with the result of the call. Only the first release
// has an effect.
func (a *attempt) release(err error) {
	a.releaseOnce.Do(func() {
		result := resultOf(err)
		if result == route.OK && a.firstByteReported {
			result = route.Neutral
		}
		a.lease.Done(route.Outcome{Result: result, FirstByte: a.firstByte, Now: time.Now()})
		a.queue.wakeNext()
	})
}

// resultOf returns the result of a call for the health of its target. The failure
// of a reused connection is neutral: new connections may work.
func resultOf(err error) route.Result {
	if errors.Is(err, target.ErrReusedConnection) && errkind.KindOf(err) != errkind.AnswerMismatch {
		return route.Neutral
	}
	return route.ResultOf(err)
}

// Stream is a streamed response that holds the lease of its target until it ends
// or is closed.
type Stream struct {
	*target.Stream
	attempt *attempt
	// first is the first event, until it is returned.
	first *target.Event
}

// Next returns the next event, as target.Stream does.
func (s *Stream) Next(ctx context.Context) (target.Event, error) {
	e, err := s.next(ctx)
	ended := e.End != nil
	failed := err != nil && ctx.Err() == nil
	if ended || failed {
		s.attempt.release(err)
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

// Ready reports whether Next would return without waiting.
func (s *Stream) Ready() bool { return s.first != nil || s.Stream.Ready() }

// Close ends the stream and releases its lease.
func (s *Stream) Close() {
	s.Stream.Close()
	s.attempt.release(context.Canceled)
}
