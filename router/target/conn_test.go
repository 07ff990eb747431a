package target

import (
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/router/responseconn"
)

// After abort, a late write by the transport writes nothing. Such a write would run
// a call that was reported as not run.
func TestAbortPreventsFirstWrite(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = far.Read(make([]byte, 8)) }()
	c := &conn{Conn: responseconn.New(near, nil)}
	e := &exchange{}
	c.attach(e)
	is.True(e.abort())
	_, err := c.Write([]byte("late"))
	is.True(errors.Is(err, errAborted))
}

func TestAbortFailsAfterFirstWrite(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = far.Read(make([]byte, 8)) }()
	c := &conn{Conn: responseconn.New(near, nil)}
	e := &exchange{}
	c.attach(e)
	_, err := c.Write([]byte("first"))
	is.NoErr(err)
	is.True(!e.abort())
}

// Of a concurrent markSent and abort, exactly one succeeds.
func TestAbortAndWriteExclude(t *testing.T) {
	for range 2000 {
		e := &exchange{}
		var sent, aborted bool
		var wg sync.WaitGroup
		wg.Go(func() { sent = e.markSent() })
		wg.Go(func() { aborted = e.abort() })
		wg.Wait()
		is.New(t).True(sent != aborted)
	}
}
