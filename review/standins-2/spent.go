package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["spent"] = spent }

const (
	// contactTime is the time after its start from which a machine counts as in touch.
	contactTime = 3200 * time.Millisecond
	// streamTokens is what a stream of the tenant takes at its most: its prompt and
	// streamOutput.
	streamTokens, streamOutput = 1000, 100
	// shortEvents and shortPause make streams of two seconds.
	shortEvents = streamOutput / tokensPerItem
	shortPause  = 100 * time.Millisecond
)

// spent: all gateways are killed while a tenant's balance nears its end, but covers all
// streams that were cut. Clients take them up. The rule is LOST.
func spent() bool {
	prepaid := envInt("PREPAID", 400_000)
	rate := envInt("RATE", 20)
	down := time.Duration(envInt("DOWN_MS", 2000)) * time.Millisecond
	store := NewStore()
	for i := range 4 {
		r := &Runner{Version: "2026.9"}
		r.start(store, fmt.Sprintf("i-%02d", i), "model-pool", []string{"zone-a", "zone-b"}[i%2], 64, func(r *Runner, w http.ResponseWriter, req *http.Request) {
			events(r, w, req, shortEvents, shortPause)
		})
	}
	config := streamConfig()
	config["tenants"] = []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}, "prepaid": prepaid}, map[string]any{"name": "t2", "apiKeys": []string{"k2"}, "prepaid": 100_000_000}}
	store.Put("op", "config", config)
	for i := range 2 {
		g := NewGateway(scratch, fmt.Sprintf("edge-%d", i), []string{"zone-a", "zone-b"}[i], store.Address)
		gateways = append(gateways, g)
		g.Start()
	}
	for _, g := range gateways {
		g.AwaitReady()
	}
	ask := func(g *Gateway, key string, n int, extra [][2]string, timeout time.Duration) Answer {
		c, err := net.DialTimeout("tcp", g.Caller, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		defer c.Close()
		fields := append([][2]string{{"X-Model", "m"}, {"Api-Key", key}, {"X-Token-Usage", fmt.Sprintf("%d,%d", streamTokens-streamOutput, streamOutput)},
			{"X-Prompt-Prefix", fmt.Sprintf("%08x:500,%08x:%d", 100+n%20, 1000+n, streamTokens-streamOutput-500)}}, extra...)
		return Ask(c, bufio.NewReader(c), "POST", "a.example", "/s/1", fields, make([]byte, 900), timeout)
	}
	// The kill comes when all that is in progress, and all of it once more, still fits into 97
	// in 100 of the balance.
	const share = 0.97
	inProgress := 2 * rate
	killAfter := int(share*float64(prepaid))/streamTokens - inProgress - envInt("SPARE", 5)
	var mu sync.Mutex
	sent, ran, begun, news, tookUp, wentOn := 0, 0, 0, 0, 0, 0
	consumed := 0
	refusals := map[int]int{}
	kill := make(chan struct{})
	var killed time.Time
	inTouch := make(chan struct{})
	takeUp := func(n int, a Answer, at time.Time) {
		<-inTouch
		status := 0
		for try := 0; try < 4 && time.Since(at) < 13*time.Second; {
			b := ask(gateways[(n+try)%2], "k1", n, [][2]string{{"Last-Event-Id", lastEvent(a.Body)}, {"Resumes", a.ID}}, 15*time.Second-time.Since(at))
			if b.Status == 0 {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			try++
			status = b.Status
			if b.Status == http.StatusOK && len(b.Body) > 0 {
				mu.Lock()
				wentOn++
				consumed += streamTokens - streamOutput + tokensPerItem*bytes.Count(b.Body, []byte("\n\n"))
				mu.Unlock()
				break
			}
			after, err := strconv.ParseFloat(b.Header.Get("Retry-After"), 64)
			if err != nil {
				after = 0.5
			}
			time.Sleep(time.Duration(after * float64(time.Second)))
		}
		mu.Lock()
		defer mu.Unlock()
		tookUp++
		if status != http.StatusOK {
			refusals[status]++
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			mu.Lock()
			done := ran >= killAfter
			mu.Unlock()
			if done || n > 4*killAfter {
				close(kill)
				return
			}
			wg.Go(func() {
				at := time.Now()
				mu.Lock()
				sent++
				ran++ // counted at its most from here on
				mu.Unlock()
				a := ask(gateways[n%2], "k1", n, nil, 15*time.Second)
				mu.Lock()
				if a.Status != http.StatusOK {
					ran--
				} else {
					consumed += streamTokens - streamOutput + tokensPerItem*bytes.Count(a.Body, []byte("\n\n"))
				}
				mu.Unlock()
				if a.Status == http.StatusOK && a.Err != nil && lastEvent(a.Body) != "" {
					takeUp(n, a, at)
				}
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
	})
	<-kill
	killed = time.Now()
	record("killed_at", map[string]any{"sent": sent, "passed_on": ran})
	if trouble {
		for _, g := range gateways {
			g.Signal(syscall.SIGKILL, true)
		}
		for _, g := range gateways {
			g.Await()
		}
		time.Sleep(down)
		for _, g := range gateways {
			g.Start()
		}
		time.Sleep(contactTime)
		for _, g := range gateways {
			g.AwaitReady()
		}
	}
	record("in_touch", nil)
	close(inTouch)
	for n := range 60 {
		wg.Go(func() {
			a := ask(gateways[n%2], "k2", 5000+n, nil, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			news++
			if a.Status == http.StatusOK && len(a.Body) > 0 {
				begun++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	fmt.Printf("%d streams begun by t1 in %.0f s, then all gateways killed; at their most %d of %d tokens with those taken up\n", ran, killed.Sub(began).Seconds(), (ran+tookUp)*streamTokens, prepaid)
	fmt.Printf("of %d streams that clients took up again, %d went on (others ended with %v); of %d new ones of t2 %d began; t1 consumed %d\n", tookUp, wentOn, refusals, news, begun, consumed)
	record("result", map[string]any{"taken_up": tookUp, "went_on": wentOn, "new": news, "new_begun": begun, "consumed": consumed, "prepaid": prepaid, "at_most": (ran + tookUp) * streamTokens})
	if tookUp < 12 || begun == 0 || float64((ran+tookUp)*streamTokens) > share*float64(prepaid) {
		return false
	}
	return float64(wentOn)/float64(tookUp) < float64(begun)/float64(news)/2
}
