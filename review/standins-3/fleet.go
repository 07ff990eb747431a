package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, targets and gateways, each a process of its own.
type fleet struct {
	// dir is a temporary folder, and program that of the gateways.
	dir, program string
	store        storeAddresses
	gateways     []*gatewayProcess
	runners      map[string]*runnerProcess

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	startedAt time.Time
}

type gatewayProcess struct {
	name, caller, ready, settings string
	command                       *exec.Cmd
}

type runnerProcess struct {
	id, address, zone string
	args              []string
	command           *exec.Cmd
}

// errNotReady means that a gateway isn't ready in time.
var errNotReady = errors.New("a gateway isn't ready in time")

func newFleet(dir, program, record string) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, program: program, runners: make(map[string]*runnerProcess), record: file, startedAt: time.Now()}, nil
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%s %7.3f "+format+"\n", append([]any{time.Now().Format("15:04:05.000"), time.Since(f.startedAt).Seconds()}, args...)...)
}

// start starts a process whose output goes to a file.
func (f *fleet) start(name, program string, args ...string) (*exec.Cmd, error) {
	output, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = output, output
	// Ends with the driver, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = command.Start()
	if err != nil {
		return nil, err
	}
	go func() { _ = command.Wait() }()
	f.mu.Lock()
	f.processes = append(f.processes, command)
	f.mu.Unlock()
	return command, nil
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.Process.Kill()
	}
}

// startStore starts the store with a listener for each gateway.
func (f *fleet) startStore(gates int) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	_, err = f.start("store", self, "store", "-gates", fmt.Sprint(gates))
	if err != nil {
		return err
	}
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		data, _ := os.ReadFile(filepath.Join(f.dir, "store.log"))
		if json.Unmarshal(data, &f.store) == nil && f.store.Control != "" {
			return nil
		}
	}
	return errors.New("the store doesn't start")
}

// control calls the store's control listener.
func (f *fleet) control(path, body string) error {
	resp, err := http.Post("http://"+f.store.Control+path, "application/json", stringReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}

// startRunner starts a target at an address of its own, or again at the address that it had.
func (f *fleet) startRunner(id, zone, version string, further ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r := f.runners[id]
	if r == nil {
		r = &runnerProcess{id: id, address: freeAddress(), zone: zone}
		f.runners[id] = r
	}
	args := append([]string{"runner", "-id", id, "-addr", r.address, "-zone", zone, "-version", version, "-store", f.store.Control,
		"-record", filepath.Join(f.dir, "runners.txt")}, further...)
	r.command, err = f.start("runner-"+id, self, args...)
	f.note("runner %s of version %s starts at %s", id, version, r.address)
	return err
}

// killRunner ends a target as a crash does.
func (f *fleet) killRunner(id string) {
	_ = f.runners[id].command.Process.Kill()
	f.note("runner %s crashes (SIGKILL)", id)
}

// startGateway starts a gateway with the settings that deploy/gateway.json.tmpl renders.
func (f *fleet) startGateway(zone string) (*gatewayProcess, error) {
	n := len(f.gateways)
	g := &gatewayProcess{name: fmt.Sprintf("edge-%s-%d", zone, n+1), caller: freeAddress(), ready: freeAddress()}
	g.settings = filepath.Join(f.dir, g.name+".json")
	settings := map[string]any{
		"name": g.name, "data_centre": zone,
		"doors":         map[string]string{"caller": g.caller, "readiness": g.ready, "metrics": freeAddress(), "peer": freeAddress()},
		"store_address": f.store.Gates[n],
		"retries":       map[string]any{"ratio": 0.2}, "times": map[string]any{"stop_s": 8},
		"memory_mib": 134, "link_mbps": 1000.0, "file_descriptors": 4100,
		"contracts":           []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"data_centre_regions": map[string]string{"z1": "r", "z2": "r", "z3": "r"},
		"log":                 map[string]string{"level": "info"},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	err = os.WriteFile(g.settings, data, 0o644)
	if err != nil {
		return nil, err
	}
	f.gateways = append(f.gateways, g)
	return g, f.runGateway(g)
}

// runGateway starts a gateway's process, and waits until it is ready.
func (f *fleet) runGateway(g *gatewayProcess) error {
	var err error
	g.command, err = f.start(g.name, f.program, "-gateway", "-settings", g.settings)
	if err != nil {
		return err
	}
	f.note("gateway %s starts at %s", g.name, g.caller)
	for range 200 {
		resp, err := http.Get("http://" + g.ready + "/v1/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}
