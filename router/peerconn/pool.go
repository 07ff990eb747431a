// Package peerconn keeps gRPC connections to other routers, one for each address.
package peerconn

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// minReconnectDelay and maxReconnectDelay bound the delay between two
	// attempts to connect, so that the end of a partition is noticed within a
	// second.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// reconnectFactor is the factor by which that delay grows.
	reconnectFactor = 1.6
	// defaultReplacedFor is how long a replaced connection stays open, so that calls in
	// progress can end.
	defaultReplacedFor = 2 * time.Second
)

// The bounds of a server that other routers call.
const (
	// MaxHeaderBytes bounds the metadata of a call.
	MaxHeaderBytes = 16 << 10
	// MaxStreams bounds the calls in progress on one connection. A router that can't reach
	// any target passes all its requests on.
	MaxStreams = 1000
	// HandshakeTimeout bounds the time until a connection has become one of HTTP/2.
	HandshakeTimeout = 10 * time.Second
)

// Pool keeps one connection for each address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption
	// replacedFor is how long a connection stays open that is no longer used for new
	// calls.
	replacedFor time.Duration

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool whose connections are dialled with the options.
func NewPool(options ...grpc.DialOption) *Pool {
	base := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(reconnectParams()),
	}
	return &Pool{options: append(base, options...), replacedFor: defaultReplacedFor, conns: make(map[string]*grpc.ClientConn)}
}

// KeepReplaced sets how long a connection stays open that is no longer used for new
// calls. It is called before the first use.
func (p *Pool) KeepReplaced(d time.Duration) { p.replacedFor = d }

// reconnectParams returns the backoff for dialling a lost connection again.
func reconnectParams() grpc.ConnectParams {
	delays := backoff.DefaultConfig
	delays.BaseDelay = minReconnectDelay
	delays.Multiplier = reconnectFactor
	delays.MaxDelay = maxReconnectDelay
	return grpc.ConnectParams{Backoff: delays, MinConnectTimeout: maxReconnectDelay}
}

// Conn returns the connection to an address. It connects with its first call.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient(address, p.options...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.conns[address] = c
	return c, nil
}

// Replace drops the connection to an address, which may be dead, so that the
// next call dials a new one.
func (p *Pool) Replace(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.conns[address]
	if !ok {
		return
	}
	delete(p.conns, address)
	p.closeLater(old)
}

// closeLater closes a connection once the calls in progress have had time to end.
func (p *Pool) closeLater(c *grpc.ClientConn) {
	time.AfterFunc(p.replacedFor, func() { _ = c.Close() })
}

// Retain drops the connections to all addresses but these. Calls in progress go on, as
// the other router may be about to stop and still serve them.
func (p *Pool) Retain(addresses map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if _, ok := addresses[address]; ok {
			continue
		}
		p.closeLater(c)
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}
