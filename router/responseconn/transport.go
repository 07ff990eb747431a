package responseconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport over connections of this package.
type Transport struct {
	*http.Transport
}

// NewTransport wraps the connections of a transport that hasn't been used yet.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c, nil), nil
	}
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectHead}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// expectHead is a hook that is called before a request is written to its connection.
func expectHead(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		c.ExpectHead()
	}
}
