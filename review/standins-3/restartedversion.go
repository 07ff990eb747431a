package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// orderConfig has one service of engines and a route whose streams may be resumed.
const orderConfig = `{"version":1,
 "routes":[{"name":"stream","hostname":"h.example","prefix":"/stream/","routeType":"streaming","streamResume":true,
  "timeoutMs":15000,"targetLatencyMs":800,"targetGapMs":400,"priority":1,"service":"s","maxAttempts":2}],
 "services":[{"name":"s","maxConnections":360,"engine":{"slots":64,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w","apiKeys":["key-w"],"prepaid":100000000}]}`

const (
	// versionGateways and versionRunners are the size of the fleet; one of each is disturbed.
	versionGateways, versionRunners = 3, 6
	// storeDenialTime is how long the store turns one machine away: that of the site's
	// platform_down with "nodes".
	storeDenialTime = 9 * time.Second
	// longEvents and shortEvents are the events of long and short streams, 50 ms apart.
	longEvents, shortEvents = 160, 5
	// maxMixedStreams is the most streams with events of two versions that the rule allows.
	maxMixedStreams = 2
)

// versionZone returns the zone of the i-th gateway or runner: each has one gateway and two runners.
func versionZone(i int) string { return fmt.Sprintf("z%d", i%versionGateways+1) }

// streamResult is what a client got of one stream over its tries.
type streamResult struct {
	first  string
	events []event
	whole  bool
}

// versions returns the versions of the software that sent the events.
func (s *streamResult) versions() []string {
	var found []string
	seen := make(map[string]bool)
	for _, e := range s.events {
		if !seen[e.version] {
			seen[e.version] = true
			found = append(found, e.version)
		}
	}
	return found
}

// orderClients begin streams and take them up where they break off.
type orderClients struct {
	f      *fleet
	client *http.Client
	mu     sync.Mutex
	all    []*streamResult
}

// run begins a stream, and takes it up once if it breaks off.
func (o *orderClients) run(g *gatewayProcess, n int) {
	s := &streamResult{first: newAttempt()}
	c := call{gateway: g, method: http.MethodPost, path: "/stream/x", id: s.first, key: "key-w", input: 200, output: n * tokensPerEvent, deadline: 15 * time.Second}
	began := time.Now()
	for try := 0; try < 2 && !s.whole; try++ {
		a := do(o.client, c)
		s.events = append(s.events, parseEvents(a.body)...)
		s.whole = a.whole && a.status == http.StatusOK
		o.f.note("client attempt=%s gateway=%s resumes=%q last_event=%d status=%d whole=%t events=%d versions=%v", c.id, g.name, c.resumes, c.last, a.status, a.whole, len(parseEvents(a.body)), (&streamResult{events: parseEvents(a.body)}).versions())
		if len(s.events) == 0 {
			break
		}
		c.id, c.resumes, c.last = newAttempt(), s.first, s.events[len(s.events)-1].id
		c.deadline -= time.Since(began)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, s)
}

// driveRestartedVersion lets a target crash and come back under its id with newer software
// while the store turns one gateway away. Later the target crashes once more.
func driveRestartedVersion(f *fleet, opts caseOptions) (string, error) {
	err := f.startStore(versionGateways)
	if err != nil {
		return "", err
	}
	err = f.control("/put?table=op&key=config", orderConfig)
	if err != nil {
		return "", err
	}
	for i := range versionRunners {
		err = f.startRunner(fmt.Sprintf("i-%d", i+1), versionZone(i), "v1")
		if err != nil {
			return "", err
		}
	}
	for i := range versionGateways {
		_, err = f.startGateway(versionZone(i))
		if err != nil {
			return "", err
		}
	}
	f.note("all gateways are ready")
	o := &orderClients{f: f, client: newClient()}
	end := time.Now().Add(19 * time.Second)
	var clients sync.WaitGroup
	loop := func(g *gatewayProcess, n int, every time.Duration) {
		clients.Go(func() {
			for time.Now().Before(end) {
				clients.Go(func() { o.run(g, n) })
				time.Sleep(every)
			}
		})
	}
	for _, g := range f.gateways {
		loop(g, shortEvents, 125*time.Millisecond)
		loop(g, longEvents, 150*time.Millisecond)
	}
	if opts.trouble {
		time.Sleep(4 * time.Second)
		_ = f.control("/deny?gate=0&on=1", "")
		f.note("the store turns %s away (503)", f.gateways[0].name)
		denied := time.Now()
		time.Sleep(500 * time.Millisecond)
		f.killRunner("i-1")
		time.Sleep(1500 * time.Millisecond)
		err = f.startRunner("i-1", "z1", "v2")
		if err != nil {
			return "", err
		}
		time.Sleep(time.Until(denied.Add(storeDenialTime)))
		_ = f.control("/deny?gate=0&on=0", "")
		f.note("the store serves %s again", f.gateways[0].name)
		time.Sleep(2 * time.Second)
		f.killRunner("i-1")
		time.Sleep(1500 * time.Millisecond)
		err = f.startRunner("i-1", "z1", "v2")
		if err != nil {
			return "", err
		}
	}
	clients.Wait()
	return o.judge(), nil
}

// judge counts the streams that hold events of two versions, and checks their order.
func (o *orderClients) judge() string {
	mixed, whole := 0, 0
	for _, s := range o.all {
		if s.whole {
			whole++
		}
		for i, e := range s.events {
			if e.id != i+1 {
				return fmt.Sprintf("ORDER: stream %s has event %d in place %d", s.first, e.id, i+1)
			}
		}
		if len(s.versions()) > 1 {
			mixed++
			o.f.note("stream %s holds events of versions %v", s.first, s.versions())
		}
	}
	o.f.note("%d streams, %d whole, %d with events of two versions", len(o.all), whole, mixed)
	if mixed > maxMixedStreams {
		return fmt.Sprintf("ORDER: %d streams hold events of two versions; %d are allowed", mixed, maxMixedStreams)
	}
	return ""
}
