package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"cuminrock.example/fleet/admission"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	gate "cuminrock.example/router/admission"
	"cuminrock.example/router/prepaid"
)

// fakeAdmission refuses requests, or lets them wait until their callers leave.
type fakeAdmission struct {
	refusal *errkind.Error
	waits   bool
	asked   []admission.Request
}

func (f *fakeAdmission) Applies(string) bool { return true }

func (f *fakeAdmission) Admit(ctx context.Context, _ string, r admission.Request, _ *placement.Request) (*gate.Ticket, *errkind.Error) {
	f.asked = append(f.asked, r)
	if f.waits {
		<-ctx.Done()
		return nil, nil
	}
	return nil, f.refusal
}

func (f *fakeAdmission) TokensReserved(string, int64) {}

func (f *fakeAdmission) TokensRefused(_ string, _ int64, _ int, _, remaining time.Duration) time.Duration {
	return remaining / 3
}

func (f *fakeAdmission) SlotRefused(_ string, _ int, after, _ time.Duration) time.Duration {
	return after
}

// fakeBudgets reserves tokens, or refuses them, and records the ranks and what was settled.
type fakeBudgets struct {
	refusal *errkind.Error
	ranks   []int
	settled []int64
}

func (f *fakeBudgets) Reserve(_ context.Context, _ string, _ *catalog.Workspace, _ int64, rank int, _ time.Duration) (prepaid.Reservation, error) {
	f.ranks = append(f.ranks, rank)
	if f.refusal != nil {
		return nil, f.refusal
	}
	return f, nil
}

func (f *fakeBudgets) Settle(used int64) { f.settled = append(f.settled, used) }

// newAdmittingRelay returns a relay with admission, which a nil value switches off.
func newAdmittingRelay(a *fakeAdmission, b *fakeBudgets) (*Relay, *upstream) {
	up := &upstream{outcomes: []outcome{good}}
	r := newRelay(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1, Priority: 3}, up)
	r.Budgets = b
	if a != nil {
		r.Admission = a
	}
	return r, up
}

func promptRequest() *Request {
	return &Request{ID: "1", CallerTimeout: 9 * time.Second, Prompt: &Prompt{InputTokens: 100, MaxOutputTokens: 10}}
}

// Guards against a refused request that reaches a target, keeps its tokens, or is told
// another time than admission decided.
func TestRequestRefusedForSlotsIsNotSent(t *testing.T) {
	is := is.New(t)
	budgets := &fakeBudgets{}
	r, up := newAdmittingRelay(&fakeAdmission{refusal: errkind.New(errkind.NoSlot, "none").WithRetryAfter(2500 * time.Millisecond)}, budgets)
	out := serveWith(context.Background(), r, promptRequest())
	is.Equal(out.refused.Kind.Properties().Status, 503)
	is.Equal(out.refused.RetryAfter, 2500*time.Millisecond) // more than a quarter of 9 s
	is.Equal(len(up.sends), 0)
	is.Equal(budgets.settled, []int64{0})
	is.Equal(testutil.ToFloat64(r.Metrics.Refusals.WithLabelValues(causeSlots)), 1.0)
}

// Guards against a caller that leaves, or whose deadline passes, while its request waits:
// the request isn't sent, and its deadline is told as not run.
func TestWaitingRequestEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	for _, timeout := range []time.Duration{0, 20 * time.Millisecond} {
		budgets := &fakeBudgets{}
		r, up := newAdmittingRelay(&fakeAdmission{waits: true}, budgets)
		ctx, leave := context.WithCancel(context.Background())
		req := promptRequest()
		req.CallerTimeout = timeout
		if timeout == 0 {
			leave()
		}
		out := serveWith(ctx, r, req)
		leave()
		is.Equal(len(up.sends), 0)
		is.Equal(budgets.settled, []int64{0})
		if timeout > 0 {
			is.Equal(out.refused.Kind, errkind.DeadlineTooShort)
			is.Equal(testutil.ToFloat64(r.Metrics.Refusals.WithLabelValues(causeDeadline)), 1.0)
		}
	}
}

// Guards against refusals for tokens that aren't told apart, or have another time than
// admission decided where that is on, or than before where it is off.
func TestRefusalsForTokens(t *testing.T) {
	is := is.New(t)
	for kind, cause := range map[errkind.Kind]string{errkind.BudgetExhausted: causeTokensExhausted, errkind.BudgetUnreachable: causeTokensUnreachable} {
		budgets := &fakeBudgets{refusal: errkind.New(kind, "none").WithRetryAfter(time.Second)}
		r, _ := newAdmittingRelay(&fakeAdmission{}, budgets)
		after := serveWith(context.Background(), r, promptRequest()).refused.RetryAfter
		is.True(after > 2900*time.Millisecond && after <= 3*time.Second)
		is.Equal(testutil.ToFloat64(r.Metrics.Refusals.WithLabelValues(cause)), 1.0)
		r, _ = newAdmittingRelay(nil, budgets)
		is.Equal(serveWith(context.Background(), r, promptRequest()).refused.RetryAfter, time.Second)
	}
}

// Guards against requests that compete with another priority than theirs: the workspace's
// goes before the route's, and a stream that goes on is among the most urgent. Without
// admission it is the route's, as before.
func TestPriorityOfTokensAndSlots(t *testing.T) {
	is := is.New(t)
	a, budgets := &fakeAdmission{}, &fakeBudgets{}
	r, _ := newAdmittingRelay(a, budgets)
	serveWith(context.Background(), r, promptRequest())
	is.Equal(a.asked[0].Rank, 3)
	is.Equal(a.asked[0].Cost, int64(100+10*outputTokenCost))
	is.Equal(budgets.ranks, []int{3})
	priority := 1
	admitted := &admittedRequest{Request: promptRequest(), route: &catalog.Route{Priority: 3}, service: &catalog.Service{}, workspace: &catalog.Workspace{Priority: &priority}}
	is.Equal(r.rank(admitted), 1)
	admitted.ResumeAfter = "5"
	is.Equal(r.rank(admitted), 1) // not a stream
	admitted.route.Kind = catalog.Stream
	is.Equal(r.rank(admitted), mostUrgent)
	r.Admission = nil
	is.Equal(r.rank(admitted), 3)
}

// Guards against admission that changes anything while nothing is known of the targets.
func TestNothingIsHeldBackWithoutEstimates(t *testing.T) {
	is := is.New(t)
	r, up := newAdmittingRelay(nil, &fakeBudgets{})
	r.Admission = gate.New(gate.Options{
		ServiceApplies: func(string) bool { return true }, Estimator: gate.NoEstimates{}, Metrics: gate.NewMetrics(prometheus.NewRegistry()), Log: r.Log, Now: time.Now,
	})
	out := serveWith(context.Background(), r, promptRequest())
	is.Equal(out.body, "good")
	is.Equal(len(up.sends), 1)
}
