package policysim

import (
	"time"

	"cuminrock.example/fleet/budget"
)

// Candidate is a named policy.
type Candidate struct {
	Name string
	make func(net *network, seed int64) policy
}

// How many seconds after a router's crash its grant is closed: by an operator,
// or once the VM list shows that the VM is gone.
const (
	operatorCloseDelay = 3600
	vmGoneCloseDelay   = 60
)

// Candidates returns the baselines and the escrow policies.
func Candidates() []Candidate {
	first := budget.Policy{GrantHorizon: 10 * time.Second, LoanHorizon: 2 * time.Second, DrawPermille: 250}
	best := budget.Policy{GrantHorizon: 2 * time.Hour, LoanHorizon: 10 * time.Second, DrawPermille: 400}
	return []Candidate{
		// The oracle as a policy: one pool that no fault affects.
		{"oracle pool", func(*network, int64) policy { return &drawPerRequest{net: &network{}} }},
		{"even split by router", func(n *network, _ int64) policy { return newStaticSplit(n, routerCount) }},
		{"even split by data centre", func(n *network, _ int64) policy { return newStaticSplit(n, centreCount) }},
		{"draw per request", func(n *network, _ int64) policy { return &drawPerRequest{net: n} }},
		escrowCandidate("first version, operator", EscrowPolicy{Policy: first, SettleEvery: 1, CloseAfter: operatorCloseDelay}),
		escrowCandidate("best version, operator", EscrowPolicy{Policy: best, BorrowAcrossCentres: true, SettleEvery: 2, CloseAfter: operatorCloseDelay}),
		escrowCandidate("best version, vm_gone", EscrowPolicy{Policy: best, BorrowAcrossCentres: true, SettleEvery: 2, CloseAfter: vmGoneCloseDelay}),
	}
}

func escrowCandidate(name string, p EscrowPolicy) Candidate {
	return Candidate{name, func(n *network, seed int64) policy { return newEscrow(n, p, seed) }}
}
