package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// minTakenUp is the least number of streams that are taken up for the rule to apply.
	minTakenUp = 12
	// maxTakeUps is how often a client tries to take up a stream.
	maxTakeUps = 2
)

// resumeClients begin streams, and take them up elsewhere if their gateway is killed.
type resumeClients struct {
	f      *fleet
	client *http.Client
	began  time.Time
	// input is the size of a prompt, and countFrom from when on new streams count.
	input     int
	countFrom time.Duration

	mu sync.Mutex
	// asked and begun are the new streams at the second gateway from countFrom on; takenUp
	// and goneOn those that were taken up there.
	asked, begun, takenUp, goneOn int
	// most are the tokens that the tenants asked for, at their most.
	most map[string]int
}

func newResumeClients(f *fleet, input int, countFrom time.Duration) *resumeClients {
	return &resumeClients{f: f, client: newClient(), began: time.Now(), input: input, countFrom: countFrom, most: make(map[string]int)}
}

// run begins a stream, and takes it up at the second gateway if it breaks off.
func (r *resumeClients) run(g *gatewayProcess, tenant string, events int) {
	c := call{gateway: g, method: http.MethodPost, path: "/stream/x", id: newAttempt(), key: "key-" + tenant, input: r.input, output: events * tokensPerEvent, deadline: 15 * time.Second}
	sent := time.Since(r.began)
	a := r.try(c, tenant)
	got := parseEvents(a.body)
	second := r.f.gateways[1]
	r.mu.Lock()
	if g == second && sent >= r.countFrom {
		r.asked++
		if len(got) > 0 {
			r.begun++
		}
	}
	r.mu.Unlock()
	if g != second && a.status == http.StatusOK && !a.whole && len(got) > 0 {
		c.gateway, c.resumes, c.last = second, c.id, got[len(got)-1].id
		c.deadline -= time.Since(r.began) - sent
		r.takeUp(c, tenant)
	}
}

// takeUp takes a stream up, once more after the time that a refusal names.
func (r *resumeClients) takeUp(c call, tenant string) {
	goneOn := false
	for try := 0; try < maxTakeUps && !goneOn; try++ {
		c.id = newAttempt()
		a := r.try(c, tenant)
		goneOn = len(parseEvents(a.body)) > 0
		if !goneOn {
			time.Sleep(min(a.retryAfter, c.deadline/3))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takenUp++
	if goneOn {
		r.goneOn++
	}
}

func (r *resumeClients) try(c call, tenant string) answer {
	r.mu.Lock()
	r.most[tenant] += c.input + c.output
	r.mu.Unlock()
	a := do(r.client, c)
	r.f.note("client attempt=%s tenant=%s gateway=%s resumes=%q last_event=%d status=%d whole=%t events=%d", c.id, tenant, c.gateway.name, c.resumes, c.last, a.status, a.whole, len(parseEvents(a.body)))
	return a
}

// loop begins streams of one tenant at a gateway from a time to another.
func (r *resumeClients) loop(g *gatewayProcess, tenant string, events int, from, to, gap time.Duration) {
	time.Sleep(time.Until(r.began.Add(from)))
	var streams sync.WaitGroup
	for time.Since(r.began) < to {
		streams.Go(func() { r.run(g, tenant, events) })
		time.Sleep(gap)
	}
	streams.Wait()
}

// judge checks the rule LOST of streams that are taken up.
func (r *resumeClients) judge(opts caseOptions) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.note("streams taken up %d, gone on %d; new ones asked for %d, begun %d", r.takenUp, r.goneOn, r.asked, r.begun)
	for tenant, most := range r.most {
		r.f.note("tenant %s asked for %d tokens at its most", tenant, most)
	}
	if !opts.trouble {
		return "", nil
	}
	if r.takenUp < minTakenUp {
		return "", fmt.Errorf("only %d streams were taken up", r.takenUp)
	}
	if float64(r.goneOn)/float64(r.takenUp) < float64(r.begun)/float64(r.asked)/2 {
		return fmt.Sprintf("LOST: %d of %d streams that were taken up went on, %d of %d new ones began", r.goneOn, r.takenUp, r.begun, r.asked), nil
	}
	return "", nil
}
