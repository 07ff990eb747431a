package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMiB is what a machine of the small deployment has.
const memoryMiB = 134

// Gateway is one process of the project, started as the deploy file has it.
type Gateway struct {
	Name, Zone, Caller, Readiness string
	settings                      string
	log                           *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// startedAt is when the process last started; endings are the processes that ended
	// without a signal of this program.
	startedAt time.Time
	meant     bool
	endings   int

	maxAnon, maxResident float64
	killed               int
}

func freeAddress() string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	defer lis.Close()
	return lis.Addr().String()
}

// NewGateway writes the settings of a gateway, as the project's template renders them.
func NewGateway(dir, name, zone, store string) *Gateway {
	g := &Gateway{Name: name, Zone: zone, Caller: freeAddress(), Readiness: freeAddress(), settings: filepath.Join(dir, name+".json")}
	settings := map[string]any{
		"name": name, "data_centre": zone,
		"doors":         map[string]string{"caller": g.Caller, "readiness": g.Readiness, "metrics": freeAddress(), "peer": freeAddress()},
		"store_address": store,
		"retries":       map[string]float64{"ratio": 0.2}, "times": map[string]float64{"stop_s": 8},
		"memory_mib": memoryMiB, "link_mbps": 1000, "file_descriptors": 4100,
		"contracts":           []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"data_centre_regions": map[string]string{"zone-a": "region", "zone-b": "region"},
		"log":                 map[string]string{"level": "info"},
	}
	data, err := json.Marshal(settings)
	cannotRun(err)
	cannotRun(os.WriteFile(g.settings, data, 0o600))
	g.log, err = os.Create(filepath.Join(dir, name+".log"))
	cannotRun(err)
	return g
}

// Start starts the process.
func (g *Gateway) Start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command(filepath.Join(repository, "target", "cuminrock-router"), "-gateway", "-settings", g.settings)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cannotRun(cmd.Start())
	g.cmd, g.ended, g.startedAt, g.meant = cmd, make(chan struct{}), time.Now(), false
	record("gateway_started", map[string]any{"gateway": g.Name})
	go func(ended chan struct{}) {
		err := cmd.Wait()
		g.mu.Lock()
		meant := g.meant
		if !meant {
			g.endings++
		}
		g.mu.Unlock()
		record("gateway_ended", map[string]any{"gateway": g.Name, "how": fmt.Sprint(err), "by_itself": !meant})
		close(ended)
	}(g.ended)
}

// Signal sends a signal to the process; end tells that it ends the process.
func (g *Gateway) Signal(sig syscall.Signal, end bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if end {
		g.meant = true
	}
	if g.cmd != nil {
		record("signal", map[string]any{"gateway": g.Name, "signal": sig.String()})
		g.cmd.Process.Signal(sig)
	}
}

// Await waits until the process has ended.
func (g *Gateway) Await() {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Memory returns the anonymous memory of the process and all that is resident, in MiB.
func (g *Gateway) Memory() (anon, resident float64) {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "RssAnon:":
			anon = kib / 1024
		case "VmRSS:":
			resident = kib / 1024
		}
	}
	return anon, resident
}

// Ready asks the gateway as the platform's balancer does.
func (g *Gateway) Ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + g.Readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the gateway is ready.
func (g *Gateway) AwaitReady() {
	for end := time.Now().Add(20 * time.Second); !g.Ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun(fmt.Errorf("%s isn't ready", g.Name))
		}
	}
}
