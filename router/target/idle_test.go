package target

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/errkind"
)

// warmPool makes n concurrent calls, so that the pool has idle connections.
func warmPool(t *testing.T, c *Client, f *fakeTarget, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_, err := c.Do(context.Background(), Call{Target: f.target(), RequestID: fmt.Sprint("warm-", i), Path: "ok"})
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
}

// All pooled connections stop responding while new ones work. The first call fails
// with unknown outcome and replaces the pool, so that no later call uses one of
// these connections.
func TestFirstTimeoutReplacesPool(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{FirstByteTimeout: longTimeout})
	defer c.Close()
	warmPool(t, c, f, 8)
	f.silenceConnections()
	_, err := c.Do(context.Background(), Call{Target: f.target(), RequestID: "first", Path: "ok"})
	is.Equal(errkind.KindOf(err), errkind.TargetSilent)
	for i := range 8 {
		_, err := c.Do(context.Background(), Call{Target: f.target(), RequestID: fmt.Sprint("after-", i), Path: "ok"})
		is.NoErr(err)
	}
	is.Equal(c.Stats().SilentConnections.Value(), int64(1))
}

// An action never uses a pooled connection.
func TestActionUsesNoPooledConnection(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{FirstByteTimeout: longTimeout})
	defer c.Close()
	warmPool(t, c, f, 4)
	f.silenceConnections()
	_, err := c.Action(context.Background(), Call{Target: f.target(), RequestID: "action", Path: "ok"})
	is.NoErr(err)
	is.Equal(f.runsOf("action"), 1)
}
