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

// Closing delays of the two release settings: an operator closes by hand, the
// VM list shows a VM's end.
const (
	closeByOperator = 3600
	closeOnVMGone   = 60
)

// Candidates returns the baselines and our own versions.
func Candidates() []Candidate {
	first := budget.Policy{GrantHorizon: 10 * time.Second, LoanHorizon: 2 * time.Second, DrawPermille: 250}
	best := budget.Policy{GrantHorizon: 2 * time.Hour, LoanHorizon: 10 * time.Second, DrawPermille: 400}
	return []Candidate{
		// The oracle as a policy: one pool that no failure touches.
		{"all-seeing pool", func(*network, int64) policy { return &perRequest{net: &network{}} }},
		{"even split by router", func(n *network, _ int64) policy { return newSplit(n, routers) }},
		{"even split by data centre", func(n *network, _ int64) policy { return newSplit(n, centres) }},
		{"draw per request", func(n *network, _ int64) policy { return &perRequest{net: n} }},
		escrowCandidate("first version, operator", EscrowPolicy{Policy: first, SettleEvery: 1, CloseAfter: closeByOperator}),
		escrowCandidate("best version, operator", EscrowPolicy{Policy: best, BorrowAcrossCentres: true, SettleEvery: 2, CloseAfter: closeByOperator}),
		escrowCandidate("best version, vm_gone", EscrowPolicy{Policy: best, BorrowAcrossCentres: true, SettleEvery: 2, CloseAfter: closeOnVMGone}),
	}
}

func escrowCandidate(name string, p EscrowPolicy) Candidate {
	return Candidate{name, func(n *network, seed int64) policy { return newEscrow(n, p, seed) }}
}
