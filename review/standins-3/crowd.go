package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// The crowdCut gateways of one zone are cut off from all targets, the one of the other zone
	// isn't.
	crowdCut, crowdRunners = 3, 6
	// crowdClients upload crowdBytes each at every gateway that is cut off, all at once, again
	// and again.
	crowdClients, crowdBytes = 40, 1_000_000
	crowdWaves, crowdWaveGap = 3, 1500 * time.Millisecond
	// ordinaryClients make small requests at the gateway that isn't cut off, each on one
	// connection.
	ordinaryClients = 20
	// The crowd comes at crowdAt, the cut lasts from crowdCutAt for crowdCutTime.
	crowdCutAt, crowdAt = 3 * time.Second, 4 * time.Second
	crowdCutTime        = 5500 * time.Millisecond
	crowdEnd            = 12 * time.Second
	// maxUnanswered is how many requests on kept connections a machine may leave without an
	// answer.
	maxUnanswered = 3
)

// ordinaryRequests counts requests of clients that keep their connections.
type ordinaryRequests struct {
	f *fleet

	mu         sync.Mutex
	answered   int
	unanswered []string
}

// loop makes one request after the other. After a failure it goes on with a new connection.
func (o *ordinaryRequests) loop(g *gatewayProcess, until time.Time) {
	client := newClient()
	kept := false
	for time.Now().Before(until) {
		c := call{gateway: g, method: http.MethodPost, path: "/once/x", id: newAttempt(), key: "key-w", deadline: 3 * time.Second}
		a := do(client, c)
		o.f.note("ordinary client attempt=%s gateway=%s kept=%t status=%d whole=%t err=%v", c.id, g.name, kept, a.status, a.whole, a.err)
		o.mu.Lock()
		switch {
		case a.status != 0:
			o.answered++
		case kept:
			o.unanswered = append(o.unanswered, c.id)
		}
		o.mu.Unlock()
		time.Sleep(min(a.retryAfter, c.deadline/3))
		kept = a.whole && a.status != 0
		if !kept {
			client.CloseIdleConnections()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// driveCrowd cuts the gateways of a zone off from all targets, while clients upload there.
func driveCrowd(f *fleet, opts caseOptions) (string, error) {
	links, err := startCrowdFleet(f)
	if err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	f.note("all gateways are ready")
	memory := watchMemory(f)
	began := time.Now()
	spared := f.gateways[crowdCut]
	o := &ordinaryRequests{f: f}
	var clients sync.WaitGroup
	for range ordinaryClients {
		clients.Go(func() { o.loop(spared, began.Add(crowdEnd)) })
	}
	clients.Go(func() {
		time.Sleep(crowdAt)
		uploadInWaves(f)
	})
	time.Sleep(crowdCutAt)
	err = cutAll(f, links, opts.trouble)
	time.Sleep(crowdCutTime)
	if opts.trouble && err == nil {
		err = cutAll(f, links, false)
	}
	clients.Wait()
	memory.end()
	if err != nil {
		return "", err
	}
	f.note("most memory in MiB %v, killed for memory %v", memory.peaks, memory.kills)
	return o.judge(spared)
}

// startCrowdFleet starts two zones, and a link to all targets for each gateway of the first.
func startCrowdFleet(f *fleet) ([]*link, error) {
	err := f.startStore(crowdCut + 1)
	if err != nil {
		return nil, err
	}
	err = f.control("/put?table=op&key=config", uploadConfig)
	if err != nil {
		return nil, err
	}
	links := make([]*link, crowdCut)
	for i := range links {
		links[i] = newLink()
	}
	for i := range crowdRunners {
		id := fmt.Sprintf("i-%d", i+1)
		err = f.startRunner(id, fmt.Sprintf("z%d", i%2+1), "v1")
		if err != nil {
			return nil, err
		}
		for gate, l := range links {
			address, err := l.add(f.runners[id].address)
			if err != nil {
				return nil, err
			}
			err = f.control(fmt.Sprintf("/alias?gate=%d&from=%s&to=%s", gate, url.QueryEscape(f.runners[id].address), url.QueryEscape(address)), "")
			if err != nil {
				return nil, err
			}
		}
	}
	for i := range crowdCut + 1 {
		_, err = f.startGateway(fmt.Sprintf("z%d", i/crowdCut+1))
		if err != nil {
			return nil, err
		}
	}
	return links, nil
}

// cutAll cuts the links, or mends them.
func cutAll(f *fleet, links []*link, cut bool) error {
	for _, l := range links {
		if l.isCut() == cut {
			continue
		}
		err := l.setCut(cut)
		if err != nil {
			return err
		}
		f.note("a gateway of z1 is cut off from all runners: %t", cut)
	}
	return nil
}

// uploadInWaves lets all clients of the first zone upload at once, again and again.
func uploadInWaves(f *fleet) {
	client := newClient()
	var uploads sync.WaitGroup
	for range crowdWaves {
		for _, g := range f.gateways[:crowdCut] {
			for range crowdClients {
				uploads.Go(func() {
					c := call{gateway: g, method: http.MethodPost, path: "/once/x", id: newAttempt(), key: "key-w", deadline: 3 * time.Second, size: crowdBytes}
					a := do(client, c)
					f.note("upload attempt=%s gateway=%s bytes=%d status=%d whole=%t err=%v", c.id, g.name, c.size, a.status, a.whole, a.err)
				})
			}
		}
		time.Sleep(crowdWaveGap)
	}
	uploads.Wait()
}

// judge checks the rule LOST of requests on kept connections. Only those count that a target ran.
func (o *ordinaryRequests) judge(g *gatewayProcess) (string, error) {
	data, err := os.ReadFile(filepath.Join(o.f.dir, "runners.txt"))
	if err != nil {
		return "", err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := 0
	for _, attempt := range o.unanswered {
		if strings.Contains(string(data), " run attempt="+attempt+" ") {
			lost++
		}
	}
	o.f.note("%s: %d requests of ordinary clients answered; %d on kept connections ended without an answer, %d of these ran", g.name, o.answered, len(o.unanswered), lost)
	if lost > maxUnanswered {
		return fmt.Sprintf("LOST: %d requests on kept connections that a sound runner ran had no answer, %d are allowed", lost, maxUnanswered), nil
	}
	return "", nil
}
