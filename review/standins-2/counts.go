package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["counts"] = counts }

const (
	// prepaidTokens is what the tenant may consume, runnerTokens the memory of a runner.
	prepaidTokens = 20_000
	runnerTokens  = 445_413
	tokensPerItem = 5
)

// engine is a runner with an engine. It counts what it reads and delivers.
type engine struct {
	mu       sync.Mutex
	consumed map[string]int
	rejected int
}

func (e *engine) consume(tenant string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consumed[tenant] += tokens
}

func (e *engine) serve(r *Runner, w http.ResponseWriter, req *http.Request) {
	in, out, _ := strings.Cut(req.Header.Get("X-Token-Usage"), ",")
	input, _ := strconv.ParseUint(in, 10, 64)
	output, _ := strconv.ParseUint(out, 10, 64)
	if input > runnerTokens || output > runnerTokens {
		// Larger than the runner's memory: rejected as if it were full.
		e.mu.Lock()
		e.rejected++
		e.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		w.Header().Del("X-Response-Signature")
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	tenant := req.Header.Get("X-Tenant")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	time.Sleep(20 * time.Millisecond)
	e.consume(tenant, int(input))
	for i := 1; i <= int(output)/tokensPerItem; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		e.consume(tenant, tokensPerItem)
	}
}

// counts: a client states token counts whose sum doesn't fit into 64 bits. It waits for its
// answers like any other. The rule is BUDGET: a tenant gets no more than its prepaid.
func counts() bool {
	store := NewStore()
	e := &engine{consumed: map[string]int{}}
	for i := range 3 {
		StartRunner(store, fmt.Sprintf("i-%02d", i), "model-pool", "zone-a", 64, e.serve)
	}
	store.Put("op", "config", map[string]any{"version": 7,
		"routes": []any{map[string]any{"name": "r1", "hostname": "a.example", "prefix": "/s/", "routeType": "streaming", "timeoutMs": 15000,
			"targetLatencyMs": 800, "targetGapMs": 400, "priority": 0, "service": "model-pool", "maxAttempts": 2, "streamResume": true, "sessionAffinity": true}},
		"services": []any{map[string]any{"name": "model-pool", "healthPath": "/healthz", "engine": map[string]any{"stride": tokensPerItem}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}, "prepaid": prepaidTokens}},
	})
	g := NewGateway(scratch, "edge-0", "zone-a", store.Address)
	gateways = append(gateways, g)
	g.Start()
	g.AwaitReady()
	ask := func(usage string) Answer {
		return AskNew(g.Caller, "POST", "a.example", "/s/1", [][2]string{{"X-Model", "m"}, {"Api-Key", "k1"}, {"X-Token-Usage", usage}, {"X-Prompt-Prefix", "5c1e07a2:900"}},
			[]byte("x"), 15*time.Second)
	}
	var mu sync.Mutex
	served, refused := 0, map[int]int{}
	var wg sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for range 4 {
		wg.Go(func() {
			for time.Now().Before(end) {
				a := ask("900,100")
				mu.Lock()
				if a.Status == http.StatusOK && a.Err == nil {
					served++
				} else {
					refused[a.Status]++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		time.Sleep(2 * time.Second)
		for trouble && time.Now().Before(end) {
			ask("9223372036854775807,9223372036854765809") // 10,000 less than two to the 64th
			time.Sleep(20 * time.Millisecond)
		}
	})
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	record("result", map[string]any{"prepaid": prepaidTokens, "consumed": e.consumed["t1"], "served": served, "rejected_by_runners": e.rejected})
	fmt.Printf("t1 consumed %d of %d tokens; %d requests served, refused %v; runners rejected %d\n", e.consumed["t1"], prepaidTokens, served, refused, e.rejected)
	return e.consumed["t1"] > prepaidTokens
}
