package relay

import (
	"errors"
	"io"

	"cuminrock.example/fleet/intake"
)

const (
	// maxBufferedBytes bounds a response that is read completely before it is forwarded.
	maxBufferedBytes = 8 << 20
	// firstAnswerBlock and answerBlock are the sizes of the first and the largest block that
	// a response is read to, in bytes.
	firstAnswerBlock, answerBlock = 4 << 10, 64 << 10
	// answerBlockGrowth is the factor by which a block is larger than the one before.
	answerBlockGrowth = 4
)

var (
	// errResponseTooLarge means that a response exceeds maxBufferedBytes.
	errResponseTooLarge = errors.New("the response is too large")
	// errNoAnswerRoom means that there is no room for more of a response.
	errNoAnswerRoom = errors.New("there is no room for the whole response")
)

// wholeAnswer is the body of a response that is read before it is forwarded.
type wholeAnswer struct {
	hold intake.Hold
	// blocks are the bytes read, in all read; allocated are those of the blocks.
	blocks          [][]byte
	read, allocated int64
}

// readFrom reads the body to its end. After errNoAnswerRoom the rest can still be read.
func (w *wholeAnswer) readFrom(r io.Reader) error {
	for size := firstAnswerBlock; ; size = min(size*answerBlockGrowth, answerBlock) {
		if !w.hold.Grow(w.allocated + int64(size)) {
			return errNoAnswerRoom
		}
		w.allocated += int64(size)
		n, err := w.readBlock(r, size)
		w.read += int64(n)
		switch {
		case w.read > maxBufferedBytes:
			return errResponseTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// newAnswer returns the body of a response to be read.
func (r *Relay) newAnswer() *wholeAnswer {
	return &wholeAnswer{hold: intake.Hold{Room: r.AnswerRoom}}
}

// readBlock reads a block; it is shorter only if there is an error.
func (w *wholeAnswer) readBlock(r io.Reader, size int) (n int, err error) {
	block := make([]byte, size)
	for n < size && err == nil {
		var m int
		m, err = r.Read(block[n:])
		n += m
	}
	if n > 0 {
		w.blocks = append(w.blocks, block[:n])
	}
	return n, err
}

// release gives the room back.
func (w *wholeAnswer) release() {
	w.hold.Release()
	w.blocks, w.allocated = nil, 0
}
