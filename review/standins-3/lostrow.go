package main

import (
	"fmt"
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

// driveLostRow lets the store come back from a copy that lacks the rows of tenants that had just
// begun to use gateways. Later one gateway is killed, and its clients take up their streams at
// the other.
func driveLostRow(f *fleet, opts caseOptions) (string, error) {
	err := startRowFleet(f)
	if err != nil {
		return "", err
	}
	r := newResumeClients(f, rowInput, rowStableAt)
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
