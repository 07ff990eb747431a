package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drill"] = drillCase }

const (
	// drillPrepaid is what the tenant may consume, in tokens.
	drillPrepaid = 1_000_000
	// drillInput and drillOutput are the tokens of one request; firstInput is the prompt of
	// those before the copy.
	drillInput, drillOutput, firstInput = 20_000, 100, 400
	// drillClients is the number of clients that send at once.
	drillClients = 3
	// drillAway is how long the store is away.
	drillAway = time.Second
	// copyAge is how old the copy is when the drill begins, and drillTime how long clients
	// send from when the copy is made.
	copyAge, drillTime = 4 * time.Second, 16 * time.Second
)

// consumption sums what the tenant consumed as its clients saw it: the prompt of each
// request that was answered, and the output tokens that arrived.
type consumption struct {
	mu                      sync.Mutex
	served, refused, tokens int
}

func (c *consumption) add(a answer, input int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status != 200 {
		c.refused++
		return
	}
	c.served++
	c.tokens += input + a.events*eventTokens
}

// String returns the sums.
func (c *consumption) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d served, %d refused, %d tokens consumed", c.served, c.refused, c.tokens)
}

// drillCase: the tenant uses up its prepaid tokens through one zone. Then the store is away
// for a second and comes back from a copy that is a few seconds old. The tenant's next
// requests come through the other zones. It must not get more than its prepaid tokens.
func drillCase(t *trial) error {
	if err := t.deploy(configuration(drillPrepaid)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var total consumption
	ask := func(g *gateway, input int) answer {
		a := send(t.rec, g, call{id: nextID(), method: "POST", path: "/summary/2f", key: "n2ctnfzs989anu6wsjnb", body: []byte("{}"), deadline: 5 * time.Second, input: input, output: drillOutput})
		total.add(a, input)
		return a
	}
	askFor := func(d time.Duration, gateways []*gateway) {
		end := time.Now().Add(d)
		var clients sync.WaitGroup
		for n := range drillClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for time.Now().Before(end) {
					if ask(gateways[n%len(gateways)], drillInput).status != 200 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
		clients.Wait()
	}
	for range 2 {
		for _, g := range t.gateways {
			ask(g, firstInput)
		}
	}
	time.Sleep(time.Second)
	copyAt := time.Now()
	t.rec.say("before the copy: %v", &total)
	var clients sync.WaitGroup
	clients.Add(1)
	go func() { defer clients.Done(); askFor(drillTime, t.gateways) }()
	time.Sleep(copyAge)
	t.rec.say("when the drill begins: %v", &total)
	if t.trouble {
		t.rec.say("drill: the store is away for %v, and comes back from a copy that is %v old", drillAway, time.Since(copyAt).Round(time.Millisecond))
		if err := t.store.drill(copyAt, drillAway); err != nil {
			return err
		}
	}
	clients.Wait()
	committed, conflicts := t.store.counts()
	t.rec.say("at the end: %v, of %d prepaid; store: %d transactions, %d conflicts", &total, drillPrepaid, committed, conflicts)
	if total.served == 0 {
		return fmt.Errorf("nothing was served")
	}
	if total.tokens > drillPrepaid {
		return fmt.Errorf("%w: BUDGET: the tenant got %d tokens of %d prepaid", errBroken, total.tokens, drillPrepaid)
	}
	return nil
}
