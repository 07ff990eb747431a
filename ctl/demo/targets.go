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

// loopback is where all doors of the demo listen.
const loopback = "127.0.0.1:0"

// dataCentres are those of the demo; each has a router and an engine.
var dataCentres = []string{"cluj-a", "cluj-b", "dej-c"}

// Speed of the demo's engines.
const (
	engineTokensPerSecond = 40
	engineFirstToken      = 50 * time.Millisecond
)

// standIn is what a stand-in has to be served and ended.
type standIn interface {
	Open(lis net.Listener) (serve func() error)
	Close()
}

// runningTarget is a target as the sheet names it.
type runningTarget struct {
	name       string
	service    string
	provider   string
	dataCentre string
	address    string
}

// outside is the platform and the targets, which no router owns.
type outside struct {
	platform *platform.Server
	targets  []runningTarget
	open     []standIn
	serving  conc.WaitGroup
}

// startOutside starts the platform, an engine in each data centre and one
// plain service.
func startOutside(seed uint64) (*outside, error) {
	o := &outside{platform: platform.New(platform.Options{Seed: seed})}
	_, err := o.serve(o.platform)
	if err != nil {
		return nil, err
	}
	providers := []string{"old", "old", "new"}
	for i, dataCentre := range dataCentres {
		e := engine.New(engine.Options{Seed: seed, TokensPerSecond: engineTokensPerSecond, TimeToFirstToken: engineFirstToken})
		err = o.addTarget(e, runningTarget{name: "engine-" + dataCentre, service: modelService, provider: providers[i], dataCentre: dataCentre})
		if err != nil {
			o.close()
			return nil, err
		}
	}
	registry := runningTarget{name: "registry-" + dataCentres[0], service: plainService, provider: "local", dataCentre: dataCentres[0]}
	err = o.addTarget(service.New(service.Options{Seed: seed}), registry)
	if err != nil {
		o.close()
		return nil, err
	}
	return o, nil
}

func (o *outside) addTarget(s standIn, t runningTarget) error {
	address, err := o.serve(s)
	if err != nil {
		return err
	}
	t.address = address
	o.targets = append(o.targets, t)
	return nil
}

func (o *outside) serve(s standIn) (address string, err error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", trace.Wrap(err)
	}
	run := s.Open(lis)
	o.open = append(o.open, s)
	o.serving.Go(func() { _ = run() }) // its end is ordered by close
	return lis.Addr().String(), nil
}

func (o *outside) close() {
	for _, s := range o.open {
		s.Close()
	}
	o.serving.Wait()
}
