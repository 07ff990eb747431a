package target

import (
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// After a seal nothing is written, also when the transport's writer comes late.
func TestSealForbidsTheFirstWrite(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = far.Read(make([]byte, 8)) }()
	c := &conn{Conn: near}
	e := &exchange{}
	c.carry(e)
	is.True(e.seal())
	_, err := c.Write([]byte("late"))
	is.True(errors.Is(err, errSealed))
}

func TestSealFailsAfterTheFirstWrite(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() { _, _ = far.Read(make([]byte, 8)) }()
	c := &conn{Conn: near}
	e := &exchange{}
	c.carry(e)
	_, err := c.Write([]byte("first"))
	is.NoErr(err)
	is.True(!e.seal())
}

// Of a writer and a sealer that race exactly one wins.
func TestSealAndWriteExclude(t *testing.T) {
	for range 2000 {
		e := &exchange{}
		var began, sealed bool
		var wg sync.WaitGroup
		wg.Go(func() { began = e.begin() })
		wg.Go(func() { sealed = e.seal() })
		wg.Wait()
		is.New(t).True(began != sealed)
	}
}
