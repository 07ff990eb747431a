package target

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/errkind"
)

func openStream(t *testing.T, path string) *Stream {
	f := newFakeTarget(t)
	c := New(Options{FirstByteTimeout: longTimeout, TokenGapTimeout: longTimeout})
	t.Cleanup(c.Close)
	s, err := c.Stream(context.Background(), Call{Target: f.target(), RequestID: "r1", Path: path, Body: []byte("{}")})
	is.New(t).NoErr(err)
	return s
}

// readAll reads a stream to its end and returns the number of its tokens.
func readAll(s *Stream) (tokens int, err error) {
	for {
		e, err := s.Next(context.Background())
		if err != nil {
			return tokens, err
		}
		if e.End != nil {
			return tokens, nil
		}
		tokens++
	}
}

func TestCompleteStreamIsRead(t *testing.T) {
	is := is.New(t)
	s := openStream(t, "stream-whole")
	tokens, err := readAll(s)
	is.NoErr(err)
	is.Equal(tokens, streamTokens)
	is.Equal(s.ID(), "s1")
	_, err = s.Next(context.Background())
	is.True(errors.Is(err, io.EOF))
}

// A stream that is incomplete or belongs to another request returns an error.
func TestBrokenStreamReturnsError(t *testing.T) {
	kinds := map[string]errkind.Kind{
		"stream-cut":     errkind.TargetFailed,
		"stream-stall":   errkind.TargetSilent,
		"stream-crossed": errkind.AnswerMismatch,
		"stream-gap":     errkind.TargetFailed,
		"stream-altered": errkind.TargetFailed,
		"stream-no-end":  errkind.TargetFailed,
	}
	for path, kind := range kinds {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(openStream(t, path))
			is.Equal(errkind.KindOf(err), kind)
		})
	}
}

// resume resumes a broken stream where it stopped.
func resume(t *testing.T, s *Stream) *Stream {
	resumed, err := s.pending.client.Resume(context.Background(), s.pending.call, s.id, s.nextOffset)
	is.New(t).NoErr(err)
	resumed.InheritDigest(s)
	return resumed
}

// Contents that were altered before the stream broke are detected after the
// resume.
func TestResumedStreamVerifiesAllContents(t *testing.T) {
	is := is.New(t)
	s := openStream(t, "stream-cut")
	_, err := readAll(s)
	is.True(err != nil)
	s.digest.Write([]byte("forged"))
	_, err = readAll(resume(t, s))
	is.Equal(errkind.KindOf(err), errkind.TargetFailed)
}

// A stream that broke or stopped responding is resumed where it stopped, and its
// digest still covers all events.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, path := range []string{"stream-cut", "stream-stall", "stream-crossed"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := openStream(t, path)
			first, err := readAll(s)
			is.True(err != nil)
			resumed := resume(t, s)
			second, err := readAll(resumed)
			is.NoErr(err)
			is.Equal(first+second, streamTokens)
			is.True(resumed.digestComplete)
		})
	}
}

// An engine that doesn't end its response after the end event doesn't delay the
// caller.
func TestEndEventIsReturnedAtOnce(t *testing.T) {
	is := is.New(t)
	s := openStream(t, "stream-lingers")
	tokens, err := readAll(s)
	is.NoErr(err)
	is.Equal(tokens, streamTokens)
	is.NoErr(s.pending.ctx.Err())
	s.Close()
}
