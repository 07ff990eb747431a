package relay

import (
	"testing"

	"github.com/matryer/is"
)

func TestContinues(t *testing.T) {
	is := is.New(t)
	is.True(continues("2", "3"))
	is.True(continues("9", "10"))
	is.True(continues("a/2", "a/3"))
	is.True(!continues("2", "2"))
	is.True(!continues("10", "9"))
	is.True(!continues("2", ""))
	is.True(!continues("2", "three"))
	is.True(!continues("a/2", "a/2"))
	is.True(!continues("a/2", ""))
}
