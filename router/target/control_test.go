package target

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// A target that answers late or not at all is gone; one whose answer is no
// report isn't.
func TestLoadTellsWhoIsGone(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	f.report = `{"in_flight":3,"queued":2,"leaving":true}`
	load, err := c.Load(context.Background(), f.target(), time.Minute)
	is.NoErr(err)
	is.Equal(load, LoadReport{InFlight: 3, Queued: 2, Leaving: true})
	f.setReport("no report")
	_, err = c.Load(context.Background(), f.target(), time.Minute)
	is.True(err != nil && !IsUnresponsive(err))
	f.setReport("")
	_, err = c.Load(context.Background(), f.target(), testSilence)
	is.True(IsUnresponsive(err))
	_, err = c.Load(context.Background(), &pb.Target{Name: "gone", Address: refusedAddress(t)}, time.Minute)
	is.True(IsUnresponsive(err))
}

func TestCancelTellsTheUsage(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	usage, err := c.Cancel(context.Background(), f.target(), "r1", "s1")
	is.NoErr(err)
	is.Equal(usage, Usage{PromptTokens: 2, CompletionTokens: 4})
}
