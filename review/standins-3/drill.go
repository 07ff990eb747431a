package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drillTenants is the number of tenants, each with a budget of drillPrepaid tokens.
	drillTenants, drillPrepaid = 6, 400_000
	// drillInput and drillEvents are the size of a request, drillBatch the number of requests
	// that a client sends, drillGap the time between two of them.
	drillInput, drillEvents = 20_000, 10
	drillBatch, drillGap    = 30, 80 * time.Millisecond
	// drillAge and drillAway are how old the copy is from which the store comes back, and
	// how long it is away.
	drillAge, drillAway = 3 * time.Second, time.Second
	// drillAfter is the time between a first client's last request and the drill, and
	// drillCalm that between the store's return and the second clients' first requests.
	drillAfter, drillCalm = 300 * time.Millisecond, 4 * time.Second
)

// drillConfig returns a configuration with one service of engines and tenants with budgets.
func drillConfig() string {
	var tenants []string
	for i := range drillTenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"w%d","apiKeys":["key-w%d"],"prepaid":%d}`, i, i, drillPrepaid))
	}
	return `{"version":1,
 "routes":[{"name":"stream","hostname":"h.example","prefix":"/stream/","routeType":"streaming","streamResume":true,
  "timeoutMs":15000,"targetLatencyMs":800,"targetGapMs":400,"priority":1,"service":"s","maxAttempts":2}],
 "services":[{"name":"s","maxConnections":360,"engine":{"slots":64,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[` + strings.Join(tenants, ",") + `]}`
}

// drillClients use up the tenants' budgets.
type drillClients struct {
	f      *fleet
	client *http.Client

	mu sync.Mutex
	// consumed are the tokens that each tenant got.
	consumed [drillTenants]int
}

// run makes one request of a tenant.
func (d *drillClients) run(g *gatewayProcess, tenant int) {
	c := call{gateway: g, method: http.MethodPost, path: "/stream/x", id: newAttempt(), key: fmt.Sprintf("key-w%d", tenant),
		input: drillInput, output: drillEvents * tokensPerEvent, deadline: 5 * time.Second}
	a := do(d.client, c)
	got := len(parseEvents(a.body))
	d.f.note("client attempt=%s tenant=w%d gateway=%s status=%d events=%d", c.id, tenant, g.name, a.status, got)
	if got == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// The prompt counts once, and the output that was delivered.
	d.consumed[tenant] += drillInput + got*tokensPerEvent
}

// runBatches lets one client of each tenant send a batch to one gateway: to the first one for
// tenants with an even number plus shift, else to the second one.
func (d *drillClients) runBatches(shift int) {
	var requests sync.WaitGroup
	for range drillBatch {
		for tenant := range drillTenants {
			requests.Go(func() { d.run(d.f.gateways[(tenant+shift)%2], tenant) })
		}
		time.Sleep(drillGap)
	}
	requests.Wait()
}

// noteConsumed records what the tenants have got.
func (d *drillClients) noteConsumed(when string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.f.note("%s the tenants got %v tokens; each has %d", when, d.consumed, drillPrepaid)
}

// driveDrill lets tenants use up their budgets at one gateway. Then the store comes back from
// an old copy, and further clients of the tenants come to another gateway.
func driveDrill(f *fleet, opts caseOptions) (string, error) {
	const gateways = 2
	err := f.startStore(gateways)
	if err != nil {
		return "", err
	}
	err = f.control("/put?table=op&key=config", drillConfig())
	if err != nil {
		return "", err
	}
	for i := range gateways {
		err = f.startRunner(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("z%d", i+1), "v1")
		if err != nil {
			return "", err
		}
	}
	for i := range gateways {
		_, err = f.startGateway(fmt.Sprintf("z%d", i+1))
		if err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	f.note("all gateways are ready")
	d := &drillClients{f: f, client: newClient()}
	d.runBatches(0)
	d.noteConsumed("after the first batches")
	time.Sleep(drillAfter)
	if opts.trouble {
		f.note("a drill of the store: away for %v, back from a copy %v old", drillAway, drillAge)
		err = f.control(fmt.Sprintf("/drill?age_ms=%d&away_ms=%d", drillAge.Milliseconds(), drillAway.Milliseconds()), "")
		if err != nil {
			return "", err
		}
		f.note("the store is back; Store-Era has risen by one")
	} else {
		time.Sleep(drillAway)
	}
	time.Sleep(drillCalm)
	d.runBatches(1)
	d.noteConsumed("in the end")
	return d.judge()
}

// judge counts the tenants that got more than their budgets.
func (d *drillClients) judge() (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	over, most := 0, 0
	for tenant, consumed := range d.consumed {
		if consumed < drillPrepaid*8/10 {
			return "", fmt.Errorf("tenant w%d's budget wasn't used up", tenant)
		}
		if consumed > drillPrepaid {
			over++
			most = max(most, consumed)
		}
	}
	if over > 0 {
		return fmt.Sprintf("BUDGET: %d tenants got more than their prepaid %d, up to %d", over, drillPrepaid, most), nil
	}
	return "", nil
}
