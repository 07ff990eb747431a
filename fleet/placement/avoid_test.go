package placement

import (
	"testing"

	"github.com/matryer/is"
)

// A target that is avoided is picked if there is no other, or the others are suspect: a
// cold target may have a permit by then, a suspect one hardly answers.
func TestAvoidedTargetIsPickedOnlyIfNoOtherIsAvailable(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 2)
	avoid := func(target Target) bool { return target.ID == "t0" }
	for range 10 {
		l, err := tb.Pick(&Request{Service: "s", Avoid: avoid, Now: testNow})
		is.NoErr(err)
		is.Equal(l.Target().ID, "t1")
	}
	l, err := tb.Pick(&Request{Service: "s", Exclude: []string{"t1"}, Avoid: avoid, Now: testNow})
	is.NoErr(err)
	is.Equal(l.Target().ID, "t0")
	l, err = tb.Pick(&Request{Service: "s", Exclude: []string{"t0"}, Now: testNow})
	is.NoErr(err)
	l.Done(Unreachable, testNow)
	l, err = tb.Pick(&Request{Service: "s", Avoid: avoid, Now: testNow})
	is.NoErr(err)
	is.Equal(l.Target().ID, "t0")
}
