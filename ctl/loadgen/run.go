package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"cuminrock.example/ctl/streamcheck"
	"cuminrock.example/router/wait"
)

// phase is one load against one goal.
type phase struct {
	opts   *Options
	goal   Destination
	run    string
	client *http.Client
	tally  *tally
	start  time.Time
}

// Run makes the load of opts against a goal and reports it. run names the
// run in the request ids, which must be new to the system. It ends early when
// ctx does.
func Run(ctx context.Context, opts *Options, goal Destination, run string) *Report {
	p := &phase{
		opts:   opts,
		goal:   goal,
		run:    run,
		client: newClient(opts.Timeout),
		tally:  newTally(),
		start:  time.Now(),
	}
	defer p.client.CloseIdleConnections()
	cpuBefore := ownCPU()
	p.serveArrivals(ctx)
	report := p.tally.report(time.Since(p.start))
	report.Destination = goal
	report.LoadCPUCores = (ownCPU() - cpuBefore).Seconds() / time.Since(p.start).Seconds()
	return report
}

// serveArrivals sends each request at its time and waits for all answers.
func (p *phase) serveArrivals(ctx context.Context) {
	var requests conc.WaitGroup
	defer requests.Wait()
	plan := newSchedule(p.opts)
	for {
		a, ok := plan.draw()
		if !ok || !wait.For(ctx, time.Until(p.start.Add(a.at))) {
			return
		}
		requests.Go(func() { p.request(ctx, a) })
	}
}

// request makes one request and tallies what became of it.
func (p *phase) request(ctx context.Context, a arrival) {
	p.tally.opened()
	defer p.tally.closed()
	id := fmt.Sprintf("load-%s-%d", p.run, a.number)
	out := outcome{call: a.call.Kind, timed: a.at >= p.opts.Warmup}
	p.exchange(ctx, a, id, &out)
	p.tally.add(&out)
}

// exchange sends one request and checks its answer.
func (p *phase) exchange(ctx context.Context, a arrival, id string, out *outcome) {
	planned := p.start.Add(a.at)
	req, err := p.newRequest(ctx, a, id)
	if err != nil {
		out.verdict = streamcheck.Unreachable
		out.kind = err.Error()
		return
	}
	resp, err := p.client.Do(req)
	if err != nil {
		out.verdict = streamcheck.Unreachable
		out.kind = "no_answer"
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		out.verdict = streamcheck.Refused
		out.kind = refusalKind(resp)
		return
	}
	if a.call.Kind != CallModel {
		p.readPlain(resp, id, planned, out)
		return
	}
	check := streamcheck.New(id)
	out.verdict, err = check.Read(resp.Body)
	if err != nil {
		out.kind = "cut"
	}
	out.tokens = check.Tokens
	out.gaps = check.TokenGaps
	if check.Tokens > 0 {
		out.first = check.FirstTokenAt.Sub(planned)
	}
}

// readPlain reads the answer of a plain call to its end.
func (p *phase) readPlain(resp *http.Response, id string, planned time.Time, out *outcome) {
	_, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		out.verdict = streamcheck.Broken
		return
	}
	out.first = time.Since(planned)
	echoed := resp.Header.Get(headerRequestID)
	if echoed != "" && !streamcheck.MatchesRequestID(echoed, id) {
		out.verdict = streamcheck.Crossed
	}
}
