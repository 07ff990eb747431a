package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["split"] = split }

const (
	// longEvents and longPause make streams of six seconds.
	longEvents = 100
	longPause  = 60 * time.Millisecond
	// killDelay is the time from the change of the configuration to the kill.
	killDelay = 600 * time.Millisecond
)

// long is a runner whose streams may be taken up after any event.
func long(r *Runner, w http.ResponseWriter, req *http.Request) {
	events(r, w, req, longEvents, longPause)
}

// splitConfig is a configuration whose route is split between two services.
func splitConfig(version int, weights [2]int) map[string]any {
	config := streamConfig()
	config["version"] = version
	var shares, described []any
	for s, weight := range weights {
		name := fmt.Sprintf("pool-%c", 'a'+s)
		shares = append(shares, map[string]any{"service": name, "weight": weight})
		described = append(described, map[string]any{"name": name, "healthPath": "/healthz", "engine": map[string]any{"stride": 5}})
	}
	config["services"] = described
	route := config["routes"].([]any)[0].(map[string]any)
	delete(route, "service")
	route["trafficSplit"] = shares
	return config
}

// split: the traffic of a route is split between two services, and moved from one to the
// other. Right after that change a gateway is killed, and clients take up its streams at the
// other one. The rule is LOST.
func split() bool {
	tries := envInt("TRIES", 2)
	store := NewStore()
	for s, version := range []string{"2026.9", "2026.12"} {
		for i := range 4 {
			r := &Runner{Version: version}
			r.start(store, fmt.Sprintf("i-%c%d", 'a'+s, i), fmt.Sprintf("pool-%c", 'a'+s), []string{"zone-a", "zone-b"}[i%2], 64, long)
		}
	}
	store.Put("op", "config", splitConfig(7, [2]int{90, 10}))
	for i := range 2 {
		g := NewGateway(scratch, fmt.Sprintf("edge-%d", i), []string{"zone-a", "zone-b"}[i], store.Address)
		gateways = append(gateways, g)
		g.Start()
	}
	for _, g := range gateways {
		g.AwaitReady()
	}
	var mu sync.Mutex
	var begun, news, tookUp, wentOn int
	refusals := map[int]int{}
	end := time.Now().Add(35 * time.Second)
	killAt := time.Now().Add(25 * time.Second)
	fields := func(n int) [][2]string {
		return [][2]string{{"X-Model", "m"}, {"X-Token-Usage", "828,200"}, {"X-Prompt-Prefix", fmt.Sprintf("%08x:198,%08x:630", 100+n%20, 1000+n)}}
	}
	client := func(g, other *Gateway, n int) {
		sent := time.Now()
		c, err := net.DialTimeout("tcp", g.Caller, time.Second)
		if err != nil {
			return
		}
		defer c.Close()
		a := Ask(c, bufio.NewReader(c), "POST", "a.example", "/s/1", fields(n), make([]byte, 830), 15*time.Second)
		last := lastEvent(a.Body)
		mu.Lock()
		if sent.After(killAt) && g == other {
			news++
			if a.Status == http.StatusOK {
				begun++
			}
		}
		mu.Unlock()
		if a.Status != http.StatusOK || a.Err == nil || last == "" {
			return
		}
		on, status := false, 0
		for range tries {
			b := AskNew(other.Caller, "POST", "a.example", "/s/1", append(fields(n), [2]string{"Last-Event-Id", last}, [2]string{"Resumes", a.ID}), make([]byte, 830), 15*time.Second-time.Since(sent))
			status = b.Status
			if b.Status == http.StatusOK && len(b.Body) > 0 {
				on = true
				break
			}
			after, err := strconv.ParseFloat(b.Header.Get("Retry-After"), 64)
			if err != nil {
				after = 0.2
			}
			time.Sleep(time.Duration(after * float64(time.Second)))
		}
		mu.Lock()
		defer mu.Unlock()
		tookUp++
		if on {
			wentOn++
		} else {
			refusals[status]++
		}
	}
	var wg sync.WaitGroup
	for i, perSecond := range []int{40, 10} {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if i == 0 && time.Now().After(killAt) {
					return
				}
				wg.Go(func() { client(gateways[i], gateways[1], n*2+i) })
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		})
	}
	time.Sleep(time.Until(killAt) - killDelay)
	if trouble {
		store.Put("op", "config", splitConfig(9, [2]int{10, 90}))
		record("config", map[string]any{"version": 9, "weights": "10 and 90"})
		time.Sleep(time.Until(killAt))
		gateways[0].Signal(syscall.SIGKILL, true)
		gateways[0].Await()
		time.Sleep(500 * time.Millisecond)
		gateways[0].Start()
	}
	wg.Wait()
	fmt.Printf("of %d streams that clients took up again, %d went on (others ended with %v); of %d new ones %d began\n", tookUp, wentOn, refusals, news, begun)
	record("result", map[string]any{"taken_up": tookUp, "went_on": wentOn, "new": news, "new_begun": begun})
	if tookUp < 12 || begun == 0 {
		return false
	}
	return float64(wentOn)/float64(tookUp) < float64(begun)/float64(news)/2
}
