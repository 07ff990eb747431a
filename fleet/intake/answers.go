package intake

import "sync"

// AnswerRoom bounds what responses occupy before they are passed on. A Budget is one.
type AnswerRoom interface {
	// TakeAnswer takes bytes, and reports whether there were enough.
	TakeAnswer(bytes int64) bool
	// ReturnAnswer gives bytes back.
	ReturnAnswer(bytes int64)
}

// FixedRoom is an AnswerRoom of a number of bytes. It is safe for concurrent use.
type FixedRoom struct {
	mu   sync.Mutex
	left int64
}

// NewFixedRoom returns a room of a number of bytes.
func NewFixedRoom(bytes int64) *FixedRoom { return &FixedRoom{left: bytes} }

// TakeAnswer implements AnswerRoom.
func (r *FixedRoom) TakeAnswer(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes > r.left {
		return false
	}
	r.left -= bytes
	return true
}

// ReturnAnswer implements AnswerRoom.
func (r *FixedRoom) ReturnAnswer(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left += bytes
}

// Hold is what one response holds of a room. It is safe for concurrent use.
type Hold struct {
	// Room is nil for no bound.
	Room AnswerRoom

	mu    sync.Mutex
	taken int64
}

// Grow takes what is missing to a number of bytes in all, and reports whether there was enough.
func (h *Hold) Grow(bytes int64) bool {
	if h.Room == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if bytes <= h.taken {
		return true
	}
	if !h.Room.TakeAnswer(bytes - h.taken) {
		return false
	}
	h.taken = bytes
	return true
}

// Release gives everything back.
func (h *Hold) Release() {
	if h.Room == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Room.ReturnAnswer(h.taken)
	h.taken = 0
}
