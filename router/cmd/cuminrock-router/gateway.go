package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/platform/contract"
	"cuminrock.example/platform/directory"
	"cuminrock.example/platform/ingress"
	"cuminrock.example/platform/operatorconfig"
	"cuminrock.example/platform/store"
	"cuminrock.example/platform/upstream"
	"cuminrock.example/router/exchange"
	"cuminrock.example/router/gateway"
	"cuminrock.example/router/logging"
	"cuminrock.example/router/settings"
)

// runGateway runs a gateway on the hosting platform until a signal stops it,
// and returns the exit code.
func runGateway(path string) int {
	s, err := settings.LoadGateway(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	contract.Apply(s)
	log, flush, err := logging.New(s.Log.Level, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer flush()
	client := store.New(s.StoreAddress)
	g, err := gateway.Start(s, hostingPlatform(client, log), log)
	if err != nil {
		log.Error("gateway: failed to start.", zap.Error(err))
		return exitFail
	}
	waitForStop(path, s, client, log)
	if g.Stop() != nil {
		return exitFail
	}
	return exitDone
}

// hostingPlatform assembles the hosting platform's services for the gateway.
func hostingPlatform(client *store.Client, log *zap.Logger) gateway.Platform {
	pool := exchange.NewPool(time.Now)
	targets := upstream.New(pool, log, time.Now)
	return gateway.Platform{
		Tables:        client,
		Watcher:       client,
		Clock:         client,
		Config:        gateway.ConfigSource{Table: operatorconfig.Table, Key: operatorconfig.Key, Parse: operatorconfig.Parse, EvacuationOf: operatorconfig.EvacuationOf, CheckEvacuation: operatorconfig.CheckEvacuation},
		Targets:       gateway.TargetSource{Table: directory.Table, Parse: directory.Parse},
		Upstream:      upstream.New(pool, log, time.Now),
		Conns:         pool,
		Collectors:    targets.Collectors(),
		NewHandler:    func(g *gateway.Gateway) http.Handler { return ingress.NewHandler(g) },
		ReadinessPath: ingress.ReadinessPath,
	}
}

// settingsInterval is how often the settings file is checked for changes, which
// may come without a signal.
const settingsInterval = 2 * time.Second

// waitForStop returns when a signal requests a graceful stop. On SIGHUP, or when
// the file changes, it reloads the settings.
func waitForStop(path string, s *pb.GatewaySettings, client *store.Client, log *zap.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	fileChanged := newChangeDetector(path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			reload(path, s, client, log)
		case <-ticker.C:
			if fileChanged() {
				reload(path, s, client, log)
			}
		}
	}
}

// newChangeDetector returns a function that reports whether the file's content
// has changed since the last call. A file that can't be read counts as
// unchanged.
func newChangeDetector(path string) func() bool {
	last, _ := os.ReadFile(path)
	return func() bool {
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, last) {
			return false
		}
		last = content
		return true
	}
}

// reload applies the one setting that can change in a running process: the
// store's address. Invalid settings change nothing.
func reload(path string, s *pb.GatewaySettings, client *store.Client, log *zap.Logger) {
	next, err := settings.LoadGateway(path)
	if err != nil {
		log.Error("gateway: the changed settings are invalid; keeping the old ones.", zap.Error(err))
		return
	}
	if next.StoreAddress != s.StoreAddress {
		client.SetAddress(next.StoreAddress)
	}
	log.Info("gateway: reloaded the settings.", zap.String("store", next.StoreAddress), zap.String("store_before", s.StoreAddress))
	s.StoreAddress = next.StoreAddress
}
