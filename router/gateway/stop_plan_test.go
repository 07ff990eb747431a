package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Requests that are sent no later than three eighths into the grace may run on in its last
// sixth; all later ones must have been answered by its end.
func TestStopPlan(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 60 * time.Second} {
		is := is.New(t)
		began := time.Unix(1000, 0)
		p := newStopPlan(began, grace)
		is.True(!p.late.After(began.Add(3 * grace / 8)))
		is.True(p.late.Before(p.closing))
		is.True(p.closing.Before(p.lateDeadline))
		is.True(p.lateDeadline.Before(p.requests))
		is.True(!p.requests.Before(began.Add(5 * grace / 6)))
		is.True(p.requests.Before(p.tokens))
		is.True(p.tokens.Before(p.limit))
		is.True(p.limit.Before(began.Add(grace)))

		is.True(!p.tooLate(p.requests, p.late.Add(-1)))
		is.True(p.tooLate(p.requests, p.late))
		is.True(!p.tooLate(p.lateDeadline, p.closing))
		is.True(!(*stopPlan)(nil).tooLate(p.requests, p.closing))
	}
}
