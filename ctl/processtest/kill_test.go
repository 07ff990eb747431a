package processtest

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/standin/target"
)

// A router is killed during a stream, near its start, in the middle and near its
// end. The caller resumes at the other router and must receive the complete
// response, byte for byte, from one run and with one bill.
func TestRouterKilledMidStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const tokens = 60
	f := Start(t, Options{Binaries: binaries, Seed: 11})
	killed, other := f.Routers[0], f.Routers[1]

	body := ChatRequest("same-prompt", tokens, true).Body
	reference := Request{Service: ModelService, Path: ModelPath, IdempotencyKey: "reference", Body: body}
	var want StreamedResponse
	other.MustReadStream(reference, &want)

	for i, at := range []int{1, tokens / 2, tokens * 5 / 6} {
		q := reference
		q.IdempotencyKey = []string{"first", "middle", "last"}[i]
		var stream StreamedResponse
		// The engines hold the stream at this token, so that none has left the
		// router beyond it when the router is killed.
		f.SetEngineFaults(target.Faults{HoldAtToken: at})
		err := killed.ReadStream(context.Background(), q, &stream, func(stream *StreamedResponse) bool {
			if stream.Tokens == at {
				killed.Kill()
			}
			return false
		})
		t.Logf("%s: read ended after %d tokens: %v", q.IdempotencyKey, stream.Tokens, err)
		is.True(errors.Is(err, ErrStreamInterrupted)) // the kill closes the connection
		is.Equal(stream.Tokens, at)                   // it came after exactly this token
		f.SetEngineFaults(target.Faults{})
		other.MustReadStream(q, &stream)
		is.Equal(stream.Text.String(), want.Text.String()) // byte-identical
		bills := f.WaitBills(i + 2)
		is.Equal(bills[q.ID()].GetTokens(), stream.Usage)
		is.Equal(f.engineRuns(q.ID()), 1) // one run in the entire fleet
		killed.Start(t)
		f.WaitConverged()
	}
	f.Budget()
}

// A router is killed during a unary model call. A caller that retries the call
// with the same key at the other router must get a response, and the call must
// be billed once.
func TestRouterKilledMidUnaryCall(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 12})
	killed, other := f.Routers[0], f.Routers[1]
	q := ChatRequest("whole", 80, false)
	done := make(chan error, 1)
	go func() {
		_, err := killed.Do(context.Background(), q)
		done <- err
	}()
	Eventually(t, "the engine runs the call", func() bool { return f.engineRuns(q.ID()) == 1 })
	killed.Kill()
	is.True(<-done != nil) // the kill closes the connection
	response := other.MustDo(q)
	is.True(response.OK())
	bills := f.WaitBills(1)
	is.Equal(bills[q.ID()].Tokens, response.BilledTokens())
}

// A router is killed right after its callers received complete responses. The
// requests must still be billed, by the routers that hold copies of the bills.
func TestRouterKilledAfterResponse(t *testing.T) {
	t.Parallel()
	f := Start(t, Options{Binaries: binaries, Seed: 13, Centres: []string{"cluj-a"}, RoutersPerCentre: 3})
	killed := f.Routers[0]
	usage := make(map[string]int64)
	for n := range 20 {
		q := ChatRequest(fmt.Sprintf("answered-%d", n), 5, true)
		var stream StreamedResponse
		killed.MustReadStream(q, &stream)
		usage[q.ID()] = stream.Usage
	}
	killed.Kill()
	Eventually(t, "every response is billed", func() bool {
		bills := f.Bills()
		for id, tokens := range usage {
			if bills[id].GetTokens() != tokens {
				return false
			}
		}
		return true
	})
	f.Budget()
}
