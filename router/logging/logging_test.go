package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, flush, err := New("info", &out)
	is.NoErr(err)
	log.Info("part: something happened.", zap.String("request", "r1"))
	log.Debug("part: not written.")
	flush()
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `"request":"r1"`))
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{release: make(chan struct{})}
	log, _, err := New("info", out)
	is.NoErr(err)
	for range 3 * queueLines {
		log.Info("part: a line.")
	}
	close(out.release)
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, _, err := New("loud", &bytes.Buffer{})
	is.New(t).True(err != nil)
}
