package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// peerTotalsFor returns the totals exchanged with a peer, adding them if they
// don't exist yet.
func (s *grantShare) peerTotalsFor(peer string) *peerTotals {
	for i := range s.peers {
		if s.peers[i].peer == peer {
			return &s.peers[i]
		}
	}
	s.peers = append(s.peers, peerTotals{peer: peer})
	return &s.peers[len(s.peers)-1]
}

// Lend moves up to the given number of free tokens to a peer and returns how
// many. It skips closed grants. The peer learns of the loan by LoanTotals.
func (h *Holder) Lend(peer string, tokens int64) int64 {
	var lent int64
	for i := range h.shares {
		share := &h.shares[i]
		take := min(tokens-lent, share.free)
		if take <= 0 || share.closed {
			continue
		}
		h.lendFrom(share, peer, take)
		lent += take
	}
	return lent
}

func (h *Holder) lendFrom(share *grantShare, peer string, tokens int64) {
	h.adjustFree(share, -tokens)
	share.lentOut += tokens
	share.peerTotalsFor(peer).sent += tokens
	h.checkConservation(share)
}

// LendFromGrant moves up to the given number of free tokens of one grant to a
// peer and returns how many.
func (h *Holder) LendFromGrant(grant, peer string, tokens int64) int64 {
	share := h.findShare(grant)
	if share == nil {
		return 0
	}
	take := min(tokens, share.free)
	if take > 0 {
		h.lendFrom(share, peer, take)
	}
	return take
}

// LoanTotals returns the total tokens ever lent to a peer, by grant.
func (h *Holder) LoanTotals(peer string) []*pb.LoanTotal {
	var totals []*pb.LoanTotal
	for i := range h.shares {
		share := &h.shares[i]
		for _, t := range share.peers {
			if t.peer == peer && t.sent > 0 {
				totals = append(totals, &pb.LoanTotal{Budget: h.budget, Grant: share.grant, From: h.incarnation, To: peer, Tokens: t.sent})
			}
		}
	}
	return totals
}

// ReceiveLoan applies a peer's cumulative total and returns the tokens
// received. Repeated and outdated totals change nothing, and a fenced grant
// accepts none.
func (h *Holder) ReceiveLoan(total *pb.LoanTotal) int64 {
	if total.To != h.incarnation || total.Budget != h.budget || total.Tokens > MaxTokens {
		return 0
	}
	share := h.ensureShare(total.Grant)
	if share.fenced {
		return 0
	}
	peerTotals := share.peerTotalsFor(total.From)
	received := total.Tokens - peerTotals.received
	if received <= 0 {
		return 0
	}
	peerTotals.received = total.Tokens
	share.lentIn += received
	h.adjustFree(share, received)
	h.checkConservation(share)
	return received
}
