package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// rowTenants is the number of tenants, each with a budget of rowPrepaid tokens, of which
	// the clients ask for less than a tenth.
	rowTenants, rowPrepaid = 6, 20_000_000
	rowInput               = 2000
	// rowLongEvents and rowShortEvents are the events of the streams at the first and at the
	// second gateway.
	rowLongEvents, rowShortEvents = 160, 10
	rowGap                        = 500 * time.Millisecond
	// rowAge and rowAway are how old the copy is from which the store comes back, and how long
	// it is away.
	rowAge, rowAway = 3 * time.Second, time.Second
	// The tenants' clients begin at rowFrom, the drill at rowDrillAt. From rowStableAt on the
	// store has been without disruption for contactTime. The first gateway is killed at
	// rowKillAt, and starts again rowKillTime later.
	rowFrom, rowDrillAt, rowStableAt = 4 * time.Second, 6 * time.Second, 12500 * time.Millisecond
	rowKillAt, rowKillTime, rowEnd   = 13 * time.Second, 3500 * time.Millisecond, 18 * time.Second
	// minTakenUp is the least number of streams that are taken up for the rule to apply.
	minTakenUp = 12
	// maxTakeUps is how often a client tries to take up a stream.
	maxTakeUps = 2
)

// rowConfig returns a configuration with one service of engines, tenants with budgets, and a
// tenant without.
func rowConfig() string {
	tenants := []string{`{"name":"x","apiKeys":["key-x"]}`}
	for i := range rowTenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"w%d","apiKeys":["key-w%d"],"prepaid":%d}`, i, i, rowPrepaid))
	}
	return `{"version":1,
 "routes":[{"name":"stream","hostname":"h.example","prefix":"/stream/","routeType":"streaming","streamResume":true,
  "timeoutMs":15000,"targetLatencyMs":800,"targetGapMs":400,"priority":1,"service":"s","maxAttempts":2}],
 "services":[{"name":"s","maxConnections":360,"engine":{"slots":64,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[` + strings.Join(tenants, ",") + `]}`
}

// rowClients begin streams, and take them up elsewhere if their gateway is killed.
type rowClients struct {
	f      *fleet
	client *http.Client
	began  time.Time

	mu sync.Mutex
	// asked and begun are the new streams at the second gateway from rowStableAt on; takenUp
	// and goneOn those that were taken up there.
	asked, begun, takenUp, goneOn int
	// most are the tokens that the tenants asked for, at their most.
	most map[string]int
}

// run begins a stream, and takes it up at the second gateway if it breaks off.
func (r *rowClients) run(g *gatewayProcess, tenant string, events int) {
	c := call{gateway: g, method: http.MethodPost, path: "/stream/x", id: newAttempt(), key: "key-" + tenant, input: rowInput, output: events * tokensPerEvent, deadline: 15 * time.Second}
	sent := time.Since(r.began)
	a := r.try(c, tenant)
	got := parseEvents(a.body)
	second := r.f.gateways[1]
	r.mu.Lock()
	if g == second && sent >= rowStableAt {
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
func (r *rowClients) takeUp(c call, tenant string) {
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

func (r *rowClients) try(c call, tenant string) answer {
	r.mu.Lock()
	r.most[tenant] += c.input + c.output
	r.mu.Unlock()
	a := do(r.client, c)
	r.f.note("client attempt=%s tenant=%s gateway=%s resumes=%q last_event=%d status=%d whole=%t events=%d", c.id, tenant, c.gateway.name, c.resumes, c.last, a.status, a.whole, len(parseEvents(a.body)))
	return a
}

// loop begins streams of one tenant at a gateway from a time to another.
func (r *rowClients) loop(g *gatewayProcess, tenant string, events int, from, to, gap time.Duration) {
	time.Sleep(time.Until(r.began.Add(from)))
	var streams sync.WaitGroup
	for time.Since(r.began) < to {
		streams.Go(func() { r.run(g, tenant, events) })
		time.Sleep(gap)
	}
	streams.Wait()
}

// driveLostRow lets the store come back from a copy that lacks the rows of tenants that had just
// begun to use gateways. Later one gateway is killed, and its clients take up their streams at
// the other.
func driveLostRow(f *fleet, opts caseOptions) (string, error) {
	err := startRowFleet(f)
	if err != nil {
		return "", err
	}
	r := &rowClients{f: f, client: newClient(), began: time.Now(), most: make(map[string]int)}
	first, second := f.gateways[0], f.gateways[1]
	var clients sync.WaitGroup
	for i := range rowTenants {
		tenant := fmt.Sprintf("w%d", i)
		clients.Go(func() { r.loop(first, tenant, rowLongEvents, rowFrom, rowKillAt, rowGap) })
		clients.Go(func() { r.loop(second, tenant, rowShortEvents, rowFrom, rowStableAt, rowGap/2) })
	}
	clients.Go(func() { r.loop(second, "x", rowShortEvents, 0, rowEnd, rowGap/10) })
	time.Sleep(time.Until(r.began.Add(rowDrillAt)))
	if opts.drill {
		f.note("a drill of the store: away for %v, back from a copy %v old", rowAway, rowAge)
		err = f.control(fmt.Sprintf("/drill?age_ms=%d&away_ms=%d", rowAge.Milliseconds(), rowAway.Milliseconds()), "")
		if err != nil {
			return "", err
		}
		f.note("the store is back; Store-Era has risen by one")
	}
	time.Sleep(time.Until(r.began.Add(rowKillAt)))
	if opts.trouble {
		_ = first.command.Process.Kill()
		f.note("%s is killed (SIGKILL)", first.name)
		time.Sleep(rowKillTime)
		err = f.runGateway(first)
		if err != nil {
			return "", err
		}
	}
	clients.Wait()
	return r.judge(opts)
}

// startRowFleet starts two zones, each with a gateway and two runners.
func startRowFleet(f *fleet) error {
	const zones = 2
	err := f.startStore(zones)
	if err != nil {
		return err
	}
	err = f.control("/put?table=op&key=config", rowConfig())
	if err != nil {
		return err
	}
	for i := range 2 * zones {
		err = f.startRunner(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("z%d", i%zones+1), "v1")
		if err != nil {
			return err
		}
	}
	for i := range zones {
		_, err = f.startGateway(fmt.Sprintf("z%d", i+1))
		if err != nil {
			return err
		}
	}
	f.note("all gateways are ready")
	return nil
}

// judge checks the rule LOST of streams that are taken up.
func (r *rowClients) judge(opts caseOptions) (string, error) {
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
