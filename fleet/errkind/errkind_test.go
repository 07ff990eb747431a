package errkind

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Every kind has a distinct name, a status and a run state.
func TestTableIsWhole(t *testing.T) {
	is := is.New(t)
	names := make(map[string]Kind)
	for k := Kind(0); k < NumKinds; k++ {
		a := k.Properties()
		is.True(a.Name != "")
		is.True(a.Status >= 400)
		is.True(a.RunState != 0)
		_, seen := names[a.Name]
		is.True(!seen)
		names[a.Name] = k
	}
}

func TestOfFindsTheWrappedKind(t *testing.T) {
	is := is.New(t)
	err := errors.Join(errors.New("outer"), New(BodyTooLarge, "body above %d bytes", 4))
	is.Equal(KindOf(err), BodyTooLarge)
	is.Equal(KindOf(errors.New("plain")), Internal)
}
