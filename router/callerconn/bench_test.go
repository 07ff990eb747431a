package callerconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// BenchmarkEvent measures one event of 200 bytes that a caller reads at once: written to
// the connection itself, to one of a set, and, for comparison, by a goroutine of its own
// that gets each event by a channel.
func BenchmarkEvent(b *testing.B) {
	set := NewSet(Options{Limits: generous, Registry: prometheus.NewRegistry(), Log: zap.NewNop(), Now: time.Now})
	b.Run("plain", func(b *testing.B) {
		c, caller := connect(b, set)
		benchmarkEvents(b, c.tcp, caller)
	})
	b.Run("set", func(b *testing.B) {
		c, caller := connect(b, set)
		benchmarkEvents(b, c, caller)
	})
	b.Run("goroutine", func(b *testing.B) {
		c, caller := connect(b, set)
		w := make(channelWriter, 16)
		go func() {
			for p := range w {
				_, _ = c.tcp.Write(p)
			}
		}()
		defer close(w)
		benchmarkEvents(b, w, caller)
	})
}

// channelWriter passes on a copy of each write.
type channelWriter chan []byte

func (w channelWriter) Write(p []byte) (int, error) {
	w <- append([]byte(nil), p...)
	return len(p), nil
}

func benchmarkEvents(b *testing.B, w io.Writer, caller net.Conn) {
	event, got := make([]byte, 200), make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		_, err := w.Write(event)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.ReadFull(caller, got)
		if err != nil {
			b.Fatal(err)
		}
	}
}
