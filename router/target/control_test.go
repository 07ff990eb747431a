package target

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// A target that responds late or not at all is unresponsive. A target whose
// response isn't a load report is not.
func TestLoadErrorOfUnresponsiveTarget(t *testing.T) {
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
	_, err = c.Load(context.Background(), f.target(), testTimeout)
	is.True(IsUnresponsive(err))
	_, err = c.Load(context.Background(), &pb.Target{Name: "gone", Address: closedAddress(t)}, time.Minute)
	is.True(IsUnresponsive(err))
}

func TestCancelReturnsUsage(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	usage, err := c.Cancel(context.Background(), f.target(), "r1", "s1")
	is.NoErr(err)
	is.Equal(usage, Usage{PromptTokens: 2, CompletionTokens: 4})
}
