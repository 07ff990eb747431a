package target

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// seenReports keeps what a poller reported last.
type seenReports struct {
	inFlight int
	leaving  bool
	missing  int
}

func (s *seenReports) Report(_ string, inFlight int, leaving bool) {
	s.inFlight, s.leaving = inFlight, leaving
}

func (s *seenReports) ReportMissing(string) { s.missing++ }

func TestPollerReports(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	seen := &seenReports{}
	p := NewPoller(c, seen, nil, PollOptions{Timeout: longSilence})
	f.report = `{"in_flight":3,"queued":2,"leaving":true}`
	p.round(context.Background(), []*pb.Target{f.target()})
	is.Equal(*seen, seenReports{inFlight: 5, leaving: true})
	f.mu.Lock()
	f.report = ""
	f.mu.Unlock()
	p.round(context.Background(), []*pb.Target{f.target()})
	is.Equal(seen.missing, 1)
	p.round(context.Background(), []*pb.Target{{Name: "gone", Address: refusedAddress(t)}})
	is.Equal(seen.missing, 2)
}

// More targets make the interval longer, not the load higher; with those of one
// data centre a report of leaving comes in time.
func TestPollIntervalGrows(t *testing.T) {
	is := is.New(t)
	p := NewPoller(nil, nil, nil, PollOptions{})
	is.Equal(p.interval(12), time.Second)
	is.Equal(p.interval(86), 2150*time.Millisecond)
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
