package processtest

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A router is killed mid-stream. The caller resumes at the other router and
// has the whole answer, byte for byte, on one run and one bill.
func TestRouterKilledMidStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const tokens = 60
	f := Start(t, Options{Binaries: binaries, Seed: 11})
	doomed, other := f.Routers[0], f.Routers[1]

	body := ChatRequest("same-prompt", tokens, true).Body
	reference := Request{Service: ModelService, Path: ModelPath, IdempotencyKey: "reference", Body: body}
	var want StreamedResponse
	other.MustReadStream(reference, &want)

	for i, at := range []int{1, tokens / 2, tokens * 5 / 6} {
		q := reference
		q.IdempotencyKey = []string{"first", "middle", "last"}[i]
		var a StreamedResponse
		err := doomed.ReadStream(context.Background(), q, &a, func(a *StreamedResponse) bool {
			if a.Tokens == at {
				doomed.Kill()
			}
			return false
		})
		is.True(errors.Is(err, ErrStreamInterrupted)) // the kill cuts the connection
		other.MustReadStream(q, &a)
		is.Equal(a.Text.String(), want.Text.String()) // byte-identical
		bills := f.WaitBills(i + 2)
		is.Equal(bills[q.ID()].GetTokens(), a.Usage)
		is.Equal(f.engineRuns(q.ID()), 1) // one run in the whole fleet
		doomed.Start(t)
		f.WaitConverged()
	}
	f.Budget()
}

// A router is killed while it serves whole calls. A caller that repeats its
// lookup with the same key gets an answer, and the bill stands once.
func TestRouterKilledMidLookup(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 12})
	doomed, other := f.Routers[0], f.Routers[1]
	q := ChatRequest("whole", 80, false)
	done := make(chan error, 1)
	go func() {
		_, err := doomed.Do(context.Background(), q)
		done <- err
	}()
	Eventually(t, "the engine runs the call", func() bool { return f.engineRuns(q.ID()) == 1 })
	doomed.Kill()
	is.True(<-done != nil) // the connection broke
	reply := other.MustDo(q)
	is.True(reply.OK())
	bills := f.WaitBills(1)
	is.Equal(bills[q.ID()].Tokens, reply.BilledTokens())
}

// A router is killed right after its caller got a whole answer. The request
// is billed all the same, by whoever has a copy of the bill.
func TestKilledRightAfterAnswer(t *testing.T) {
	t.Parallel()
	f := Start(t, Options{Binaries: binaries, Seed: 13, Centres: []string{"cluj-a"}, RoutersPerCentre: 3})
	doomed := f.Routers[0]
	usage := make(map[string]int64)
	for n := range 20 {
		q := ChatRequest(fmt.Sprintf("answered-%d", n), 5, true)
		var a StreamedResponse
		doomed.MustReadStream(q, &a)
		usage[q.ID()] = a.Usage
	}
	doomed.Kill()
	Eventually(t, "every answer has its bill", func() bool {
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
