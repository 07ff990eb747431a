package lag

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestIdleProcessIsNotOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &Monitor{}
		ctx, cancel := context.WithCancel(context.Background())
		go m.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(m.Lateness(), time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// Lasting lateness counts within a few samples. A tenth of a second now and then
// doesn't, and a long suspension is forgotten soon after.
func TestOverloadNeedsLastingLateness(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	for i := range 100 {
		late := time.Duration(0)
		if i%5 == 0 {
			late = 100 * time.Millisecond
		}
		m.add(late)
		is.True(!m.Overloaded(false))
	}
	for range 8 {
		m.add(200 * time.Millisecond)
	}
	is.True(m.Overloaded(false))
	is.True(!m.Overloaded(true)) // urgent work is refused last
	m.add(10 * time.Second)
	for range 8 {
		m.add(0)
	}
	is.True(!m.Overloaded(false))
}
