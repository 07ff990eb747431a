// Package logging creates the structured log of a process: JSON lines, written
// without blocking the process that logs.
//
// Lines go to a bounded queue that one goroutine writes out. Lines that don't
// fit into the queue are dropped and counted, and the count is logged as a line
// of its own once there is room. Lines with the same message are sampled if
// they are frequent.
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
	// queueLines is the capacity of the queue, in lines.
	queueLines = 2048
	// Sampling of lines with the same message: in each sampleTick the first
	// sampleFirst lines are written, then one in sampleThereafter.
	sampleTick       = time.Second
	sampleFirst      = 100
	sampleThereafter = 20
	// flushTimeout bounds the wait for the queue at the end of the process.
	flushTimeout = 100 * time.Millisecond
)

// New returns a log with the given minimum level that writes to out, and a
// function that flushes the queue.
func New(level string, out io.Writer) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	writer := newAsyncWriter(out)
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	encoderConfig.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), writer, parsed)
	sampled := zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	log := zap.New(sampled)
	writer.log = zap.New(core)
	return log, writer.flush, nil
}

// asyncWriter is a zapcore.WriteSyncer that never blocks.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	pending sync.WaitGroup
	log     *zap.Logger
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	q := &asyncWriter{out: out, lines: make(chan []byte, queueLines)}
	go q.writeLines()
	return q
}

// Write implements io.Writer. It copies the line, since zap reuses the buffer.
func (q *asyncWriter) Write(line []byte) (int, error) {
	q.pending.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.pending.Done()
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *asyncWriter) Sync() error { return nil }

func (q *asyncWriter) writeLines() {
	for line := range q.lines {
		// A failure to write the log can't be logged either.
		_, _ = q.out.Write(line)
		q.pending.Done()
		if n := q.dropped.Swap(0); n > 0 {
			q.log.Warn("log: dropped lines.", zap.Int64("lines", n))
		}
	}
}

// flush waits until all queued lines are written, for at most flushTimeout.
func (q *asyncWriter) flush() {
	done := make(chan struct{})
	go func() {
		q.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
