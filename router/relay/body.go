package relay

import "bytes"

// Body is the bytes of a body, in blocks, which aren't changed.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}
	return n
}

// Bytes returns the bytes in one piece; a body of several blocks is copied.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}
