package errkind

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Every kind must have a unique name, an error status and a run state.
func TestEveryKindHasProperties(t *testing.T) {
	is := is.New(t)
	names := make(map[string]Kind)
	for k := Kind(0); k < NumKinds; k++ {
		p := k.Properties()
		is.True(p.Name != "")
		is.True(p.Status >= 400)
		is.True(p.RunState != 0)
		_, seen := names[p.Name]
		is.True(!seen)
		names[p.Name] = k
	}
}

func TestKindOfFindsWrappedKind(t *testing.T) {
	is := is.New(t)
	err := errors.Join(errors.New("outer"), New(BodyTooLarge, "body above %d bytes", 4))
	is.Equal(KindOf(err), BodyTooLarge)
	is.Equal(KindOf(errors.New("plain")), Internal)
}
