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

// Engine emulates one model engine. It is safe for concurrent use.
type Engine struct {
	opts    Options
	server  *target.Server
	runs    target.RunCounter
	counts  counters
	wheel   timerWheel
	cache   *prefixCache
	started time.Time
	// streamIDPrefix is the prefix of stream ids. It is random for each engine,
	// so that the streams of an earlier process are unknown.
	streamIDPrefix string
	streamSeq      atomic.Uint64
	workers        conc.WaitGroup

	mu          sync.Mutex
	streams     map[string]*stream
	queue       []*stream
	busySlots   int
	expirations []expiration
}

// expiration is the time at which a stream that ended is removed.
type expiration struct {
	at       time.Duration
	streamID string
}

// New returns an engine whose scheduler runs until Close.
func New(opts Options) *Engine {
	e := &Engine{
		opts:           opts.withDefaults(),
		started:        time.Now(),
		streamIDPrefix: uuid.NewString()[:8],
		streams:        make(map[string]*stream),
	}
	e.cache = newPrefixCache(e.opts.PrefixCacheTokens)
	e.server = target.NewServer(e.loadReport)
	e.workers.Go(e.runScheduler)
	return e
}

// Open binds the engine to the listener and returns the function that serves it
// until Close.
func (e *Engine) Open(lis net.Listener) (serve func() error) {
	return e.server.Open(lis, e.handler())
}

// Serve serves the listener until Close.
func (e *Engine) Serve(lis net.Listener) error { return e.Open(lis)() }

// Addr returns the listener's host:port, or an empty string before Open.
func (e *Engine) Addr() string { return e.server.Addr() }

// Close stops the engine and closes its connections.
func (e *Engine) Close() {
	e.server.Close()
	e.workers.Wait()
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f target.Faults) error { return e.server.SetFaults(f) }

// Faults returns the active faults.
func (e *Engine) Faults() target.Faults { return e.server.Faults() }

func (e *Engine) loadReport() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.LoadReport{InFlight: e.busySlots, Queued: len(e.queue)}
}

// enqueue queues a new run, or returns nil if the queue is full.
func (e *Engine) enqueue(requestID string, c completion, prompt []byte) *stream {
	s := &stream{
		id:           fmt.Sprintf("%s-%d", e.streamIDPrefix, e.streamSeq.Add(1)),
		requestID:    requestID,
		completion:   c,
		promptTokens: promptTokens(prompt),
		prompt:       prompt,
	}
	e.mu.Lock()
	if e.busySlots >= e.opts.Slots && len(e.queue) >= e.opts.QueueCapacity {
		e.mu.Unlock()
		return nil
	}
	e.streams[s.id] = s
	e.queue = append(e.queue, s)
	e.startQueued()
	e.mu.Unlock()
	e.server.RecordLoad()
	return s
}

// startQueued moves queued streams into free slots. The caller must hold e.mu.
func (e *Engine) startQueued() {
	for e.busySlots < e.opts.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		firstAt := time.Since(e.started) + e.Faults().ScaleDuration(e.prefill(s))
		if !s.start(firstAt) {
			continue
		}
		e.busySlots++
		e.runs.Add(s.requestID)
		e.counts.runs.Add(1)
		if e.Faults().Leaving {
			e.counts.runsWhileLeaving.Add(1)
		}
		e.wheel.add(s, firstAt)
	}
}

// prefill runs the prompt through the prefix cache and returns the time to the
// first token.
func (e *Engine) prefill(s *stream) time.Duration {
	cached := e.cache.lookupAndInsert(s.prompt)
	s.prompt = nil
	e.counts.promptTokens.Add(uint64(s.promptTokens))
	e.counts.cachedTokens.Add(uint64(cached))
	return e.opts.TimeToFirstToken + time.Duration(s.promptTokens-cached)*e.opts.PrefillPerToken
}

// findStream returns a stream by id.
func (e *Engine) findStream(id string) (*stream, bool) {
	if e.Faults().ForgetStreams {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

// cancel cancels a stream, frees its slot and returns the reported usage.
func (e *Engine) cancel(s *stream) Usage {
	previous := s.cancel()
	if previous == queued || previous == running {
		e.counts.cancelled.Add(1)
	}
	if previous == running {
		e.releaseSlot(s)
	}
	return e.reportedUsage(s.usage())
}

// releaseSlot frees the slot of a stream that ended and schedules its removal.
func (e *Engine) releaseSlot(s *stream) {
	e.mu.Lock()
	e.busySlots--
	e.expirations = append(e.expirations, expiration{at: time.Since(e.started) + e.opts.StreamRetention, streamID: s.id})
	e.startQueued()
	e.mu.Unlock()
	e.server.RecordLoad()
}

// reportedUsage returns the usage as the engine reports it, which includes the
// injected ExtraUsageTokens.
func (e *Engine) reportedUsage(u Usage) Usage {
	u.CompletionTokens += e.Faults().ExtraUsageTokens
	return u
}

// runScheduler generates tokens when they are due, until the engine is closed.
func (e *Engine) runScheduler() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var due []*stream
	for {
		select {
		case <-e.server.Done():
			return
		case <-ticker.C:
		}
		now := time.Since(e.started)
		for {
			var taken bool
			due, taken = e.wheel.takeDue(now, due)
			if !taken {
				break
			}
			e.generateDue(due, now)
		}
		e.expireStreams(now)
	}
}

// generateDue generates the tokens of the streams that are due. During a stall
// it postpones them by one interval.
func (e *Engine) generateDue(due []*stream, now time.Duration) {
	faults := e.Faults()
	interval := faults.ScaleDuration(e.opts.interval())
	stalled := e.server.Stalled()
	for _, s := range due {
		if stalled {
			s.nextAt = now + interval
			e.wheel.add(s, s.nextAt)
			continue
		}
		added, stillRunning := s.generate(now, interval, faults.HoldAtToken)
		e.counts.tokens.Add(uint64(added))
		if stillRunning {
			e.wheel.add(s, s.nextAt)
			continue
		}
		_, state := s.progress()
		if state == finished {
			e.releaseSlot(s)
		}
	}
}

// expireStreams removes the streams whose retention has ended.
func (e *Engine) expireStreams(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.expirations) > 0 && e.expirations[0].at <= now {
		delete(e.streams, e.expirations[0].streamID)
		e.expirations = e.expirations[1:]
	}
}
