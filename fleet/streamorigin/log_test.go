package streamorigin

import (
	"testing"

	"github.com/matryer/is"
)

func TestVersionOfAStream(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	a, b := StreamOf("w", "a"), StreamOf("w", "b")
	l.Add(a, Origin{Version: "v1", UntilMs: 100})
	version, known := l.Version(a, 99)
	is.True(known)
	is.Equal(version, "v1")
	_, known = l.Version(b, 99)
	is.True(!known)
	_, known = l.Version(a, 100) // it can't be taken up any more
	is.True(!known)
	is.Equal(len(l.Publish(100)), 0)
}

// A caller that uses one id for two streams gets neither.
func TestStreamOfTwoVersionsIsUnknown(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	s := StreamOf("w", "a")
	l.Add(s, Origin{Version: "v1", UntilMs: 100})
	l.Add(s, Origin{Version: "v1", UntilMs: 200})
	_, known := l.Version(s, 150)
	is.True(known)
	l.Add(s, Origin{Version: "v2", UntilMs: 100})
	_, known = l.Version(s, 50)
	is.True(!known)
	l.Add(s, Origin{Version: "v1", UntilMs: 100})
	_, known = l.Version(s, 50)
	is.True(!known)
}

func TestStreamsOfWorkspacesAreApart(t *testing.T) {
	is := is.New(t)
	is.True(StreamOf("w", "a") != StreamOf("v", "a"))
	is.True(StreamOf("w", "a") != StreamOf("wa", ""))
}

func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	for i := range 2 * maxOrigins {
		l.Add(Stream(i), Origin{Version: "v1", UntilMs: int64(1000 + i)})
	}
	is.Equal(len(l.Publish(0)), maxOrigins)
	_, known := l.Version(Stream(2*maxOrigins-1), 0)
	is.True(known)
}

// The target that a stream was sent to may fail before its first event; another begins it.
func TestExpectedOriginIsReplaced(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	s := StreamOf("w", "a")
	l.Expect(s, Origin{Version: "v1", UntilMs: 100})
	_, known := l.Version(s, 50)
	is.True(!known) // it hasn't begun
	is.Equal(l.Publish(0)[s].Version, "v1")
	l.Expect(s, Origin{Version: "v2", UntilMs: 100})
	is.Equal(l.Publish(0)[s].Version, "v2")
	l.Add(s, Origin{Version: "v1", UntilMs: 100})
	is.True(l.Misleads(s)) // the write of v2 may have been executed
	l.Stored(s, Origin{Version: "v1", UntilMs: 100})
	is.True(!l.Misleads(s))
	version, known := l.Version(s, 50)
	is.True(known)
	is.Equal(version, "v1")
}

// What an earlier run stored counts like a stream that has begun.
func TestStoredOriginOfAnEarlierRun(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	s := StreamOf("w", "a")
	l.Expect(s, Origin{Version: "v2", UntilMs: 100})
	l.Stored(s, Origin{Version: "v1", UntilMs: 100})
	is.Equal(l.Publish(0)[s].Version, "") // two versions are said to have begun it
	is.True(l.Misleads(s))
}
