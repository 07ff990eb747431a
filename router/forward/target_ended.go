package forward

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/home"
)

// TargetEnded reports whether the process at a target's address has ended. A refused
// connection doesn't show that by itself, as this gateway may be cut off.
func (c *Client) TargetEnded(ctx context.Context, address string) bool {
	if c.Reachability.CutOff() {
		return c.endedForOthers(ctx, address)
	}
	if !c.ConnectionRefused(ctx, address) {
		return false
	}
	if c.Reachability.ReachesOther(ctx, address) {
		// If a cut ended just then, the target accepts connections now.
		return c.ConnectionRefused(ctx, address)
	}
	return c.endedForOthers(ctx, address)
}

// endsHere reports whether this gateway finds that a target refuses connections while
// others are reached, before and after that.
func (s *Server) endsHere(ctx context.Context, address string) bool {
	return s.ConnectionRefused(ctx, address) && s.Reachability.ReachesOther(ctx, address) && s.ConnectionRefused(ctx, address)
}

// endedForOthers asks other gateways whether a target has ended.
func (c *Client) endedForOthers(ctx context.Context, target string) bool {
	var tried []home.Gateway
	for len(tried) < maxCheckers && ctx.Err() == nil {
		offer := c.Gateways.Pick(target, "", tried, c.Now())
		if offer == nil {
			return false
		}
		tried = append(tried, offer.Gateway)
		callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		resp, err := c.Peers.CheckTarget(callCtx, offer.Gateway.PeerAddress, &pb.CheckTargetRequest{Address: target})
		cancel()
		switch {
		case err != nil && ctx.Err() != nil:
			offer.Release()
		case err != nil:
			offer.Failed(c.Now())
		default:
			offer.Release()
			if resp.Ended {
				return true
			}
		}
	}
	return false
}
