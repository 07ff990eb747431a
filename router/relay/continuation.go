package relay

import (
	"errors"
	"strconv"
)

// errNoContinuation means that a target which was to go on with a stream sent something else,
// such as the text of an error.
var errNoContinuation = errors.New("the target didn't go on with the stream")

// continues reports whether an event with an id may follow the last one in a stream that its
// target has taken up. The ids of a stream increase.
func continues(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return id != "" && id != last
	}
	next, err := strconv.ParseUint(id, 10, 64)
	return err == nil && next > before
}
