package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// memoryLimit is the memory in bytes above which the platform kills a process; the
	// settings name it in MB.
	memoryLimit = 134 << 20
	// memoryBody is the size of a body in bytes. The configuration allows 4,194,304.
	memoryBody = 4_000_000
	// memoryClients is the number of clients that come to a gateway at once, memoryBursts
	// how often they come, and memoryPause the time between two bursts.
	memoryClients, memoryBursts, memoryPause = 40, 6, 2 * time.Second
	// restartDelay is the time until the platform starts a killed process again.
	restartDelay = 200 * time.Millisecond
	// lostAllowed is the number of requests on kept connections that a machine may pass on to
	// a sound runner and not answer.
	lostAllowed = 3
)

// anonymousBytes returns the anonymous memory of a process in bytes; 0 if it has ended.
func anonymousBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// memoryWatch kills a gateway that exceeds its memory, as the platform does, and starts it
// again. It returns the number of kills and the most memory in bytes, once done is closed.
func memoryWatch(t *trial, g *gateway, done chan struct{}) (kills int, most int64, err error) {
	for {
		select {
		case <-done:
			return kills, most, nil
		case <-time.After(2 * time.Millisecond):
		}
		used := anonymousBytes(g.process.Process.Pid)
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		kills++
		t.rec.say("the platform kills %s: it uses %d MiB, %d are allowed", g.name, used>>20, memoryLimit>>20)
		g.kill()
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			return kills, most, err
		}
	}
}

// memoryCase: many clients come at once to two gateways, on kept connections and with bodies
// that the configuration allows. The platform kills a gateway whose memory exceeds its limit,
// which counts as an end of its own. Requests that were passed on to a runner must be answered.
// Without the disruption as many requests come one after the other.
func memoryCase(t *trial) error {
	if err := t.deploy(configuration(1_000_000)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("entry of a register\n"), memoryBody/20)
	done := make(chan struct{})
	var watching, clients sync.WaitGroup
	kills, most, errs := make([]int, 2), make([]int64, 2), make([]error, 2)
	var sums foreignSums
	var lost [2]atomic.Int64
	ask := func(i int, g *gateway, kept *http.Transport) {
		a := sendOver(t.rec, kept, g, call{id: nextID(), method: "POST", path: "/correct/2f", key: "n2ctnfzs989anu6wsjnb", body: body, deadline: time.Second})
		sums.add(a)
		if a.overKept && a.status == 0 && !errors.Is(a.err, context.DeadlineExceeded) && t.rec.hasRun(a.id) {
			lost[i].Add(1)
			t.rec.line("lost", "id", a.id, "gateway", g.name, "error", a.err)
		}
	}
	// open opens a connection with a first small request.
	open := func(g *gateway) *http.Transport {
		kept := &http.Transport{}
		sendOver(t.rec, kept, g, call{id: nextID(), method: "GET", path: "/lookup/2f", key: "n2ctnfzs989anu6wsjnb", deadline: time.Second})
		return kept
	}
	for i, g := range t.gateways[:2] {
		watching.Add(1)
		go func() { defer watching.Done(); kills[i], most[i], errs[i] = memoryWatch(t, g, done) }()
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range memoryBursts {
				var kept [memoryClients]*http.Transport
				for n := range kept {
					kept[n] = open(g)
				}
				var burst sync.WaitGroup
				for n := range kept {
					if !t.trouble {
						ask(i, g, kept[n])
						continue
					}
					burst.Add(1)
					go func() { defer burst.Done(); ask(i, g, kept[n]) }()
				}
				burst.Wait()
				for n := range kept {
					kept[n].CloseIdleConnections()
				}
				time.Sleep(memoryPause)
			}
		}()
	}
	clients.Wait()
	close(done)
	watching.Wait()
	broken := false
	for i, g := range t.gateways[:2] {
		if errs[i] != nil {
			return errs[i]
		}
		t.rec.say("%s: killed %d times, %d MiB at most; %d requests on kept connections were run and not answered", g.name, kills[i], most[i]>>20, lost[i].Load())
		broken = broken || lost[i].Load() > lostAllowed
	}
	t.rec.say("at the end: %v", &sums)
	if broken {
		return fmt.Errorf("%w: LOST: a machine passed more than %d requests from kept connections on to a sound runner and closed these without an answer", errBroken, lostAllowed)
	}
	return nil
}
