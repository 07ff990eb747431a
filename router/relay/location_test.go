package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/location"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
	"cuminrock.example/router/prepaid"
)

// noReservations fails the test when tokens are reserved.
type noReservations struct{ t *testing.T }

func (b noReservations) Reserve(context.Context, string, *catalog.Workspace, int64, int, time.Duration) (prepaid.Reservation, error) {
	b.t.Error("tokens were reserved")
	return prepaid.Unlimited{}, nil
}

// Waiting for tokens must not delay the refusal of a request that no target can get.
func TestRequestIsRefusedBeforeTokensWhileAllAreEvacuated(t *testing.T) {
	is := is.New(t)
	up := &upstream{outcomes: []outcome{good}}
	r := newRelay(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, up)
	r.Budgets = noReservations{t}
	r.Targets.SetEvacuated(location.NewDataCentres(""), time.Now())
	out := serveWith(context.Background(), r, &Request{ID: "1", Prompt: &Prompt{InputTokens: 10, MaxOutputTokens: 10}, CallerTimeout: 2 * time.Second})
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.True(out.refused.RetryAfter > 0 && out.refused.RetryAfter <= 2*time.Second/3)
	is.Equal(len(up.sends), 0)
}

// evacuatingLimits evacuates the data centre while a permit is asked for.
type evacuatingLimits struct {
	targetLimits
	targets *placement.Table
}

func (l *evacuatingLimits) Acquire(ctx context.Context, target placement.Target, d time.Duration) targetlimit.Permit {
	l.targets.SetEvacuated(location.NewDataCentres(target.DataCentre), time.Now())
	return l.targetLimits.Acquire(ctx, target, d)
}

// The issuer of permits may take a while to respond.
func TestEvacuationWhileAPermitIsAskedFor(t *testing.T) {
	is := is.New(t)
	up := &upstream{outcomes: []outcome{good}}
	r := newRelay(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 2}, up)
	limits := &evacuatingLimits{targetLimits{permitted: map[string]bool{"a": true, "b": true, "c": true, "d": true}}, r.Targets}
	r.Limits = limits
	out := serveWith(context.Background(), r, &Request{ID: "1"})
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.Equal(len(up.sends), 0)
	is.Equal(len(limits.released), 1)
}
