package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["endless"] = endless }

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// endless: half of the runners of a service are in trouble: the bodies of their answers have
// no end. The rule is LOST: a machine passes requests on to sound runners, and their
// connections are closed without an answer, as its process has ended for want of memory.
func endless() bool {
	store := NewStore()
	runners, bad := envInt("RUNNERS", 12), envInt("BAD", 6)
	rate := envInt("RATE", 10)
	speed := envInt("SPEED", 1<<20) // bytes a second
	status := envInt("STATUS", 500)
	var mu sync.Mutex
	soundGot := map[string]bool{}
	inTrouble := false
	sound := func(r *Runner, w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		soundGot[req.Header.Get("X-Attempt-Id")] = true
		mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Weight-Versions", "1")
		time.Sleep(500 * time.Millisecond)
		for i := 1; i <= 20; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %0100d\n\n", i, i); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(30 * time.Millisecond)
		}
	}
	faulty := func(r *Runner, w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		now := inTrouble
		mu.Unlock()
		if !now {
			sound(r, w, req)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		block := make([]byte, speed/100)
		for i := range block {
			block[i] = 'x'
		}
		n := 0
		for {
			mu.Lock()
			now := inTrouble
			mu.Unlock()
			if !now {
				return
			}
			m, err := w.Write(block)
			n += m
			if err != nil {
				record("endless_ended", map[string]any{"id": req.Header.Get("X-Attempt-Id"), "runner": r.ID, "bytes": n})
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for i := range runners {
		serve := sound
		if i < bad {
			serve = faulty
		}
		StartRunner(store, fmt.Sprintf("i-%02d", i), "model-pool", []string{"zone-a", "zone-b"}[i%2], 64, serve)
	}
	store.Put("op", "config", streamConfig())
	for i := range 2 {
		g := NewGateway(scratch, fmt.Sprintf("edge-%d", i), []string{"zone-a", "zone-b"}[i], store.Address)
		gateways = append(gateways, g)
		g.Start()
	}
	for _, g := range gateways {
		g.AwaitReady()
	}
	stop := make(chan struct{})
	var lost, cut, served, failed int
	var wg sync.WaitGroup
	for _, g := range gateways {
		go watchMemory(g, stop)
		wg.Go(func() {
			tick := time.NewTicker(time.Second / time.Duration(rate))
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				wg.Go(func() {
					c, err := net.DialTimeout("tcp", g.Caller, time.Second)
					if err != nil {
						return
					}
					defer c.Close()
					size := 800 + 500*(n%5)
					// The connection is kept from a first request, which no route serves.
					r := bufio.NewReader(c)
					first := Ask(c, r, "GET", "a.example", "/none", nil, nil, time.Second)
					if first.Err != nil || first.Close {
						return
					}
					a := Ask(c, r, "POST", "a.example", "/s/1", [][2]string{{"X-Model", "m"}, {"X-Token-Usage", fmt.Sprintf("%d,100", size)},
						{"X-Prompt-Prefix", fmt.Sprintf("%08x:%d,%08x:400", 100+n%20, size-400, 1000+n)}}, make([]byte, 2000), 15*time.Second)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case a.Status == 200 && a.Err == nil:
						served++
					case a.Status == 0 && soundGot[a.ID]:
						lost++
						record("lost", map[string]any{"id": a.ID, "gateway": g.Name})
					case a.Err != nil && soundGot[a.ID]:
						cut++
					default:
						failed++
					}
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	inTrouble = trouble
	mu.Unlock()
	record("trouble", map[string]any{"on": trouble})
	time.Sleep(time.Duration(envInt("FOR", 20)) * time.Second)
	mu.Lock()
	inTrouble = false
	mu.Unlock()
	close(stop)
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("served %d, failed %d; passed on to sound runners and closed without an answer %d, in the answer %d\n", served, failed, lost, cut)
	record("result", map[string]any{"served": served, "failed": failed, "lost": lost, "cut_in_the_answer": cut})
	for _, g := range gateways {
		record("memory", map[string]any{"gateway": g.Name, "limit_mib": memoryMiB, "most_anonymous_mib": g.maxAnon, "killed": g.killed})
		fmt.Printf("%s: most memory %.0f MiB anonymous, %.0f resident; killed for memory %d times\n", g.Name, g.maxAnon, g.maxResident, g.killed)
	}
	return lost > 3
}

// watchMemory does what the platform does: a process beyond its memory is killed, and
// started again.
func watchMemory(g *Gateway, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		anon, resident := g.Memory()
		g.maxAnon, g.maxResident = max(g.maxAnon, anon), max(g.maxResident, resident)
		if anon <= memoryMiB {
			continue
		}
		record("over_memory", map[string]any{"gateway": g.Name, "anonymous_mib": anon, "resident_mib": resident})
		g.killed++
		g.Signal(syscall.SIGKILL, true)
		g.Await()
		time.Sleep(500 * time.Millisecond)
		g.Start()
	}
}

// streamConfig is a configuration with one route, whose streams may be resumed.
func streamConfig() map[string]any {
	return map[string]any{"version": 7,
		"routes": []any{map[string]any{"name": "r1", "hostname": "a.example", "prefix": "/s/", "routeType": "streaming", "timeoutMs": 15000,
			"targetLatencyMs": 800, "targetGapMs": 400, "priority": 0, "service": "model-pool", "maxAttempts": 2, "streamResume": true, "sessionAffinity": true}},
		"services": []any{map[string]any{"name": "model-pool", "healthPath": "/healthz", "engine": map[string]any{"stride": 5}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	}
}
