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

// loadRun is one run of a load against one destination.
type loadRun struct {
	opts   *Options
	dest   Destination
	runID  string
	client *http.Client
	tally  *tally
	start  time.Time
}

// Run sends the load of opts to a destination and returns the report. The run id
// is part of the request ids and must be unique, as the request ids must be new
// to the system. Run stops early if ctx is cancelled.
func Run(ctx context.Context, opts *Options, dest Destination, runID string) *Report {
	r := &loadRun{
		opts:   opts,
		dest:   dest,
		runID:  runID,
		client: newClient(opts.Timeout),
		tally:  newTally(),
		start:  time.Now(),
	}
	defer r.client.CloseIdleConnections()
	cpuBefore := processCPUTime()
	r.sendRequests(ctx)
	report := r.tally.report(time.Since(r.start))
	report.Destination = dest
	report.LoadCPUCores = (processCPUTime() - cpuBefore).Seconds() / time.Since(r.start).Seconds()
	return report
}

// sendRequests sends each request at its planned time and waits for all
// responses.
func (r *loadRun) sendRequests(ctx context.Context) {
	var requests conc.WaitGroup
	defer requests.Wait()
	sched := newSchedule(r.opts)
	for {
		a, ok := sched.draw()
		if !ok || !wait.For(ctx, time.Until(r.start.Add(a.plannedAt))) {
			return
		}
		requests.Go(func() { r.runRequest(ctx, a) })
	}
}

// runRequest makes one request and records its outcome.
func (r *loadRun) runRequest(ctx context.Context, a arrival) {
	r.tally.requestStarted()
	defer r.tally.requestFinished()
	id := fmt.Sprintf("load-%s-%d", r.runID, a.number)
	out := outcome{call: a.call.Kind, measured: a.plannedAt >= r.opts.Warmup}
	r.exchange(ctx, a, id, &out)
	r.tally.add(&out)
}

// exchange sends one request and checks its response.
func (r *loadRun) exchange(ctx context.Context, a arrival, id string, out *outcome) {
	planned := r.start.Add(a.plannedAt)
	req, err := r.newRequest(ctx, a, id)
	if err != nil {
		out.verdict = streamcheck.Unreachable
		out.errorKind = err.Error()
		return
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.verdict = streamcheck.Unreachable
		out.errorKind = "no_answer"
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		out.verdict = streamcheck.Refused
		out.errorKind = errorKind(resp)
		return
	}
	if a.call.Kind != CallModel {
		r.readPlain(resp, id, planned, out)
		return
	}
	checker := streamcheck.New(id)
	out.verdict, err = checker.Read(resp.Body)
	if err != nil {
		out.errorKind = "cut"
	}
	out.tokens = checker.Tokens
	out.gaps = checker.TokenGaps
	if checker.Tokens > 0 {
		out.latency = checker.FirstTokenAt.Sub(planned)
	}
}

// readPlain reads a plain response to its end and checks the request id that it
// echoes, if any.
func (r *loadRun) readPlain(resp *http.Response, id string, planned time.Time, out *outcome) {
	_, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		out.verdict = streamcheck.Broken
		return
	}
	out.latency = time.Since(planned)
	echoed := resp.Header.Get(headerRequestID)
	if echoed != "" && !streamcheck.MatchesRequestID(echoed, id) {
		out.verdict = streamcheck.Crossed
	}
}
