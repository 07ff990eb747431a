package responseconn

import (
	"errors"
	"io"
	"slices"

	"cuminrock.example/fleet/intake"
)

// Errors of ReadBody.
var (
	// ErrBodyTooLong means that a body exceeds its limit.
	ErrBodyTooLong = errors.New("the response's body is too long")
	// ErrNoBodyRoom means that there is no room for a body, besides those that are being read.
	ErrNoBodyRoom = errors.New("there is no room for the response's body")
)

// firstBodyBytes is the size of the slice that a body is read to at first.
const firstBodyBytes = 4 << 10

// ReadBody reads a body of at most limit bytes to its end. What it occupies is taken into the
// hold, which the caller releases.
func ReadBody(r io.Reader, limit int64, hold *intake.Hold) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), firstBodyBytes)
			// The old slice is held until it is copied.
			if !hold.Grow(int64(size + len(body))) {
				return nil, ErrNoBodyRoom
			}
			body = slices.Grow(body, size-len(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrBodyTooLong
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
