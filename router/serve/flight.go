package serve

import (
	"bytes"
	"context"
	"sync"
	"time"

	"cuminrock.example/fleet/errkind"
)

const (
	// keepAnswers is how long a whole answer is kept for a repeat.
	keepAnswers = 2 * time.Minute
	// maxKeptBytes bounds the bodies of the answers kept.
	maxKeptBytes = 16 << 20
)

// flight is one whole answer in progress or kept.
type flight struct {
	digest []byte
	done   chan struct{}
	// answer and err are set before done is closed.
	answer *Response
	err    error
	kept   time.Time
}

// flights lets a repeat of a whole call share the first one's answer: a caller
// that lost an answer and asks again at this router gets it without a second
// run. Failures aren't kept.
type flights struct {
	now func() time.Time

	mu    sync.Mutex
	byID  map[string]*flight
	order []string
	bytes int
}

func newFlights(now func() time.Time) *flights {
	return &flights{now: now, byID: make(map[string]*flight)}
}

// join returns the flight of the request and whether the caller is to fly it.
func (f *flights) join(r *Request) (*flight, bool, error) {
	digest := requestDigest(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropOld()
	known, ok := f.byID[r.ID]
	if !ok {
		known = &flight{digest: digest, done: make(chan struct{})}
		f.byID[r.ID] = known
		return known, true, nil
	}
	if !bytes.Equal(known.digest, digest) {
		return nil, false, errkind.New(errkind.KeyReused, "this Idempotency-Key named another request")
	}
	return known, false, nil
}

// land tells the outcome to all who wait, and keeps an answer for a time.
func (f *flights) land(id string, fl *flight, answer *Response, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.answer, fl.err = answer, err
	fl.kept = f.now()
	close(fl.done)
	if err != nil {
		delete(f.byID, id)
		return
	}
	f.order = append(f.order, id)
	f.bytes += len(answer.Body)
	f.dropOld()
}

// dropOld forgets answers past their time or beyond the bound.
func (f *flights) dropOld() {
	oldest := f.now().Add(-keepAnswers)
	for len(f.order) > 0 {
		fl := f.byID[f.order[0]]
		if f.bytes <= maxKeptBytes && fl.kept.After(oldest) {
			return
		}
		f.bytes -= len(fl.answer.Body)
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// wait returns the outcome of another's flight.
func (fl *flight) wait(ctx context.Context) (*Response, error) {
	select {
	case <-fl.done:
	case <-ctx.Done():
		return nil, errkind.New(errkind.InProgress, "this request is still being answered").WithRetryAfter(time.Second)
	}
	if fl.err != nil {
		return nil, fl.err
	}
	again := *fl.answer
	again.Replayed = true
	return &again, nil
}
