package main

import (
	"sync"
	"time"
)

// originConfig has one service of engines and a route whose streams may be resumed.
const originConfig = `{"version":1,
 "routes":[{"name":"stream","hostname":"h.example","prefix":"/stream/","routeType":"streaming","streamResume":true,
  "timeoutMs":15000,"targetLatencyMs":800,"targetGapMs":400,"priority":1,"service":"s","maxAttempts":2}],
 "services":[{"name":"s","maxConnections":360,"engine":{"slots":64,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w","apiKeys":["key-w"]}]}`

const (
	originInput = 400
	// originEvents are the events of a stream, 50 ms apart.
	originEvents, originGap = 80, 100 * time.Millisecond
	// The first gateway is cut off from the store at originCutAt for originCutTime, that of the
	// site's core_cut. It is killed originKillAfter later and starts again originKillTime after
	// that.
	originCutAt, originCutTime      = 20 * time.Second, 5500 * time.Millisecond
	originKillAfter, originKillTime = 5 * time.Second, 3500 * time.Millisecond
	originEnd                       = 32 * time.Second
)

// driveOrigin cuts one gateway off from the store, and kills it. Its clients take up their
// streams at the other one. There is only one version of the targets' software.
func driveOrigin(f *fleet, opts caseOptions) (string, error) {
	storeLink, err := startOriginFleet(f)
	if err != nil {
		return "", err
	}
	r := newResumeClients(f, originInput, originCutAt)
	first, second := f.gateways[0], f.gateways[1]
	var clients sync.WaitGroup
	clients.Go(func() { r.loop(first, "w", originEvents, 0, originCutAt+originKillAfter, originGap) })
	clients.Go(func() { r.loop(second, "w", originEvents, 0, originEnd, originGap) })
	time.Sleep(time.Until(r.began.Add(originCutAt)))
	if opts.cut {
		err = storeLink.setCut(true)
		if err != nil {
			return "", err
		}
		f.note("%s is cut off from the store", first.name)
	}
	time.Sleep(originKillAfter)
	if opts.trouble {
		_ = first.command.Process.Kill()
		f.note("%s is killed (SIGKILL)", first.name)
	}
	time.Sleep(originCutTime - originKillAfter)
	if opts.cut {
		err = storeLink.setCut(false)
		if err != nil {
			return "", err
		}
		f.note("%s reaches the store again", first.name)
	}
	if opts.trouble {
		time.Sleep(originKillTime)
		err = f.runGateway(first)
		if err != nil {
			return "", err
		}
	}
	clients.Wait()
	return r.judge(opts)
}

// startOriginFleet starts two gateways and four runners of one version. The first gateway reaches
// the store over a link.
func startOriginFleet(f *fleet) (*link, error) {
	err := f.startStore(2)
	if err != nil {
		return nil, err
	}
	err = f.control("/put?table=op&key=config", originConfig)
	if err != nil {
		return nil, err
	}
	storeLink := newLink()
	f.store.Gates[0], err = storeLink.add(f.store.Gates[0])
	if err != nil {
		return nil, err
	}
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		err = f.startRunner(id, "z1", "v1")
		if err != nil {
			return nil, err
		}
	}
	for range 2 {
		_, err = f.startGateway("z1")
		if err != nil {
			return nil, err
		}
	}
	f.note("all gateways are ready")
	return storeLink, nil
}
