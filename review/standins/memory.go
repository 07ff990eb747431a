package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
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
	// endsAllowed is the number of ends by themselves from which on a machine counts, and
	// machinesAllowed the number of such machines that break the rule.
	endsAllowed, machinesAllowed = 3, 2
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

// memoryCase: many clients come at once to two gateways, with bodies that the configuration
// allows. Processes must not end by themselves, of which memory over the limit is a part.
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
	ask := func(g *gateway) {
		sums.add(send(t.rec, g, call{id: nextID(), method: "POST", path: "/correct/2f", key: "n2ctnfzs989anu6wsjnb", body: body, deadline: time.Second}))
	}
	for i, g := range t.gateways[:2] {
		watching.Add(1)
		go func() { defer watching.Done(); kills[i], most[i], errs[i] = memoryWatch(t, g, done) }()
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range memoryBursts {
				var burst sync.WaitGroup
				for range memoryClients {
					if !t.trouble {
						ask(g)
						continue
					}
					burst.Add(1)
					go func() { defer burst.Done(); ask(g) }()
				}
				burst.Wait()
				time.Sleep(memoryPause)
			}
		}()
	}
	clients.Wait()
	close(done)
	watching.Wait()
	broken := 0
	for i, g := range t.gateways[:2] {
		if errs[i] != nil {
			return errs[i]
		}
		t.rec.say("%s: killed %d times, %d MiB at most", g.name, kills[i], most[i]>>20)
		if kills[i] >= endsAllowed {
			broken++
		}
	}
	t.rec.say("at the end: %v", &sums)
	if broken >= machinesAllowed {
		return fmt.Errorf("%w: Fault: processes of %d machines ended by themselves %d times or more", errBroken, broken, endsAllowed)
	}
	return nil
}
