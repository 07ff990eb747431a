package dispatch

import (
	"context"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/target"
)

// The budget of hedged attempts, in permille of the lookups, and its burst.
const (
	hedgePermille = 100
	hedgeBurst    = 10
)

// attemptResult is the result of one attempt of a lookup.
type attemptResult struct {
	resp    *target.Response
	attempt *attempt
	err     error
}

// hedgedAttempt sends a lookup to one target and, if no response arrives within
// the hedge delay, also to a second one. It returns the first response. The
// other attempt isn't cancelled, so that its real outcome is reported for its
// target.
func (d *Dispatcher) hedgedAttempt(ctx context.Context, req *Request) (*target.Response, *attempt, error) {
	d.hedgeBudget.Deposit()
	first, err := d.acquire(ctx, req)
	if err != nil {
		return nil, nil, err
	}
	results := make(chan attemptResult, 2)
	d.startInBackground(ctx, first, req.Call, results)
	timer := time.NewTimer(d.hedgeDelay.Delay())
	defer timer.Stop()
	var lastErr error
	for running := 1; running > 0; {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				d.hedgeDelay.Observe(time.Since(first.start))
				return r.resp, r.attempt, nil
			}
			lastErr = leastCertain(lastErr, r.err)
		case <-timer.C:
			if d.sendHedge(ctx, *req, first, results) {
				running++
			}
		case <-ctx.Done():
			return nil, first, errkind.Wrap(errkind.TargetSilent, ctx.Err(), "the caller gave up before a response arrived")
		}
	}
	d.hedgeDelay.Observe(time.Since(first.start))
	return nil, first, lastErr
}

// startInBackground makes the call of an attempt in the background. It isn't
// cancelled when the caller gives up.
func (d *Dispatcher) startInBackground(ctx context.Context, a *attempt, call target.Call, results chan<- attemptResult) {
	ctx = context.WithoutCancel(ctx)
	d.background.Go(func() {
		resp, err := runAttempt(ctx, a, call, d.client.Do)
		a.release(err)
		results <- attemptResult{resp: resp, attempt: a, err: err}
	})
}

// sendHedge sends the lookup to another target, if the hedge budget allows it and
// a target has capacity now.
func (d *Dispatcher) sendHedge(ctx context.Context, req Request, first *attempt, results chan<- attemptResult) bool {
	if !d.hedgeBudget.Withdraw() {
		return false
	}
	exclude := append([]string(nil), req.Route.Exclude...)
	req.Route.Exclude = append(exclude, first.lease.Target().Name)
	req.Route.Now = time.Now()
	lease, err := d.table.Pick(&req.Route)
	if err != nil {
		return false
	}
	d.stats.Hedges.Add(1)
	d.startInBackground(ctx, d.startAttempt(&req, lease), req.Call, results)
	return true
}
