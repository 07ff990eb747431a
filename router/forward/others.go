package forward

import (
	"context"
	"strconv"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/wait"
)

// Run asks other gateways whether they pass requests on, while this one is cut off, until
// ctx ends.
func (c *Client) Run(ctx context.Context) {
	for number := 0; wait.For(ctx, statusInterval); number++ {
		if c.Reachability.CutOff() {
			c.askStatus(ctx, strconv.Itoa(number))
		}
	}
}

// askStatus asks one gateway; the key selects it.
func (c *Client) askStatus(ctx context.Context, key string) {
	offer := c.Gateways.Pick(key, "", nil, c.Now())
	if offer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := c.Peers.GetForwardStatus(ctx, offer.Gateway.PeerAddress, &pb.GetForwardStatusRequest{})
	switch {
	case err != nil:
		offer.Failed(c.Now())
	case resp.Available:
		offer.Accepted()
	default:
		offer.Refused(c.Now())
	}
}

// Alone reports whether no other gateway responds, so that requests can't be passed on.
func (c *Client) Alone() bool { return c.Gateways.Alone() }
