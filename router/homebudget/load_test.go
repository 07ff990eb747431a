package homebudget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cuminrock.example/fleet/catalog"
)

// load sends requests to gateways picked at random, for a duration.
type load struct {
	fleet *testFleet
	// perSecond is the rate of requests over the whole fleet.
	perSecond int
	// pick returns the workspace and tokens of a request.
	pick    func(r *rand.Rand) (*catalog.Workspace, int64)
	random  *rand.Rand
	pending sync.WaitGroup

	mu       sync.Mutex
	refused  int
	sent     int
	consumed map[string]int64
}

// run sends requests and returns how many were sent and refused.
func (l *load) run(duration time.Duration) (sent, refused int) {
	l.mu.Lock()
	sentBefore, refusedBefore := l.sent, l.refused
	l.mu.Unlock()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		gateway := l.fleet.gateways[l.random.IntN(len(l.fleet.gateways))]
		workspace, tokens := l.pick(l.random)
		l.pending.Go(func() { l.request(gateway, workspace, tokens) })
		time.Sleep(time.Second / time.Duration(l.perSecond))
	}
	l.pending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent - sentBefore, l.refused - refusedBefore
}

func (l *load) request(gateway *testGateway, w *catalog.Workspace, tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reservation, err := gateway.budgets.Reserve(ctx, "r", w, tokens, 0, reserveWait)
	l.mu.Lock()
	l.sent++
	if err != nil {
		l.refused++
	} else {
		l.consumed[w.Name] += tokens
	}
	l.mu.Unlock()
	if err == nil {
		time.Sleep(requestTime)
		reservation.Settle(tokens)
	}
}

// skewedWorkspaces returns workspaces whose shares of the requests fall with their
// rank, with balances for a number of requests together, and a function that picks
// the next request.
func skewedWorkspaces(n, requests int) ([]*catalog.Workspace, func(r *rand.Rand) (*catalog.Workspace, int64)) {
	sizes := []int64{1_100, 1_100, 2_400, 2_400, 12_000}
	meanSize := 3_800.0
	total := 0.0
	for rank := range n {
		total += 1 / float64(rank+1)
	}
	var workspaces []*catalog.Workspace
	for rank := range n {
		prepaidTokens := int64(float64(requests) * meanSize / float64(rank+1) / total)
		workspaces = append(workspaces, &catalog.Workspace{Name: fmt.Sprintf("w%d", rank), PrepaidTokens: &prepaidTokens})
	}
	return workspaces, func(r *rand.Rand) (*catalog.Workspace, int64) {
		at := r.Float64() * total
		rank := 0
		for ; rank < n-1 && at > 1/float64(rank+1); rank++ {
			at -= 1 / float64(rank+1)
		}
		return workspaces[rank], sizes[r.IntN(len(sizes))]
	}
}
