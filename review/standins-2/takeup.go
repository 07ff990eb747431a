package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["takeup"] = takeup }

const (
	streamEvents = 40
	eventPause   = 50 * time.Millisecond
)

// resumable is a runner whose streams may be taken up after any event.
func resumable(r *Runner, w http.ResponseWriter, req *http.Request) {
	events(r, w, req, streamEvents, eventPause)
}

// events sends a stream, from the event after Last-Event-Id on.
func events(r *Runner, w http.ResponseWriter, req *http.Request, n int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= n; i++ {
		time.Sleep(pause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, r.Version, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// lastEvent returns the id of the last whole event of a body; empty without one.
func lastEvent(body []byte) string {
	whole := body[:bytes.LastIndex(body, []byte("\n\n"))+1]
	at := bytes.LastIndex(whole, []byte("id: "))
	if at < 0 {
		return ""
	}
	id, _, _ := strings.Cut(string(whole[at+len("id: "):]), "\n")
	return id
}

// takeup: a gateway is killed, and clients take up its streams at the other one.
func takeup() bool {
	version := "4f3a9c1d7be2a35f689c41d07be2a35f68d15f02"
	if v := os.Getenv("VERSION"); v != "" {
		version = v
	}
	rate := envInt("RATE", 62)
	store := NewStore()
	for i := range 4 {
		r := &Runner{Version: version}
		r.start(store, fmt.Sprintf("i-%02d", i), "model-pool", []string{"zone-a", "zone-b"}[i%2], 64, resumable)
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
	var mu sync.Mutex
	var begun, notBegun, tookUp, wentOn, broken int
	refusals := map[int]int{}
	end := time.Now().Add(40 * time.Second)
	killAt := time.Now().Add(28 * time.Second)
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
			if a.Status == http.StatusOK {
				begun++
			} else {
				notBegun++
			}
		}
		mu.Unlock()
		if a.Status != http.StatusOK || a.Err == nil || last == "" {
			return
		}
		// The connection broke in the stream: the client takes it up, a few times at most.
		mu.Lock()
		broken++
		mu.Unlock()
		first, on, status := a.ID, false, 0
		for range 3 {
			b := AskNew(other.Caller, "POST", "a.example", "/s/1", append(fields(n), [2]string{"Last-Event-Id", last}, [2]string{"Resumes", first}), make([]byte, 830), 15*time.Second-time.Since(sent))
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
	for i, perSecond := range []int{rate, 10} {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if i == 0 && time.Now().After(killAt) {
					return // the platform sends no new connections to a gateway that is gone
				}
				wg.Go(func() { client(gateways[i], gateways[1], n*2+i) })
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		})
	}
	time.Sleep(time.Until(killAt))
	if trouble {
		gateways[0].Signal(syscall.SIGKILL, true)
		gateways[0].Await()
		time.Sleep(500 * time.Millisecond)
		gateways[0].Start()
	}
	wg.Wait()
	for _, row := range store.Rows("streams") {
		fmt.Printf("row %s of streams: %d bytes\n", row.Key, len(row.Value))
	}
	fmt.Printf("of %d streams that clients took up again, %d went on (others ended with %v); of %d new ones %d began\n", tookUp, wentOn, refusals, begun+notBegun, begun)
	record("result", map[string]any{"taken_up": tookUp, "went_on": wentOn, "new": begun + notBegun, "new_begun": begun, "store_refused_rows": store.tooLarge})
	fmt.Println("transactions refused for a row over the limit:", store.tooLarge)
	if tookUp < 12 || begun == 0 {
		return false
	}
	return float64(wentOn)/float64(tookUp) < float64(begun)/float64(begun+notBegun)/2
}
