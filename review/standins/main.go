// Command standins plays one case of the review: it starts gateways as processes of their
// own, with small stand-ins of the platform's store, of runners and of clients on loopback
// addresses, and checks one rule.
//
// Usage: standins CASE RECORD, in the repository's root. With TROUBLE=0 in the environment
// the disruption is left out. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the
// case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// trial is what a case works with.
type trial struct {
	dir      string
	rec      *record
	store    *store
	trouble  bool
	gateways []*gateway
	runners  []*runner
}

// cases are the cases by name.
var cases = map[string]func(*trial) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitCannotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	err = play(rec, cases[os.Args[1]])
	switch {
	case err == nil:
		rec.say("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.say("%v", err)
		return exitBroken
	default:
		rec.say("%v: %v", errCannotRun, err)
		return exitCannotRun
	}
}

// play plays a case in a temporary folder and ends all that it started.
func play(rec *record, of func(*trial) error) error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	t := &trial{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer t.end()
	t.store, err = newStore()
	if err != nil {
		return err
	}
	return of(t)
}

func (t *trial) end() {
	for _, g := range t.gateways {
		g.kill()
	}
	for _, r := range t.runners {
		r.stop()
	}
	if t.store != nil {
		t.store.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, g := range t.gateways {
			data, err := os.ReadFile(g.log)
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, g.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(t.dir)
}

// addRunner starts a runner.
func (t *trial) addRunner(id, service, zone string, engine bool) (*runner, error) {
	r, err := startRunner(t.store, t.rec, id, service, zone, engine)
	if err == nil {
		t.runners = append(t.runners, r)
	}
	return r, err
}

// addGateway starts a gateway.
func (t *trial) addGateway(name, zone string) (*gateway, error) {
	g, err := newGateway(t.dir, name, zone, t.store.address)
	if err != nil {
		return nil, err
	}
	t.gateways = append(t.gateways, g)
	return g, g.start()
}

// deploy starts a small deployment: in each zone one gateway and one runner of each service.
func (t *trial) deploy(config string) error {
	t.store.put("op", "config", []byte(config))
	for i, zone := range []string{"cluj-a", "cluj-b", "dej-c"} {
		if _, err := t.addRunner(fmt.Sprintf("i-llm-%d", i+1), "model-pool", zone, true); err != nil {
			return err
		}
		if _, err := t.addRunner(fmt.Sprintf("i-app-%d", i+1), "registry-app", zone, false); err != nil {
			return err
		}
	}
	for _, zone := range []string{"cluj-a", "cluj-b", "dej-c"} {
		if _, err := t.addGateway("edge-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	return awaitReady(t.gateways)
}

// configuration returns the operator's configuration with the tenant's prepaid tokens.
func configuration(prepaid int) string {
	return fmt.Sprintf(`{"version":7,"routes":[
{"name":"summary","hostname":"ficu95.example","prefix":"/summary/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":1,"service":"model-pool","maxAttempts":2,"public":false,"sessionAffinity":true,"streamResume":true,"targetGapMs":400},
{"name":"correct","hostname":"ficu95.example","prefix":"/correct/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"registry-app","maxAttempts":1,"public":false},
{"name":"lookup","hostname":"ficu95.example","prefix":"/lookup/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"registry-app","maxAttempts":2,"public":false}],
"services":[{"name":"model-pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":445413,"kvTokenBytes":18432,"linkMbps":370000.0,"stride":5,"models":[{"name":"m"}]}},
{"name":"registry-app","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1,"prepaid":%d}]}`, prepaid)
}
