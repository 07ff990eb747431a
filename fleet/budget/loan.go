package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

func (p *pot) with(peer string) *peerTotals {
	for i := range p.peers {
		if p.peers[i].peer == peer {
			return &p.peers[i]
		}
	}
	p.peers = append(p.peers, peerTotals{peer: peer})
	return &p.peers[len(p.peers)-1]
}

// Lend moves up to tokens of what is free to a peer. The peer learns of it by
// Totals.
func (h *Holder) Lend(peer string, tokens int64) int64 {
	var lent int64
	for i := range h.pots {
		p := &h.pots[i]
		take := min(tokens-lent, p.free)
		if take <= 0 || p.closed {
			continue
		}
		h.lend(p, peer, take)
		lent += take
	}
	return lent
}

func (h *Holder) lend(p *pot, peer string, tokens int64) {
	h.add(p, -tokens)
	p.lentOut += tokens
	p.with(peer).out += tokens
	h.check(p)
}

// LendFromGrant moves the free tokens of a grant to a peer.
func (h *Holder) LendFromGrant(grant, peer string, tokens int64) int64 {
	p := h.find(grant)
	if p == nil {
		return 0
	}
	take := min(tokens, p.free)
	if take > 0 {
		h.lend(p, peer, take)
	}
	return take
}

// LoanTotals returns all that was ever sent to a peer, by grant.
func (h *Holder) LoanTotals(peer string) []*pb.LoanTotal {
	var totals []*pb.LoanTotal
	for i := range h.pots {
		p := &h.pots[i]
		for _, t := range p.peers {
			if t.peer == peer && t.out > 0 {
				totals = append(totals, &pb.LoanTotal{Budget: h.budget, Grant: p.grant, From: h.self, To: peer, Tokens: t.out})
			}
		}
	}
	return totals
}

// ReceiveLoan takes in a total from a peer. Repeats and totals that a later one
// has overtaken change nothing; a grant that was given up takes none. It
// returns the tokens that came.
func (h *Holder) ReceiveLoan(total *pb.LoanTotal) int64 {
	if total.To != h.self || total.Budget != h.budget || total.Tokens > MaxTokens {
		return 0
	}
	p := h.pot(total.Grant)
	if p.fenced {
		return 0
	}
	t := p.with(total.From)
	came := total.Tokens - t.in
	if came <= 0 {
		return 0
	}
	t.in = total.Tokens
	p.lentIn += came
	h.add(p, came)
	h.check(p)
	return came
}
