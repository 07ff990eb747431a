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

// shortSilence sets the limits by which a silent connection is found.
func shortSilence(s *pb.RouterSettings) {
	s.Routing.FirstByteTimeout = durationpb.New(500 * time.Millisecond)
	s.Routing.TokenGapTimeout = durationpb.New(500 * time.Millisecond)
}

// mostRetries is the router's retry burst and a tenth of the requests.
func mostRetries(requests int) int { return 20 + requests/10 }

// All pooled connections of the engines go silent. New calls recover within
// their deadline, streams in progress end whole, and retries are bounded.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	for _, silence := range []target.Silence{target.SilenceBoth, target.SilenceResponses} {
		t.Run(string(silence), func(t *testing.T) {
			t.Parallel()
			testSilent(t, silence)
		})
	}
}

func testSilent(t *testing.T, silence target.Silence) {
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 91, Centres: []string{"cluj-a"}, EnginesPerCentre: 2, Settings: shortSilence})
	r := f.Routers[0]
	warm(t, r) // leaves idle connections behind
	var streams conc.WaitGroup
	const open, calls = 4, 12
	for n := range open {
		streams.Go(func() { readWhole(t, r, ChatRequest(fmt.Sprintf("open-%d", n), 200, true)) })
	}
	Eventually(t, "the streams run", func() bool { return r.Vars().Streams == open })
	runs := f.totalRuns()
	for _, g := range f.Engines {
		g.SetFaults(target.Faults{Silence: silence})
	}
	for n := range calls {
		q := ChatRequest(fmt.Sprintf("new-%d", n), 10, n%2 == 0)
		q.Deadline = 10 * time.Second
		if n%2 == 0 {
			streams.Go(func() { readWhole(t, r, q) })
			continue
		}
		streams.Go(func() {
			if reply := r.MustDo(q); !reply.OK() {
				t.Errorf("%s: %+v", q.IdempotencyKey, reply.Error)
			}
		})
	}
	streams.Wait()
	extra := f.totalRuns() - runs - calls
	t.Logf("%s: %d runs beyond the %d calls", silence, extra, calls)
	is.True(extra <= mostRetries(calls)) // no retry storm
	f.waitSpent()
	f.Budget()
}

func readWhole(t *testing.T, r *Router, q Request) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	var a StreamedResponse
	if err := r.ReadStream(ctx, q, &a, nil); err != nil {
		t.Errorf("%s after %d tokens: %v", q.IdempotencyKey, a.Tokens, err)
	}
}

// The connections of a plain service go silent under lookups and actions.
// Lookups recover; actions run at most once and are told truly.
func TestSilentPlainService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 92, Centres: []string{"cluj-a"}, Services: 2, Settings: shortSilence})
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
		reply := r.MustDo(act)
		f.checkTold(act, reply)
		is.True(reply.OK()) // an action has a connection of its own
	}
}
