package demo

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/engine"
	"cuminrock.example/standin/platform"
	"cuminrock.example/standin/service"
)

// loopbackAddress is the listen address of all servers of the demo: a free port
// on the loopback interface.
const loopbackAddress = "127.0.0.1:0"

// dataCentres are the demo's data centres. Each has a router and an engine.
var dataCentres = []string{"cluj-a", "cluj-b", "dej-c"}

// Speed of the demo's engines.
const (
	engineTokensPerSecond = 40
	engineFirstToken      = 50 * time.Millisecond
)

// standIn is a stand-in that can be served and closed.
type standIn interface {
	Open(lis net.Listener) (serve func() error)
	Close()
}

// runningTarget is a running stand-in as the sheet declares it.
type runningTarget struct {
	name       string
	service    string
	provider   string
	dataCentre string
	address    string
}

// dependencies holds the stand-ins that run outside the routers: the platform
// and the targets.
type dependencies struct {
	platform *platform.Server
	targets  []runningTarget
	standIns []standIn
	serving  conc.WaitGroup
}

// startDependencies starts the platform, an engine in each data centre and one
// plain service.
func startDependencies(seed uint64) (*dependencies, error) {
	d := &dependencies{platform: platform.New(platform.Options{Seed: seed})}
	_, err := d.serve(d.platform)
	if err != nil {
		return nil, err
	}
	providers := []string{"old", "old", "new"}
	for i, dataCentre := range dataCentres {
		e := engine.New(engine.Options{Seed: seed, TokensPerSecond: engineTokensPerSecond, TimeToFirstToken: engineFirstToken})
		err = d.addTarget(e, runningTarget{name: "engine-" + dataCentre, service: modelService, provider: providers[i], dataCentre: dataCentre})
		if err != nil {
			d.close()
			return nil, err
		}
	}
	registry := runningTarget{name: "registry-" + dataCentres[0], service: plainService, provider: "local", dataCentre: dataCentres[0]}
	err = d.addTarget(service.New(service.Options{Seed: seed}), registry)
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *dependencies) addTarget(s standIn, t runningTarget) error {
	address, err := d.serve(s)
	if err != nil {
		return err
	}
	t.address = address
	d.targets = append(d.targets, t)
	return nil
}

func (d *dependencies) serve(s standIn) (address string, err error) {
	lis, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", trace.Wrap(err)
	}
	serve := s.Open(lis)
	d.standIns = append(d.standIns, s)
	d.serving.Go(func() { _ = serve() }) // it returns once close closes the stand-in
	return lis.Addr().String(), nil
}

func (d *dependencies) close() {
	for _, s := range d.standIns {
		s.Close()
	}
	d.serving.Wait()
}
