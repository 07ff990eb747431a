package prepaid

// signal wakes one goroutine. Notifications that arrive before it receives are
// merged into one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// notify wakes the goroutine. It never blocks.
func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}
