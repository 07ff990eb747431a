package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["heads"] = heads }

// heads: a crowd of clients sends heads of legal size with thousands of prompt parts, and
// waits for its streams. The rule is LOST, for the ordinary requests beside them, whose
// gateway's process ends for want of memory.
func heads() bool {
	clients, parts := envInt("CLIENTS", 580), envInt("PARTS", 3900)
	store := NewStore()
	var mu sync.Mutex
	passed := map[string]bool{}
	stream := func(r *Runner, w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		passed[req.Header.Get("X-Attempt-Id")] = true
		mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Weight-Versions", "1")
		for i := 1; i <= 30; i++ {
			time.Sleep(300 * time.Millisecond)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
	for i := range 12 {
		StartRunner(store, fmt.Sprintf("i-%02d", i), "model-pool", "zone-a", 64, stream)
	}
	store.Put("op", "config", streamConfig())
	g := NewGateway(scratch, "edge-0", "zone-a", store.Address)
	gateways = append(gateways, g)
	g.Start()
	g.AwaitReady()
	stop := make(chan struct{})
	go watchMemory(g, stop)
	end := time.Now().Add(25 * time.Second)
	served, lost, cut := 0, 0, 0
	var wg sync.WaitGroup
	crowd := map[int]int{}
	for k := range clients {
		wg.Go(func() {
			time.Sleep(2*time.Second + time.Duration(k)*10*time.Millisecond)
			prefix := fmt.Sprintf("%08x:200,%08x:400", k%20, 1000+k)
			if trouble {
				prefix = strings.Repeat("a:1,", parts-1) + fmt.Sprintf("%x:1", k)
			}
			for time.Now().Before(end) {
				a := AskNew(g.Caller, "POST", "a.example", "/s/1", [][2]string{{"X-Model", "m"}, {"X-Token-Usage", "4000,150"}, {"X-Prompt-Prefix", prefix}}, []byte("x"), 15*time.Second)
				mu.Lock()
				crowd[a.Status]++
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				c, err := net.DialTimeout("tcp", g.Caller, time.Second)
				if err != nil {
					return
				}
				defer c.Close()
				a := Ask(c, bufio.NewReader(c), "POST", "a.example", "/s/2", [][2]string{{"X-Model", "m"}, {"X-Token-Usage", "828,150"},
					{"X-Prompt-Prefix", fmt.Sprintf("%08x:198,%08x:630", 100+n%20, 1000+n)}}, make([]byte, 830), 15*time.Second)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Status == http.StatusOK && a.Err == nil:
					served++
				case a.Status == 0 && passed[a.ID]:
					lost++
					record("lost", map[string]any{"id": a.ID})
				case a.Status == http.StatusOK:
					cut++
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
	})
	wg.Wait()
	close(stop)
	fmt.Printf("ordinary streams: served %d, passed on and closed without an answer %d, cut in the answer %d; the crowd's answers %v\n", served, lost, cut, crowd)
	fmt.Printf("%s: most memory %.0f MiB anonymous, %.0f resident; killed for memory %d times\n", g.Name, g.maxAnon, g.maxResident, g.killed)
	record("result", map[string]any{"served": served, "lost": lost, "cut_in_the_answer": cut, "killed": g.killed, "most_anonymous_mib": g.maxAnon, "limit_mib": memoryMiB})
	return lost > 3
}
