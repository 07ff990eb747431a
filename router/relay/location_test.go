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
	"cuminrock.example/fleet/streamorigin"
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

// Home regions hold for the first send, for a further one and for a stream that goes on,
// and are told to the upstream, which may pass the request on.
func TestSendsObeyHomeRegions(t *testing.T) {
	is := is.New(t)
	up := &upstream{outcomes: []outcome{{status: 200, body: "id: 1\n\n", truncated: true}, {status: 200, body: "id: 2\n\n"}}}
	r := newRelay(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 3, Homes: location.NewHomes("eu")}, up)
	r.Targets.Update([]placement.Target{{ID: "a", Service: "s", Version: "v1", DataCentre: "us1"}, {ID: "b", Service: "s", Version: "v1", DataCentre: "eu1"},
		{ID: "c", Service: "s", Version: "v1", DataCentre: "unknown"}, {ID: "d", Service: "s", Version: "v1", DataCentre: "eu1"}}, time.Now())
	r.Targets.SetRegions(location.Regions{"us1": "us", "eu1": "eu"})
	out := serveWith(context.Background(), r, &Request{ID: "1"})
	is.Equal(out.body, "id: 1\n\nid: 2\n\n")
	is.Equal(len(up.sends), 2)
	for _, s := range up.sends {
		is.Equal(s.Target.DataCentre, "eu1")
		is.Equal(s.Homes.Names(), []string{"eu"})
	}
}

// Route and workspace both have home regions, without one in common.
func TestRequestWithoutACommonHomeRegionIsRefused(t *testing.T) {
	is := is.New(t)
	up := &upstream{outcomes: []outcome{good}}
	r := newRelay(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 2}, up)
	r.Targets.SetRegions(location.Regions{"": "eu"})
	route := &catalog.Route{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []catalog.Share{{Service: "s", Weight: 1}}, Homes: location.NewHomes("eu")}
	c := catalog.New(catalog.Spec{Version: 1, Routes: []*catalog.Route{route}, Services: []*catalog.Service{{Name: "s"}}, Workspaces: []*catalog.Workspace{
		{Name: "w", Keys: []string{"w"}, Homes: location.NewHomes("us")}, {Name: "v", Keys: []string{"v"}, Homes: location.NewHomes("us", "eu")}}})
	r.Catalog = func() *catalog.Catalog { return c }
	out := serveWith(context.Background(), r, &Request{ID: "1", Key: "w"})
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.True(out.refused.RetryAfter > 0)
	is.Equal(len(up.sends), 0)
	is.Equal(serveWith(context.Background(), r, &Request{ID: "2", Key: "v"}).body, "good")
}

// unhurriedOrigins fails the test when the origin of a stream is looked up.
type unhurriedOrigins struct {
	originLog
	t *testing.T
}

func (o *unhurriedOrigins) Version(context.Context, streamorigin.Stream) (string, bool) {
	o.t.Error("the origin was looked up")
	return "", false
}

// A resumed stream counts as new: it is refused without a look at its origin, and without
// a reservation if only other versions have targets elsewhere.
func TestResumedStreamIsRefusedWhileItsVersionIsEvacuated(t *testing.T) {
	is := is.New(t)
	up := &upstream{outcomes: []outcome{good}}
	r := newRelay(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, up)
	r.Budgets = noReservations{t}
	r.Origins = &originLog{versions: map[streamorigin.Stream]string{streamorigin.StreamOf("", "1"): "v1"}}
	r.Targets.Update([]placement.Target{{ID: "a", Service: "s", Version: "v1", DataCentre: "x"}, {ID: "b", Service: "s", Version: "v2", DataCentre: "y"}}, time.Now())
	r.Targets.SetEvacuated(location.NewDataCentres("x"), time.Now())
	resumed := func() *Request {
		return &Request{ID: "2", Resumes: "1", ResumeAfter: "5", Prompt: &Prompt{InputTokens: 1, MaxOutputTokens: 1}}
	}
	out := serveWith(context.Background(), r, resumed())
	is.Equal(out.refused.Kind, errkind.NoTarget)
	r.Origins = &unhurriedOrigins{t: t}
	r.Targets.SetEvacuated(location.NewDataCentres("x", "y"), time.Now())
	out = serveWith(context.Background(), r, resumed())
	is.Equal(out.refused.Kind, errkind.NoTarget)
	is.Equal(len(up.sends), 0)
}
