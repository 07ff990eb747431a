package intake

import "time"

// GrowHead asks for bytes for a head, beyond those that are paid for with the connection.
func (a *Account[K]) GrowHead(bytes int64, now time.Time) Decision[K] {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase >= serving {
		return Decision[K]{}
	}
	d := b.grant(a, bytes, b.ceiling(a, true), now)
	if !d.Granted {
		return d
	}
	a.head += bytes
	if a.phase == waiting {
		a.began, a.deadline = now, now
		a.mark(0, now)
		b.setReceiving(a)
	}
	return d
}

// Body describes a body that a caller is about to send.
type Body struct {
	// Length is the number of bytes; -1 if it is unknown.
	Length int64
	// Urgent is set for the requests that are refused last.
	Urgent bool
	// Deadline is when the request must have been answered.
	Deadline time.Time
}

// BeginBody asks for the bytes of a body, whose head is complete. One without a length gets
// nothing yet.
func (a *Account[K]) BeginBody(body Body, now time.Time) Decision[K] {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase >= serving {
		return Decision[K]{}
	}
	a.sized, a.urgent = body.Length >= 0, body.Urgent
	granted, small := max(body.Length, 0), body.Length <= SmallBytes
	if !small {
		granted += LargeBufferBytes
	}
	d := b.grant(a, granted, b.ceiling(a, small), now)
	if !d.Granted {
		return d
	}
	a.body = granted
	a.began, a.deadline, a.progressAt = now, body.Deadline, now
	a.mark(max(body.Length, 0), now)
	b.setReceiving(a)
	return d
}

// GrowBody asks for more bytes of a body without a length. Where they don't suffice, the
// bodies without a length that began later go.
func (a *Account[K]) GrowBody(bytes int64, now time.Time) Decision[K] {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != receiving {
		return Decision[K]{}
	}
	ceiling := b.ceiling(a, a.body+bytes <= SmallBytes)
	d := b.grant(a, bytes, ceiling, now)
	for !d.Granted {
		victim := b.lastBegun()
		if victim == nil || !victim.began.After(a.began) {
			return d
		}
		b.evict(victim)
		d.Evicted = append(d.Evicted, victim)
		d.Granted = b.take(bytes, ceiling)
	}
	a.body += bytes
	a.mark(a.missing-a.sinceMark+bytes, now)
	return d
}

// lastBegun returns the body without a length that began last. The lock is held.
func (b *Budget[K]) lastBegun() *Account[K] {
	var found *Account[K]
	for a := range b.receiving {
		if !a.sized && a.body > SmallBytes && (found == nil || a.began.After(found.began)) {
			found = a
		}
	}
	return found
}

// ceiling returns the bytes of contents up to which a request gets more. One that is alone
// leaves only to small requests what it needn't leave to others. The lock is held.
func (b *Budget[K]) ceiling(a *Account[K], small bool) int64 {
	return b.limits.ceiling(small || b.contents == a.held(), a.urgent)
}

// take adds bytes to the contents if they stay below a ceiling. The lock is held.
func (b *Budget[K]) take(bytes, ceiling int64) bool {
	if bytes > 0 && b.lacking(bytes, ceiling) > 0 {
		return false
	}
	b.contents += bytes
	return true
}

// lacking returns how many bytes there are too few of. The lock is held.
func (b *Budget[K]) lacking(bytes, ceiling int64) int64 {
	return b.contents + b.answers() + bytes - ceiling
}

// grant does the same once those requests that make no progress have gone as far as it
// takes. If that doesn't suffice, nobody goes. The lock is held.
func (b *Budget[K]) grant(asking *Account[K], bytes, ceiling int64, now time.Time) Decision[K] {
	if b.take(bytes, ceiling) {
		return Decision[K]{Granted: true}
	}
	evicted := b.stalledWith(asking, b.lacking(bytes, ceiling), now)
	for _, a := range evicted {
		b.evict(a)
	}
	return Decision[K]{Granted: b.take(bytes, ceiling), Evicted: evicted}
}

// held returns the bytes of contents. The lock is held.
func (a *Account[K]) held() int64 { return a.head + a.body }

// TakeAnswer takes bytes for a response that is read before it is forwarded. Responses
// leave a share to requests.
func (b *Budget[K]) TakeAnswer(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole+bytes > b.limits.Contents*answersCeiling/ceilingScale {
		return false
	}
	if !b.take(bytes, b.limits.ceiling(false, false)) {
		return false
	}
	b.whole += bytes
	return true
}

// ReturnAnswer gives bytes of TakeAnswer back.
func (b *Budget[K]) ReturnAnswer(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.whole -= bytes
	b.contents -= bytes
}

// Complete records that the whole request has arrived. It reports false if the request has
// to go.
func (a *Account[K]) Complete() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != receiving && a.phase != waiting {
		return false
	}
	b.unlist(a)
	a.phase = serving
	return true
}
