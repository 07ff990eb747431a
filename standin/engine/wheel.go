package engine

import (
	"sync"
	"time"
)

const (
	// tick is the resolution of token times.
	tick = time.Millisecond
	// wheelSlots is the span of the timer wheel in ticks; a stream due later
	// is looked at once a turn.
	wheelSlots = 1024
)

// wheel is a timer wheel of streams by the tick of their next token.
type wheel struct {
	mu    sync.Mutex
	slots [wheelSlots][]*stream
	// done is the last tick that was taken.
	done int64
}

// add places a stream at a time since the engine's start, or at the next
// tick where that time has passed.
func (w *wheel) add(s *stream, at time.Duration) {
	due := int64((at + tick - 1) / tick)
	w.mu.Lock()
	defer w.mu.Unlock()
	due = min(max(due, w.done+1), w.done+wheelSlots-1)
	slot := due % wheelSlots
	w.slots[slot] = append(w.slots[slot], s)
}

// take returns the streams of the next tick, or false when that tick lies
// after now. The slice is the caller's.
func (w *wheel) take(now time.Duration, spare []*stream) ([]*stream, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.done + 1
	if time.Duration(next)*tick > now {
		return spare, false
	}
	w.done = next
	slot := next % wheelSlots
	due := append(spare[:0], w.slots[slot]...)
	clear(w.slots[slot])
	w.slots[slot] = w.slots[slot][:0]
	return due, true
}
