package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/quarantine"
)

// crashGuard records what it is told. It refuses requests after a number of checks;
// never if that is 0.
type crashGuard struct {
	refuseAfter, checks int
	calls               []string
	traits              []quarantine.Trait
}

func (g *crashGuard) Refusal(traits []quarantine.Trait) *errkind.Error {
	g.checks++
	g.traits = traits
	if g.refuseAfter > 0 && g.checks > g.refuseAfter {
		return errkind.New(errkind.PromptRefused, "refused").WithRetryAfter(time.Minute)
	}
	return nil
}

func (g *crashGuard) Answered([]quarantine.Trait, time.Time) { g.calls = append(g.calls, "answered") }

func (g *crashGuard) ConnectionLost(e quarantine.Exchange) {
	g.calls = append(g.calls, "lost at "+e.Target.Service)
}

func (g *crashGuard) AnsweredUnlessCrashed(quarantine.Exchange, time.Time) {
	g.calls = append(g.calls, "answered unless crashed")
}

// servePrompt sends a request with a prompt through a relay.
func servePrompt(guard *crashGuard, route *catalog.Route, outcomes ...outcome) (*caller, *upstream) {
	up := &upstream{outcomes: outcomes}
	r := newRelay(route, up)
	r.Crashes = guard
	prompt := &Prompt{InputTokens: 30, MaxOutputTokens: 10, Parts: []PromptPart{{ID: "x", Tokens: 10}, {ID: "y", Tokens: 10}, {ID: "own", Tokens: 10}}}
	return serveWith(context.Background(), r, &Request{ID: "1", Prompt: prompt}), up
}

func resumable() *catalog.Route {
	return &catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 3}
}

// connectionLost is how the adapter reports a connection that the target lost.
func connectionLost(cause error) outcome {
	return outcome{err: errkind.Wrap(errkind.TargetFailed, fmt.Errorf("exchange: %w", cause), "broke")}
}

func TestRefusedPromptIsNotSent(t *testing.T) {
	is := is.New(t)
	g := &crashGuard{refuseAfter: 1, checks: 1}
	out, up := servePrompt(g, resumable(), good)
	is.Equal(len(up.sends), 0)
	is.Equal(out.refused.Kind, errkind.PromptRefused)
	is.True(out.refused.RetryAfter > 0)
	is.Equal(g.traits[:2], []quarantine.Trait{quarantine.PromptPartTrait("x"), quarantine.PromptPartTrait("y")}) // never the last
	is.Equal(len(g.traits), 3)
	is.Equal(g.traits[2].Kind, quarantine.WholeRequest)
}

// Guards against a request that crashes one target after the other: what became
// known since its last send holds for the next.
func TestPromptRefusedSinceTheLastSendIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	g := &crashGuard{refuseAfter: 2} // checked on arrival and before the send
	out, up := servePrompt(g, resumable(), connectionLost(syscall.ECONNRESET), good)
	is.Equal(len(up.sends), 1)
	is.Equal(out.refused.Kind, errkind.TargetFailed) // it may have run
	is.Equal(g.calls, []string{"lost at s"})
}

func TestLostConnectionsAreReported(t *testing.T) {
	is := is.New(t)
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		g := &crashGuard{}
		servePrompt(g, &catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, connectionLost(cause))
		is.Equal(g.calls, []string{"lost at s"})
	}
	for _, cause := range []error{syscall.ETIMEDOUT, errors.New("the response isn't HTTP")} {
		g := &crashGuard{}
		servePrompt(g, &catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, connectionLost(cause))
		is.Equal(len(g.calls), 0)
	}
}

func TestEndsOfAnswersAreReported(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		kind    catalog.Kind
		outcome outcome
		want    string
	}{
		{catalog.Stream, outcome{status: 200, body: firstEvents}, "answered"},
		{catalog.Stream, outcome{status: 200, body: firstEvents, truncated: true}, "lost at s"},
		{catalog.Stream, outcome{status: 200, body: firstEvents, endsWithConnection: true}, "answered unless crashed"},
		{catalog.AtMostOnce, outcome{status: 200, body: "x"}, "answered"},
		{catalog.AtMostOnce, outcome{status: 200, body: "x", truncated: true}, "lost at s"},
		{catalog.AtMostOnce, outcome{status: 200, body: "x", endsWithConnection: true}, "answered unless crashed"},
	} {
		g := &crashGuard{}
		servePrompt(g, &catalog.Route{Kind: c.kind, MaxAttempts: 1}, c.outcome)
		is.Equal(g.calls, []string{c.want})
	}
}

// Guards against incident inc1 of issue 28: connections lost under requests without a
// prompt weren't reported.
func TestRequestsWithoutAPromptAreReported(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		outcome outcome
		want    string
	}{
		{connectionLost(io.ErrUnexpectedEOF), "lost at s"},
		{outcome{status: 200, body: "x"}, "answered"},
	} {
		g := &crashGuard{}
		r := newRelay(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, &upstream{outcomes: []outcome{c.outcome}})
		r.Crashes = g
		serveWith(context.Background(), r, &Request{ID: "1"})
		is.Equal(g.calls, []string{c.want})
		is.Equal(len(g.traits), 1)
		is.Equal(g.traits[0].Kind, quarantine.WholeRequest)
	}
}

// A target's own error says nothing about the prompt.
func TestErrorResponseIsNoAnswerToThePrompt(t *testing.T) {
	g := &crashGuard{}
	servePrompt(g, &catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, outcome{status: 500, body: "x"})
	is.New(t).Equal(len(g.calls), 0)
}

// A stream that breaks after it has run for a while clears its prompt.
func TestAnswerThatOutlivesProbationClearsThePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &crashGuard{}
		out, _ := servePrompt(g, &catalog.Route{Kind: catalog.Stream, MaxAttempts: 1},
			outcome{status: 200, body: firstEvents + lastEvents, truncated: true, pause: quarantine.Probation / 2})
		is := is.New(t)
		is.True(out.aborted)
		is.Equal(g.calls, []string{"answered"})
	})
}
