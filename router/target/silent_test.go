package target

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/errkind"
)

// warm makes n pooled connections by calls that overlap.
func warm(t *testing.T, c *Client, f *fakeTarget, n int) {
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

// All pooled connections go silent while new ones work: the first call finds
// it and is told unknown, and none of the following meets a silent connection.
func TestSilentPoolIsReplacedByOneFinding(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{FirstByteTimeout: longSilence})
	defer c.Close()
	warm(t, c, f, 8)
	f.freeze()
	_, err := c.Do(context.Background(), Call{Target: f.target(), RequestID: "finder", Path: "ok"})
	is.Equal(errkind.KindOf(err), errkind.TargetSilent)
	for i := range 8 {
		_, err := c.Do(context.Background(), Call{Target: f.target(), RequestID: fmt.Sprint("after-", i), Path: "ok"})
		is.NoErr(err)
	}
	is.Equal(c.Stats().SilentConnections.Value(), int64(1))
}

// An action never meets a pooled connection.
func TestActionTakesNoPooledConnection(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{FirstByteTimeout: longSilence})
	defer c.Close()
	warm(t, c, f, 4)
	f.freeze()
	_, err := c.Action(context.Background(), Call{Target: f.target(), RequestID: "action", Path: "ok"})
	is.NoErr(err)
	is.Equal(f.runsOf("action"), 1)
}
