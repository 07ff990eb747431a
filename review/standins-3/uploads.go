package main

import (
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// uploadConfig has one service, and routes for uploads: some run at most once, some may be
// repeated. No body is longer than maxBodyBytes allows.
const uploadConfig = `{"version":1,
 "routes":[{"name":"once","hostname":"h.example","prefix":"/once/","routeType":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"s","maxAttempts":1},
  {"name":"repeat","hostname":"h.example","prefix":"/repeat/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"s","maxAttempts":2}],
 "services":[{"name":"s","maxConnections":360}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w","apiKeys":["key-w"]}]}`

const (
	uploadGateways, uploadRunners = 4, 6
	// uploadBytes is the size of three bodies of four, the others are small.
	uploadBytes = 1_200_000
	uploadGap   = 70 * time.Millisecond
	// uploadCutTime is how long one gateway is cut off from all targets: that of the site's
	// node_cut.
	uploadCutAt, uploadCutTime, uploadTime = 4 * time.Second, 5500 * time.Millisecond, 14 * time.Second
	// contactTime is the pages' contactMs.
	contactTime = 3 * time.Second
)

// uploadClients make first tries, and count those that were sent from contactTime after the cut
// began until its end.
type uploadClients struct {
	f      *fleet
	client *http.Client

	mu sync.Mutex
	// cutFrom is when the cut began; zero before.
	cutFrom time.Time
	// atCut and elsewhere are the tries at the gateway that is cut off, and at the others.
	atCut, elsewhere tries
}

type tries struct{ sent, served int }

// share returns the share of the tries that were served.
func (t tries) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

func (u *uploadClients) run(n int, g *gatewayProcess) {
	c := call{gateway: g, method: http.MethodPost, path: "/once/x", id: newAttempt(), key: "key-w", deadline: 3 * time.Second}
	if n%8 >= 4 {
		c.path = "/repeat/x"
	}
	if n%4 != 0 {
		c.size = uploadBytes
	}
	sent := time.Now()
	a := do(u.client, c)
	u.f.note("client attempt=%s gateway=%s path=%s bytes=%d status=%d whole=%t", c.id, g.name, c.path, max(c.size, smallBody), a.status, a.whole)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cutFrom.IsZero() || sent.Before(u.cutFrom.Add(contactTime)) || sent.After(u.cutFrom.Add(uploadCutTime)) {
		return
	}
	counted := &u.elsewhere
	if g == u.f.gateways[0] {
		counted = &u.atCut
	}
	counted.sent++
	if a.status == http.StatusOK && a.whole {
		counted.served++
	}
}

// driveUploads cuts one gateway off from all targets; the store, its clients and the other
// gateways still reach it.
func driveUploads(f *fleet, opts caseOptions) (string, error) {
	first := newLink()
	err := f.startStore(uploadGateways)
	if err != nil {
		return "", err
	}
	err = f.control("/put?table=op&key=config", uploadConfig)
	if err != nil {
		return "", err
	}
	for i := range uploadRunners {
		id := fmt.Sprintf("i-%d", i+1)
		err = f.startRunner(id, versionZone(i), "v1")
		if err != nil {
			return "", err
		}
		address, err := first.add(f.runners[id].address)
		if err != nil {
			return "", err
		}
		err = f.control("/alias?gate=0&from="+url.QueryEscape(f.runners[id].address)+"&to="+url.QueryEscape(address), "")
		if err != nil {
			return "", err
		}
	}
	for i := range uploadGateways {
		_, err = f.startGateway(versionZone(i))
		if err != nil {
			return "", err
		}
	}
	// From here on no gateway counts as just started.
	time.Sleep(contactTime)
	f.note("all gateways are ready")
	u := &uploadClients{f: f, client: newClient()}
	began := time.Now()
	var clients sync.WaitGroup
	for _, g := range f.gateways {
		clients.Go(func() {
			for n := 0; time.Since(began) < uploadTime; n++ {
				clients.Go(func() { u.run(n, g) })
				time.Sleep(uploadGap)
			}
		})
	}
	time.Sleep(uploadCutAt)
	u.mu.Lock()
	u.cutFrom = time.Now()
	u.mu.Unlock()
	if opts.trouble {
		err = first.setCut(true)
		f.note("%s is cut off from all runners", f.gateways[0].name)
	}
	time.Sleep(uploadCutTime)
	if opts.trouble && err == nil {
		err = first.setCut(false)
		f.note("%s reaches the runners again", f.gateways[0].name)
	}
	clients.Wait()
	if err != nil {
		return "", err
	}
	return u.judge(), nil
}

// judge checks the rule RECOVER of machines that are partitioned from all runners.
func (u *uploadClients) judge() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	failed, all := u.atCut.sent-u.atCut.served, u.atCut.sent+u.elsewhere.sent
	u.f.note("from contactMs after the cut on: at the machine that is cut off %d of %d first tries served, at the others %d of %d",
		u.atCut.served, u.atCut.sent, u.elsewhere.served, u.elsewhere.sent)
	if u.atCut.share() < u.elsewhere.share()*2/3 && failed > 10+all/50 {
		return fmt.Sprintf("RECOVER: %d of %d first tries served at the machine that is cut off, %d of %d at the others", u.atCut.served, u.atCut.sent, u.elsewhere.served, u.elsewhere.sent)
	}
	return ""
}
