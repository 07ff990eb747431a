package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
)

// Guards against requests that a stopping router passes on and then cuts: it refuses those that
// it could cut, also if they became late while they waited. One that was sent goes on.
func TestLateRequestIsRefusedBeforeItIsSent(t *testing.T) {
	for _, c := range []struct{ checks, sends int }{{0, 0}, {1, 0}, {2, 2}} {
		is := is.New(t)
		r, up := newLateRelay(c.checks)
		out := serveWith(context.Background(), r, &Request{ID: "1"})
		is.Equal(len(up.sends), c.sends)
		if c.sends > 0 {
			is.Equal(out.status, 200)
			continue
		}
		is.Equal(out.refused.Kind, errkind.Draining)
		is.True(out.refused.RetryAfter > 0)
	}
}

// newLateRelay returns a relay for which requests are too late after a number of checks.
func newLateRelay(checks int) (*Relay, *upstream) {
	up := &upstream{outcomes: []outcome{{status: 500}, {status: 200, body: "done"}}}
	r := newRelay(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, up)
	r.TooLate = func(time.Time) bool {
		checks--
		return checks < 0
	}
	return r, up
}
