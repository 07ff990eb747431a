package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/fleet/errkind"
)

// newPriorityWorker returns a worker that holds 20,000 tokens, the last ones of its
// workspace.
func newPriorityWorker() *accountWorker {
	m := &Manager{opts: Options{ByPriority: true, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now}}
	aw := newAccountWorker(m, workspaceName)
	aw.account.SetPrepaid(20_000)
	aw.account.Sync(allotment.Rows{Total: 20_000, Taken: 20_000, TotalVersion: 1, HolderVersion: 1}, time.Now())
	aw.account.AddBound(allotment.UsageBound{})
	return aw
}

func newWaiter(id string, rank int) *waiter {
	return &waiter{requestID: id, tokens: 12_380, rank: rank, result: make(chan error, 1)}
}

// Guards against waiters that are served by arrival where the most urgent should go first,
// and against refusals that hit the most urgent because it came last.
func TestWaitersAreOrderedByPriority(t *testing.T) {
	is := is.New(t)
	aw := newPriorityWorker()
	for _, w := range []*waiter{newWaiter("a", 2), newWaiter("b", 0), newWaiter("c", 1), newWaiter("d", 0)} {
		aw.addWaiter(w)
	}
	var order string
	for _, w := range aw.waiters {
		order += w.requestID
	}
	is.Equal(order, "bdca")
	last := aw.waiters[3]
	aw.refuseLast()
	is.True(<-last.result != nil)
	is.Equal(len(aw.waiters), 3)
}

// Guards against small requests that take the tokens for which a more urgent, larger one
// waits, and against tokens that stay unused because such a request can't be served at all.
func TestTokensAreLeftToMoreUrgentWaiters(t *testing.T) {
	is := is.New(t)
	aw := newPriorityWorker()
	now := time.Now()
	is.True(!aw.tryReserve(10_000, 1, []*waiter{newWaiter("a", 0)}, now))
	aw.account.AddBound(allotment.UsageBound{})
	unservable := newWaiter("b", 0)
	unservable.tokens = 30_000
	is.True(aw.tryReserve(0, 1, []*waiter{unservable}, now))
	is.True(!aw.tryReserve(0, 1, []*waiter{newWaiter("c", 0), newWaiter("d", 0)}, now))
}

// Guards against callers that come back after the same short time however long a balance
// has been too low, and against a change of that time without the switch.
func TestRefusalTellsHowLongTheBalanceWasTooLow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, since := range []time.Duration{0, 3 * time.Second, 20 * time.Second} {
		for _, byPriority := range []bool{false, true} {
			m := &Manager{opts: Options{ByPriority: byPriority}}
			after := errkind.FromError(m.insufficientError(now.Add(-since), now)).RetryAfter
			switch {
			case byPriority:
				is.Equal(after, max(since, insufficientRetryAfter))
			case since > exhaustedAfter:
				is.Equal(after, time.Duration(0))
			default:
				is.Equal(after, insufficientRetryAfter)
			}
		}
	}
}
