package prepaid

// waker wakes one goroutine. Wakes that come before it looks count as one.
type waker chan struct{}

func newWaker() waker { return make(waker, 1) }

// wake never blocks.
func (w waker) wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}
