package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
)

// linkState is what the network does with a gateway's connections to targets.
type linkState int

const (
	linksOpen linkState = iota
	// linksHang holds up all bytes and new connections.
	linksHang
	// linksReset resets open connections and refuses new ones.
	linksReset
	// linksRefuseNew refuses new connections; open ones live on.
	linksRefuseNew
)

// Times of the simulated network.
const (
	peerLatency    = 1500 * time.Microsecond
	connectTimeout = 300 * time.Millisecond
	// silentTimeout is when a connection fails whose other end acknowledges nothing, and
	// unackedLimit when that is told.
	silentTimeout = 10 * time.Second
	unackedLimit  = 800 * time.Millisecond
	plainWork     = 15 * time.Millisecond
	firstEvent    = 100 * time.Millisecond
	eventGap      = 50 * time.Millisecond
	streamEvents  = 20
	// newConnectionShare is the part of the sends that need a new connection.
	newConnectionShare = 0.3
)

func (g *simGateway) setLinks(state linkState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links = state
}

// setAlone cuts the gateway off from the others, or ends that.
func (g *simGateway) setAlone(alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alone = alone
}

func (g *simGateway) isAlone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.alone
}

func (g *simGateway) currentLinks() linkState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links
}

// connect makes a connection to a target.
func (g *simGateway) connect(ctx context.Context, address string) error {
	began := time.Now()
	err := g.dial(ctx)
	g.monitor.RecordConnect(address, began, err)
	return err
}

// connectionRefused reports whether a target's address refuses connections.
func (g *simGateway) connectionRefused(ctx context.Context, address string) bool {
	return errors.Is(g.connect(ctx, address), syscall.ECONNREFUSED)
}

func (g *simGateway) dial(ctx context.Context) error {
	switch g.currentLinks() {
	case linksOpen:
		return pause(ctx, time.Millisecond)
	case linksHang:
		return errors.Join(pause(ctx, connectTimeout), os.ErrDeadlineExceeded)
	default:
		return syscall.ECONNREFUSED
	}
}

// pauseStep is how long a wait takes to notice that its context has ended.
const pauseStep = 10 * time.Millisecond

// pause waits, or returns the error of ctx. It sleeps, since many timers in a synctest
// bubble crash the Go runtime under the race detector
// (docs/measurements/synctest-race-timers.txt).
func pause(ctx context.Context, d time.Duration) error {
	for ; d > 0 && ctx.Err() == nil; d -= pauseStep {
		time.Sleep(min(d, pauseStep))
	}
	return ctx.Err()
}

// simUpstream sends requests over a gateway's links.
type simUpstream struct{ gateway *simGateway }

// Send implements relay.Upstream.
func (u *simUpstream) Send(ctx context.Context, s *relay.UpstreamRequest) (relay.UpstreamResponse, error) {
	g := u.gateway
	if g.world.fraction() < newConnectionShare {
		err := g.connect(ctx, s.Target.Address)
		if err != nil {
			return nil, errkind.Wrap(errkind.TargetUnreachable, err, "the target is unreachable")
		}
	}
	r := &simResponse{gateway: g, ctx: ctx, id: s.Request.ID, stream: strings.HasPrefix(s.Request.RequestURI, "/stream"), onUnacknowledged: s.OnUnacknowledged}
	err := r.transfer(0)
	if err != nil {
		return nil, errkind.Wrap(errkind.TargetFailed, err, "the exchange failed")
	}
	g.world.run(s)
	if !strings.HasPrefix(s.Request.ID, "once-"+g.name[1:]+"-") && strings.HasPrefix(s.Request.ID, "once") && g.world.kills.Add(-1) >= 0 {
		g.kill()
	}
	wait := plainWork
	if r.stream {
		wait = firstEvent
	}
	err = r.transfer(wait)
	if err != nil {
		return nil, errkind.Wrap(errkind.TargetFailed, err, "the exchange failed")
	}
	r.next = 1
	if s.ResumeAfter != "" {
		_, _ = fmt.Sscan(s.ResumeAfter, &r.next)
		r.next++
	}
	return r, nil
}

// simResponse is a target's response.
type simResponse struct {
	gateway *simGateway
	ctx     context.Context
	id      string
	stream  bool
	next    int
	done    bool
	// onUnacknowledged is that of the request.
	onUnacknowledged func()
}

// transfer waits for a part of the response, over links that may break meanwhile.
func (r *simResponse) transfer(d time.Duration) error {
	err := pause(r.ctx, d)
	if err != nil {
		return err
	}
	switch r.gateway.currentLinks() {
	case linksHang:
		return r.hang()
	case linksReset:
		return syscall.ECONNRESET
	default:
		return nil
	}
}

// hang waits until the links are open, or the connection fails. Meanwhile a request that
// has no response yet isn't acknowledged.
func (r *simResponse) hang() error {
	failAt, tellAt := time.Now().Add(silentTimeout), time.Now().Add(unackedLimit)
	for r.gateway.currentLinks() == linksHang {
		err := pause(r.ctx, 10*time.Millisecond)
		if err != nil {
			return err
		}
		if r.next == 0 && r.onUnacknowledged != nil && time.Now().After(tellAt) {
			r.onUnacknowledged()
			tellAt = time.Now().Add(unackedLimit / 2)
		}
		if time.Now().After(failAt) {
			return syscall.ETIMEDOUT
		}
	}
	return nil
}

// Read implements relay.UpstreamResponse.
func (r *simResponse) Read(p []byte) (int, error) {
	if !r.stream {
		if r.done {
			return 0, io.EOF
		}
		r.done = true
		return copy(p, "answer "+r.id), nil
	}
	if r.next > streamEvents {
		return 0, io.EOF
	}
	err := r.transfer(eventGap)
	if err != nil {
		return 0, err
	}
	n := copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", r.next, "e"))
	r.next++
	return n, nil
}

// Status implements relay.UpstreamResponse.
func (r *simResponse) Status() int { return http.StatusOK }

// Header implements relay.UpstreamResponse.
func (r *simResponse) Header() http.Header { return http.Header{} }

// Load implements relay.UpstreamResponse.
func (r *simResponse) Load() *placement.Load { return nil }

// EndsWithConnection implements relay.UpstreamResponse.
func (r *simResponse) EndsWithConnection() bool { return false }

// Announcement implements relay.UpstreamResponse.
func (r *simResponse) Announcement() placement.Announcement { return placement.Announcement{} }

// Close implements relay.UpstreamResponse.
func (r *simResponse) Close() {}
