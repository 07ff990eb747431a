package engine

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/target"
)

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	opts    Options
	door    *target.Server
	runs    target.RunCounter
	counts  counters
	wheel   wheel
	cache   *prefixCache
	started time.Time
	// name starts the ids of streams; it differs at each start, so that a
	// stream of an earlier process is unknown.
	name    string
	serial  atomic.Uint64
	workers conc.WaitGroup

	mu      sync.Mutex
	streams map[string]*stream
	waiting []*stream
	busy    int
	expiry  []expiring
}

// expiring is a finished stream and when it is forgotten.
type expiring struct {
	at     time.Duration
	stream string
}

// New returns an engine whose scheduler runs until Close.
func New(opts Options) *Engine {
	e := &Engine{
		opts:    opts.withDefaults(),
		started: time.Now(),
		name:    uuid.NewString()[:8],
		streams: make(map[string]*stream),
	}
	e.cache = newPrefixCache(e.opts.PrefixCacheTokens)
	e.door = target.NewServer(e.load)
	e.workers.Go(e.schedule)
	return e
}

// Open takes the listener and returns the function that serves it until
// Close.
func (e *Engine) Open(lis net.Listener) (serve func() error) {
	return e.door.Open(lis, e.handler())
}

// Serve serves the listener until Close.
func (e *Engine) Serve(lis net.Listener) error { return e.Open(lis)() }

// Addr returns host:port, empty before Open.
func (e *Engine) Addr() string { return e.door.Addr() }

// Close ends the engine and all connections.
func (e *Engine) Close() {
	e.door.Close()
	e.workers.Wait()
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f target.Faults) error { return e.door.SetFaults(f) }

// Faults returns the faults in force.
func (e *Engine) Faults() target.Faults { return e.door.Faults() }

func (e *Engine) load() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.LoadReport{InFlight: e.busy, Queued: len(e.waiting)}
}

// admit queues a new run, or returns nil where the queue is full.
func (e *Engine) admit(requestID string, a answer, prompt []byte) *stream {
	s := &stream{
		id:        fmt.Sprintf("%s-%d", e.name, e.serial.Add(1)),
		requestID: requestID,
		answer:    a,
		prompt:    promptTokens(prompt),
		text:      prompt,
	}
	e.mu.Lock()
	if e.busy >= e.opts.Slots && len(e.waiting) >= e.opts.QueueCapacity {
		e.mu.Unlock()
		return nil
	}
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	e.startWaiting()
	e.mu.Unlock()
	e.door.RecordLoad()
	return s
}

// startWaiting moves queued streams into free slots; the caller holds the
// lock.
func (e *Engine) startWaiting() {
	for e.busy < e.opts.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		firstAt := time.Since(e.started) + e.Faults().ScaleDuration(e.prefill(s))
		if !s.start(firstAt) {
			continue
		}
		e.busy++
		e.runs.Add(s.requestID)
		e.counts.runs.Add(1)
		if e.Faults().Leaving {
			e.counts.runsWhileLeaving.Add(1)
		}
		e.wheel.add(s, firstAt)
	}
}

// prefill takes the prompt and returns the time to the first token.
func (e *Engine) prefill(s *stream) time.Duration {
	cached := e.cache.use(s.text)
	s.text = nil
	e.counts.promptTokens.Add(uint64(s.prompt))
	e.counts.cachedTokens.Add(uint64(cached))
	return e.opts.TimeToFirstToken + time.Duration(s.prompt-cached)*e.opts.PrefillPerToken
}

// find returns a stream by id.
func (e *Engine) find(id string) (*stream, bool) {
	if e.Faults().ForgetStreams {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

// cancel ends a stream, frees its slot and returns its usage.
func (e *Engine) cancel(s *stream) Usage {
	before := s.cancel()
	if before == queued || before == running {
		e.counts.cancelled.Add(1)
	}
	if before == running {
		e.release(s)
	}
	return e.told(s.usage())
}

// release frees the slot of a stream that ended and lets it expire.
func (e *Engine) release(s *stream) {
	e.mu.Lock()
	e.busy--
	e.expiry = append(e.expiry, expiring{at: time.Since(e.started) + e.opts.StreamRetention, stream: s.id})
	e.startWaiting()
	e.mu.Unlock()
	e.door.RecordLoad()
}

// told returns the usage as the engine tells it.
func (e *Engine) told(u Usage) Usage {
	u.CompletionTokens += e.Faults().ExtraUsageTokens
	return u
}

// schedule generates tokens as they fall due.
func (e *Engine) schedule() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var due []*stream
	for {
		select {
		case <-e.door.Done():
			return
		case <-ticker.C:
		}
		now := time.Since(e.started)
		for {
			var taken bool
			due, taken = e.wheel.take(now, due)
			if !taken {
				break
			}
			e.generate(due, now)
		}
		e.expire(now)
	}
}

// generate advances the streams that are due.
func (e *Engine) generate(due []*stream, now time.Duration) {
	interval := e.Faults().ScaleDuration(e.opts.interval())
	stalled := e.door.Stalled()
	for _, s := range due {
		if stalled {
			s.nextAt = now + interval
			e.wheel.add(s, s.nextAt)
			continue
		}
		added, runs := s.generate(now, interval)
		e.counts.tokens.Add(uint64(added))
		if runs {
			e.wheel.add(s, s.nextAt)
			continue
		}
		_, state := s.progress()
		if state == finished {
			e.release(s)
		}
	}
}

// expire forgets finished streams after their time.
func (e *Engine) expire(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.expiry) > 0 && e.expiry[0].at <= now {
		delete(e.streams, e.expiry[0].stream)
		e.expiry = e.expiry[1:]
	}
}
