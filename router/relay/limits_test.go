package relay

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
)

// targetLimits gives permits for some targets, and records answers.
type targetLimits struct {
	permitted map[string]bool
	cold      map[string]bool
	ended     []string
	asked     []string
	answered  []float64
	released  []uint64
	outcomes  []targetlimit.Outcome
}

func (l *targetLimits) Acquire(_ context.Context, target placement.Target, _ time.Duration) targetlimit.Permit {
	l.asked = append(l.asked, target.ID)
	return targetlimit.Permit{Granted: l.permitted[target.ID], ID: uint64(len(l.asked)), RetryAfter: 3 * time.Second, Cold: l.cold[target.ID]}
}

func (l *targetLimits) Cold(target placement.Target) bool { return l.cold[target.ID] }

func (l *targetLimits) ConnectionRefused(target placement.Target) {
	l.ended = append(l.ended, target.ID)
}

func (l *targetLimits) Release(_ placement.Target, p targetlimit.Permit, o targetlimit.Outcome) {
	l.released = append(l.released, p.ID)
	l.outcomes = append(l.outcomes, o)
}

func (l *targetLimits) Answered(_ placement.Target, said placement.Announcement, _ *placement.Load, _ time.Time) {
	l.answered = append(l.answered, said.Limit)
}

// serveLimited sends a request through a relay with four targets.
func serveLimited(ctx context.Context, limits *targetLimits, outcomes ...outcome) (*caller, *upstream) {
	up := &upstream{outcomes: outcomes}
	r := newRelay(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 2}, up)
	r.Limits = limits
	return serveWith(ctx, r, &Request{ID: "1"}), up
}

func TestRequestGoesToTheTargetWithAPermit(t *testing.T) {
	is := is.New(t)
	limits := &targetLimits{permitted: map[string]bool{"c": true}}
	out, up := serveLimited(context.Background(), limits, good)
	is.Equal(out.body, "good")
	is.Equal(len(up.sends), 1)
	is.Equal(up.sends[0].Target.ID, "c")
	is.Equal(limits.released, []uint64{uint64(len(limits.asked))})
}

// After a cold target without a permit a request goes to a target that isn't cold, however
// many cold ones look emptier.
func TestRequestAvoidsColdTargetsAfterADenial(t *testing.T) {
	is := is.New(t)
	limits := &targetLimits{permitted: map[string]bool{"d": true}, cold: map[string]bool{"a": true, "b": true, "c": true}}
	out, up := serveLimited(context.Background(), limits, good)
	is.Equal(out.body, "good")
	is.Equal(up.sends[0].Target.ID, "d")
	is.True(len(limits.asked) <= 2)
}

// A target whose address refuses connections has ended, and a cold one may take its place.
// One that can't be reached otherwise may be as it was.
func TestRefusedConnectionTellsThatATargetHasEnded(t *testing.T) {
	is := is.New(t)
	limits := &targetLimits{permitted: map[string]bool{"a": true, "b": true, "c": true, "d": true}}
	out, up := serveLimited(context.Background(), limits,
		outcome{err: errkind.Wrap(errkind.TargetUnreachable, os.ErrDeadlineExceeded, "cut")},
		outcome{err: errkind.Wrap(errkind.TargetUnreachable, syscall.ECONNREFUSED, "refused")}, good)
	is.Equal(out.body, "good")
	is.Equal(limits.ended, []string{up.sends[1].Target.ID})
}

// Without any permit the request is refused at once, as not run, and the caller is
// told when to come back.
func TestRequestWithoutAnyPermitIsRefused(t *testing.T) {
	is := is.New(t)
	limits := &targetLimits{}
	out, up := serveLimited(context.Background(), limits)
	is.Equal(len(up.sends), 0)
	is.Equal(len(limits.asked), 4) // each target once
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.True(out.refused.RetryAfter > 0 && out.refused.RetryAfter <= 3*time.Second)
}

// Each answer tells of the limit, also one that refuses the request, but not one of
// another process at the target's address.
func TestAnswersTellOfTheLimit(t *testing.T) {
	is := is.New(t)
	limits := &targetLimits{permitted: map[string]bool{"a": true, "b": true, "c": true, "d": true}}
	busy := &Refusal{Status: http.StatusServiceUnavailable, Announcement: placement.Announcement{Limit: 2}}
	serveLimited(context.Background(), limits, outcome{err: errkind.Wrap(errkind.TargetRefused, busy, "busy")}, outcome{status: 200, announcement: placement.Announcement{Limit: 3}})
	is.Equal(limits.answered, []float64{2, 3})
	limits.answered = nil
	stranger := &Refusal{Status: http.StatusMisdirectedRequest, Misdirected: true}
	serveLimited(context.Background(), limits, outcome{err: errkind.Wrap(errkind.TargetRefused, stranger, "not me")}, good)
	is.Equal(limits.answered, []float64{0}) // of the good answer
}

// A caller that leaves while a permit is asked for says nothing about the target:
// the next request asks for the same ones.
func TestCallerThatLeavesDoesntDeferTheTarget(t *testing.T) {
	is := is.New(t)
	left, leave := context.WithCancel(context.Background())
	leave()
	limits := &targetLimits{}
	r := newRelay(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 2}, &upstream{})
	r.Limits = limits
	serveWith(left, r, &Request{ID: "1"})
	is.Equal(len(limits.asked), 1)
	serveWith(context.Background(), r, &Request{ID: "2"})
	is.Equal(len(limits.asked), 1+4) // all four targets, the first one included
}
