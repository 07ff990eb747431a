package processtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/standin/target"
)

// shortTimeouts shortens the timeouts by which the router detects a connection
// on which nothing arrives.
func shortTimeouts(s *pb.RouterSettings) {
	s.Routing.FirstByteTimeout = durationpb.New(500 * time.Millisecond)
	s.Routing.TokenGapTimeout = durationpb.New(500 * time.Millisecond)
}

// maxRetries is the retry limit of the router: a burst of 20 plus a tenth of the
// requests.
func maxRetries(requests int) int { return 20 + requests/10 }

// All pooled connections to the engines stop delivering data without being
// closed. New calls must succeed within their deadline, streams in progress must
// complete, and the number of retries must stay bounded.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	for _, silence := range []target.Silence{target.SilenceBoth, target.SilenceResponses} {
		t.Run(string(silence), func(t *testing.T) {
			t.Parallel()
			testSilentConnections(t, silence)
		})
	}
}

func testSilentConnections(t *testing.T, silence target.Silence) {
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 91, Centres: []string{"cluj-a"}, EnginesPerCentre: 2, Settings: shortTimeouts})
	r := f.Routers[0]
	warmUp(t, r) // leaves idle connections in the pool
	var streams conc.WaitGroup
	const open, calls = 4, 12
	for n := range open {
		streams.Go(func() { readToEnd(t, r, ChatRequest(fmt.Sprintf("open-%d", n), 200, true)) })
	}
	Eventually(t, "the streams are running", func() bool { return r.Vars().Streams == open })
	runs := f.totalEngineRuns()
	for _, g := range f.Engines {
		g.SetFaults(target.Faults{Silence: silence})
	}
	for n := range calls {
		q := ChatRequest(fmt.Sprintf("new-%d", n), 10, n%2 == 0)
		q.Deadline = 10 * time.Second
		if n%2 == 0 {
			streams.Go(func() { readToEnd(t, r, q) })
			continue
		}
		streams.Go(func() {
			if reply := r.MustDo(q); !reply.OK() {
				t.Errorf("%s: %+v", q.IdempotencyKey, reply.Error)
			}
		})
	}
	streams.Wait()
	extra := f.totalEngineRuns() - runs - calls
	t.Logf("%s: %d runs beyond the %d calls", silence, extra, calls)
	is.True(extra <= maxRetries(calls)) // no retry storm
	f.waitBillsMatchSpent()
	f.Budget()
}

func readToEnd(t *testing.T, r *Router, q Request) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	var stream StreamedResponse
	if err := r.ReadStream(ctx, q, &stream, nil); err != nil {
		t.Errorf("read stream %s after %d tokens: %v", q.IdempotencyKey, stream.Tokens, err)
	}
}

// The pooled connections to plain services stop delivering data. Lookups must be
// retried with success. Actions must run at most once and succeed, and their
// responses must match what the services counted.
func TestSilentPlainService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 92, Centres: []string{"cluj-a"}, Services: 2, Settings: shortTimeouts})
	r := f.Routers[0]
	for n := range 20 {
		is.True(r.MustDo(LookupRequest(fmt.Sprintf("warm-%d", n))).OK())
	}
	for _, g := range f.Services {
		g.SetFaults(target.Faults{Silence: target.SilenceBoth})
	}
	for n := range 10 {
		q := LookupRequest(fmt.Sprintf("lookup-%d", n))
		q.Deadline = 10 * time.Second
		is.True(r.MustDo(q).OK())
		act := ActionRequest(fmt.Sprintf("action-%d", n))
		act.Deadline = 10 * time.Second
		response := r.MustDo(act)
		f.checkResponse(act, response)
		is.True(response.OK()) // an action uses a new connection of its own
	}
}
