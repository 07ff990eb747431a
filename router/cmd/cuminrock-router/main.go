// Command cuminrock-router is the daemon on every entry VM.
//
// Usage: cuminrock-router [-gateway] -settings FILE
//
// With -gateway it forwards requests on the users' hosting platform, and FILE
// holds GatewaySettings; see docs/PLATFORM.md. Otherwise it prints one JSON
// line with its addresses when its listeners are open. SIGTERM or SIGINT starts
// a graceful stop; a second signal, or the settings' stop limit, ends it early,
// and the log says what was cut off. Exit codes: 0 for a complete stop, 1 for a
// failure or a stop that cut something off, 2 for invalid usage or settings.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/node"
	"cuminrock.example/router/settings"
)

const (
	exitDone  = 0
	exitFail  = 1
	exitUsage = 2
)

// startupLine is the JSON line printed when the listeners are open.
type startupLine struct {
	Name     string `json:"name"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
}

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "path of the settings file, in JSON")
	asGateway := flag.Bool("gateway", false, "forward requests on the hosting platform")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: cuminrock-router [-gateway] -settings FILE")
		return exitUsage
	}
	if *asGateway {
		return runGateway(*path)
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log, err := newLog(s.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	n, err := node.Start(s, log)
	if err != nil {
		log.Error("node: failed to start.", zap.Error(err))
		return exitFail
	}
	printAddresses(s.Name, n)
	return waitAndStop(n, s)
}

func printAddresses(name string, n *node.Node) {
	_ = json.NewEncoder(os.Stdout).Encode(startupLine{
		Name:     name,
		Caller:   n.CallerAddr(),
		Operator: n.OperatorAddr(),
		Peer:     n.PeerAddr(),
	})
}

// waitAndStop waits for a signal or an operator's drain request, then stops the
// node.
func waitAndStop(n *node.Node, s *pb.RouterSettings) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-n.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.StopLimit.AsDuration())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if n.Stop(ctx) != nil {
		return exitFail
	}
	return exitDone
}

// newLog returns a log that writes to standard error.
func newLog(s *pb.LogSettings) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.GetLevel())
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableStacktrace = true
	return c.Build()
}
