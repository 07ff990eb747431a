package main

import (
	"io"
	"net"
	"sync"
)

// link is one gateway's path to all targets: a proxy that can be cut. While it is cut its open
// connections have been reset, and new ones are refused.
type link struct {
	mu        sync.Mutex
	cut       bool
	listeners map[string]net.Listener
	targets   map[string]string
	// conns are the open connections, of both sides.
	conns map[net.Conn]struct{}
}

func newLink() *link {
	return &link{listeners: make(map[string]net.Listener), targets: make(map[string]string), conns: make(map[net.Conn]struct{})}
}

// add returns the address at which the link leads to a target.
func (l *link) add(target string) (string, error) {
	address := freeAddress()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[address] = target
	return address, l.listen(address)
}

// listen accepts connections at an address. The lock is held.
func (l *link) listen(address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.listeners[address] = lis
	target := l.targets[address]
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go l.connect(conn, target)
		}
	}()
	return nil
}

// connect connects both sides until one of them closes its connection.
func (l *link) connect(caller net.Conn, target string) {
	defer func() { _ = caller.Close() }()
	conn, err := net.Dial("tcp", target)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		return
	}
	defer func() { _ = conn.Close() }()
	if !l.hold(caller, conn) {
		return
	}
	defer l.release(caller, conn)
	var copying sync.WaitGroup
	for _, side := range [][2]net.Conn{{caller, conn}, {conn, caller}} {
		copying.Go(func() {
			_, err := io.Copy(side[0], side[1])
			if err != nil {
				_ = side[0].(*net.TCPConn).SetLinger(0)
				_ = side[0].Close()
				return
			}
			_ = side[0].(*net.TCPConn).CloseWrite()
		})
	}
	copying.Wait()
}

func (l *link) hold(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return !l.cut
}

func (l *link) release(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// setCut cuts the link, or mends it.
func (l *link) setCut(cut bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		for address := range l.listeners {
			err := l.listen(address)
			if err != nil {
				return err
			}
		}
		return nil
	}
	for _, lis := range l.listeners {
		_ = lis.Close()
	}
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return nil
}
