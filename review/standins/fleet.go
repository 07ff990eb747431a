package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// routerProgram is the program that the deploy file runs, from the repository's root.
const routerProgram = "target/cuminrock-router"

// readyTimeout bounds the time until a gateway is ready.
const readyTimeout = 20 * time.Second

// gateway is one gateway process.
type gateway struct {
	name, zone        string
	caller, readiness string
	settings, log     string
	process           *exec.Cmd
	exited            chan struct{}
}

// zones are the zones of the deployment, all in one region.
var zones = map[string]string{"cluj-a": "ro-nord", "cluj-b": "ro-nord", "dej-c": "ro-nord"}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String(), nil
}

// newGateway writes the settings of a gateway, as deploy/gateway.json.tmpl renders them for
// a machine of the site arbore-cluj.
func newGateway(dir, name, zone, storeAddress string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	g := &gateway{name: name, zone: zone, caller: addresses[0], readiness: addresses[1], settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	settings, err := json.MarshalIndent(map[string]any{
		"name": name, "data_centre": zone,
		"doors":         map[string]string{"caller": addresses[0], "readiness": addresses[1], "metrics": addresses[2], "peer": addresses[3]},
		"store_address": storeAddress, "retries": map[string]any{"ratio": 0.2}, "times": map[string]any{"stop_s": 8},
		"memory_mib": 134, "link_mbps": 1000.0, "file_descriptors": 4100,
		"contracts":           []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"data_centre_regions": zones, "log": map[string]string{"level": "info"},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return g, os.WriteFile(g.settings, settings, 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.process = exec.Command(routerProgram, "-gateway", "-settings", g.settings)
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() { _ = g.process.Wait(); close(g.exited) }()
	return nil
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	_ = g.process.Process.Kill()
	<-g.exited
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gateways are ready.
func awaitReady(gateways []*gateway) error {
	end := time.Now().Add(readyTimeout)
	for _, g := range gateways {
		for !g.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("gateway %s isn't ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// errCannotRun means that a case couldn't run.
var errCannotRun = errors.New("the case couldn't run")
