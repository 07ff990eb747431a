package intake

import (
	"errors"
	"io"
	"time"

	"cuminrock.example/fleet/intake"
	"cuminrock.example/router/relay"
)

const (
	// firstBlockBytes is the size of the first block of a body without a length, and
	// blockBytes that of the largest.
	firstBlockBytes, blockBytes = 4 << 10, 64 << 10
	// blockGrowth is the factor by which a block is larger than the one before.
	blockGrowth = 4
)

// Errors of ReadBody. After each but ErrTooLong, the same request may be sent again.
var (
	// ErrNoRoom means that there is no room for the body, or that others needed it.
	ErrNoRoom = errors.New("there is no room for the body")
	// ErrTooLong means that the body is longer than its limit.
	ErrTooLong = errors.New("the body is too long")
	// ErrTooSlow means that the body wasn't complete at its deadline.
	ErrTooSlow = errors.New("the body came too slowly")
)

// BodyLimits bounds a body.
type BodyLimits struct {
	// Length is the body's length; -1 if it is unknown. MaxBytes is the longest allowed.
	Length, MaxBytes int64
	// Urgent is set for the requests that are refused last.
	Urgent bool
	// OneBlock is set if the body is needed in one block. A body without a length is copied
	// for it, and asks for twice its bytes.
	OneBlock bool
	// Deadline is when the request must have been answered.
	Deadline time.Time
}

// ReadBody reads a request's body, whose head is complete. Its bytes are held until the
// server says that the connection is idle, or closes it.
func (c *Conn) ReadBody(r io.Reader, limits BodyLimits) (relay.Body, error) {
	if limits.Length > limits.MaxBytes {
		return nil, ErrTooLong
	}
	if !c.beginBody(limits) {
		c.set.record(c, causeBody)
		return nil, ErrNoRoom
	}
	body, err := c.readBlocks(r, limits)
	if err != nil {
		return nil, c.bodyError(err, limits)
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	if !c.account.Complete() {
		c.set.record(c, causeStalled)
		return nil, ErrNoRoom
	}
	return body, nil
}

// beginBody asks for the body's bytes.
func (c *Conn) beginBody(limits BodyLimits) bool {
	c.mu.Lock()
	c.stage = max(c.stage, inRequest)
	c.mu.Unlock()
	d := c.account.BeginBody(intake.Body{Length: limits.Length, Urgent: limits.Urgent, Deadline: limits.Deadline}, c.set.Now())
	c.set.evict(d.Evicted)
	if !d.Granted {
		return false
	}
	if limits.Length != 0 {
		_ = c.Conn.SetReadDeadline(limits.Deadline)
	}
	if limits.Length > intake.SmallBytes {
		c.growBuffer()
	}
	c.mu.Lock()
	evicted := c.evicted
	c.mu.Unlock()
	return !evicted // the deadline of an eviction may just have been overwritten
}

// bodyError returns the error of a body that wasn't read to its end.
func (c *Conn) bodyError(err error, limits BodyLimits) error {
	c.mu.Lock()
	evicted := c.evicted
	c.mu.Unlock()
	switch {
	case evicted:
		c.set.record(c, causeStalled)
		return ErrNoRoom
	case errors.Is(err, ErrNoRoom):
		c.set.record(c, causeBody)
	case !c.set.Now().Before(limits.Deadline):
		return errors.Join(ErrTooSlow, err)
	}
	return err
}

// readBlocks reads the body to its end.
func (c *Conn) readBlocks(r io.Reader, limits BodyLimits) (relay.Body, error) {
	switch {
	case limits.Length < 0:
		return c.readUnsized(r, limits)
	case limits.OneBlock:
		return readSized(r, limits.Length, max(limits.Length, 1))
	default:
		return readSized(r, limits.Length, blockBytes)
	}
}

// readUnsized reads a body without a length, block by block as it is granted.
func (c *Conn) readUnsized(r io.Reader, limits BodyLimits) (relay.Body, error) {
	var body relay.Body
	read := int64(0)
	for size := firstBlockBytes; ; size = min(size*blockGrowth, blockBytes) {
		if !c.growForBlock(size, read > intake.SmallBytes, limits.OneBlock) {
			return nil, ErrNoRoom
		}
		block, err := readBlock(r, size)
		body, read = append(body, block), read+int64(len(block))
		switch {
		case read > limits.MaxBytes:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF) && limits.OneBlock:
			return relay.Body{body.Bytes()}, nil
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// growForBlock asks for the bytes of a further block, twice if it will be copied, and once
// the body is large for those of a large receive buffer.
func (c *Conn) growForBlock(size int, large, copied bool) bool {
	cost := int64(size)
	large = large && !c.ClosesAfterResponse()
	if large {
		cost += intake.LargeBufferBytes
	}
	if copied {
		cost *= 2
	}
	if !c.growBody(cost) {
		return false
	}
	if large {
		c.growBuffer()
	}
	return true
}

// readSized reads a body with a length to blocks of a size.
func readSized(r io.Reader, length, blockSize int64) (relay.Body, error) {
	body := make(relay.Body, 0, (length+blockSize-1)/blockSize)
	for left := length; left > 0; {
		size := int(min(left, blockSize))
		block, err := readBlock(r, size)
		if len(block) < size {
			return nil, errors.Join(io.ErrUnexpectedEOF, err)
		}
		body = append(body, block)
		left -= int64(size)
	}
	return body, nil
}

// readBlock reads a block of a body. It is shorter only if there is an error, which is
// io.EOF only at the end of a complete body.
func readBlock(r io.Reader, size int) ([]byte, error) {
	block := make([]byte, size)
	for n := 0; n < size; {
		m, err := r.Read(block[n:])
		n += m
		if err != nil {
			return block[:n], err
		}
	}
	return block, nil
}

// growBody asks for more bytes of a body without a length.
func (c *Conn) growBody(bytes int64) bool {
	d := c.account.GrowBody(bytes, c.set.Now())
	c.set.evict(d.Evicted)
	return d.Granted
}
