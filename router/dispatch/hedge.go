package dispatch

import (
	"context"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/target"
)

// The budget of second sends, in permille of the lookups, and its burst.
const (
	hedgePermille = 100
	hedgeBurst    = 10
)

// leg is how one send of a lookup ended.
type leg struct {
	answer *target.Response
	sent   *sent
	err    error
}

// tryHedged sends a lookup to one target and, if no answer comes within the
// hedge delay, to a second. The first answer is returned. The other send runs
// on, so that its target is judged by what it really did.
func (d *Dispatcher) tryHedged(ctx context.Context, plan *Request) (*target.Response, *sent, error) {
	d.hedges.Deposit()
	first, err := d.take(ctx, plan)
	if err != nil {
		return nil, nil, err
	}
	ended := make(chan leg, 2)
	d.launch(ctx, first, plan.Call, ended)
	timer := time.NewTimer(d.hedge.Delay())
	defer timer.Stop()
	var last error
	for running := 1; running > 0; {
		select {
		case l := <-ended:
			running--
			if l.err == nil {
				d.hedge.Observe(time.Since(first.start))
				return l.answer, l.sent, nil
			}
			last = worse(last, l.err)
		case <-timer.C:
			if d.second(ctx, *plan, first, ended) {
				running++
			}
		case <-ctx.Done():
			return nil, first, errkind.Wrap(errkind.TargetSilent, ctx.Err(), "no answer came before the caller left")
		}
	}
	d.hedge.Observe(time.Since(first.start))
	return nil, first, last
}

// launch makes the call of a send in the background, also when its caller has
// left.
func (d *Dispatcher) launch(ctx context.Context, s *sent, call target.Call, ended chan<- leg) {
	ctx = context.WithoutCancel(ctx)
	d.background.Go(func() {
		answer, err := finish(ctx, s, call, d.client.Do)
		s.done(err)
		ended <- leg{answer: answer, sent: s, err: err}
	})
}

// second sends the lookup to another target, if the budget allows and one has
// room now.
func (d *Dispatcher) second(ctx context.Context, plan Request, first *sent, ended chan<- leg) bool {
	if !d.hedges.Withdraw() {
		return false
	}
	exclude := append([]string(nil), plan.Route.Exclude...)
	plan.Route.Exclude = append(exclude, first.lease.Target().Name)
	plan.Route.Now = time.Now()
	lease, err := d.table.Pick(&plan.Route)
	if err != nil {
		return false
	}
	d.stats.Hedges.Add(1)
	d.launch(ctx, d.taken(&plan, lease), plan.Call, ended)
	return true
}
