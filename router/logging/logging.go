// Package logging makes the structured log of a process: JSON lines that never
// hold up the process that writes them.
//
// Lines go to a bounded queue that one goroutine writes out. Lines that the
// queue has no room for are dropped and counted; the count stands in a line of
// its own once there is room. A line that repeats fast is sampled.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// sampleTick, sampleFirst and sampleThereafter bound lines of the same
	// message: the first ones of each tick are written, then one in so many.
	sampleTick       = time.Second
	sampleFirst      = 100
	sampleThereafter = 20
	// flushTime bounds the wait for the queue at the end of the process.
	flushTime = 100 * time.Millisecond
)

// New returns a log at the level that writes to out, and a function that
// writes out what waits.
func New(level string, out io.Writer) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	queue := newQueue(out)
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), queue, parsed)
	sampled := zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	log := zap.New(sampled)
	queue.log = zap.New(core)
	return log, queue.flush, nil
}

// queue is a zapcore.WriteSyncer that never blocks.
type queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	waiting sync.WaitGroup
	log     *zap.Logger
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, queueLines)}
	go q.run()
	return q
}

// Write implements io.Writer. The line is copied.
func (q *queue) Write(line []byte) (int, error) {
	q.waiting.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.waiting.Done()
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	for line := range q.lines {
		// A log that can't be written can't be told of either.
		_, _ = q.out.Write(line)
		q.waiting.Done()
		if n := q.dropped.Swap(0); n > 0 {
			q.log.Warn("log: dropped lines.", zap.Int64("lines", n))
		}
	}
}

// flush waits until the queue is written, for a bounded time.
func (q *queue) flush() {
	done := make(chan struct{})
	go func() {
		q.waiting.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTime):
	}
}
