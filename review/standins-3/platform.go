package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// machineMiB is the memory of a machine, and sampleInterval how often it is measured.
	machineMiB     = 134
	sampleInterval = 5 * time.Millisecond
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
)

// platform ends gateways that exceed the memory of their machine, and starts them again.
type platform struct {
	f        *fleet
	stop     chan struct{}
	watching sync.WaitGroup

	mu sync.Mutex
	// peaks is the most memory of each gateway in MiB, and kills how often it was ended.
	peaks, kills map[string]int
}

func watchMemory(f *fleet) *platform {
	p := &platform{f: f, stop: make(chan struct{}), peaks: make(map[string]int), kills: make(map[string]int)}
	for _, g := range f.gateways {
		p.watching.Go(func() { p.watch(g) })
	}
	return p
}

// end ends the watch.
func (p *platform) end() {
	close(p.stop)
	p.watching.Wait()
}

func (p *platform) watch(g *gatewayProcess) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(sampleInterval):
		}
		memory := anonymousMiB(g.command.Process.Pid)
		p.mu.Lock()
		p.peaks[g.name] = max(p.peaks[g.name], memory)
		p.mu.Unlock()
		if memory <= machineMiB {
			continue
		}
		_ = g.command.Process.Kill()
		p.f.note("%s occupies %d MiB of %d and is killed", g.name, memory, machineMiB)
		p.mu.Lock()
		p.kills[g.name]++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		err := p.f.runGateway(g)
		if err != nil {
			p.f.note("%s doesn't start again: %v", g.name, err)
		}
	}
}

// anonymousMiB returns a process's anonymous memory, which is less than what counts on the
// platform; 0 once it has ended.
func anonymousMiB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "RssAnon:")
		if found {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib >> 10
		}
	}
	return 0
}
