package engine

import (
	"sync"
	"time"
)

const (
	// tick is the resolution of token due times.
	tick = time.Millisecond
	// wheelSlots is the span of the timer wheel in ticks; a stream due later
	// is examined once per revolution.
	wheelSlots = 1024
)

// timerWheel is a timer wheel that holds streams by the tick of their next
// token.
type timerWheel struct {
	mu    sync.Mutex
	slots [wheelSlots][]*stream
	// lastTick is the last tick whose streams were taken.
	lastTick int64
}

// add schedules a stream for a time since the engine's start, or for the next
// tick if that time has passed.
func (w *timerWheel) add(s *stream, at time.Duration) {
	due := int64((at + tick - 1) / tick)
	w.mu.Lock()
	defer w.mu.Unlock()
	due = min(max(due, w.lastTick+1), w.lastTick+wheelSlots-1)
	slot := due % wheelSlots
	w.slots[slot] = append(w.slots[slot], s)
}

// takeDue removes and returns the streams of the next tick, or returns false if
// that tick is after now. The result reuses buf and belongs to the caller.
func (w *timerWheel) takeDue(now time.Duration, buf []*stream) ([]*stream, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.lastTick + 1
	if time.Duration(next)*tick > now {
		return buf, false
	}
	w.lastTick = next
	slot := next % wheelSlots
	due := append(buf[:0], w.slots[slot]...)
	clear(w.slots[slot])
	w.slots[slot] = w.slots[slot][:0]
	return due, true
}
