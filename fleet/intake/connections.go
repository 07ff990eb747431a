package intake

import "time"

// Open accounts for a new connection. If it isn't granted, its caller may only be told so.
func (b *Budget[K]) Open(owner K, now time.Time) (*Account[K], Decision[K]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account[K]{Owner: owner, budget: b, progressAt: now}
	if b.open < b.limits.Connections {
		b.open++
		b.setIdle(a, waiting)
		return a, Decision[K]{Granted: true}
	}
	victim := b.leastActive(now)
	if victim == nil {
		a.extra = true
		b.refused++
		evicted := b.boundRefused()
		b.setIdle(a, leaving)
		return a, Decision[K]{Evicted: evicted}
	}
	b.evict(victim)
	victim.extra = true
	b.refused++
	evicted := append(b.boundRefused(), victim)
	b.setIdle(a, waiting) // in the victim's place
	return a, Decision[K]{Granted: true, Evicted: evicted}
}

// boundRefused returns the connections beyond the limit that have to be closed at once, as
// there are too many. The lock is held.
func (b *Budget[K]) boundRefused() []*Account[K] {
	if b.refused <= b.limits.Refused {
		return nil
	}
	for e := b.idle.Front(); e != nil; e = e.Next() {
		a := e.Value.(*Account[K])
		if a.extra {
			b.evict(a)
			return []*Account[K]{a}
		}
	}
	return nil
}

// leastActive returns the connection that goes for a new one; nil if all are active. One that
// has just come, or has just been used, is spared: its request may be on its way. Where
// most connections bring nothing, the one that has waited longest goes in any case. The
// lock is held.
func (b *Budget[K]) leastActive(now time.Time) *Account[K] {
	mostWait := b.idle.Len()-b.refused > b.limits.Connections/waitingDivisor
	for e := b.idle.Front(); e != nil; e = e.Next() {
		a := e.Value.(*Account[K])
		if !a.extra && (mostWait || now.Sub(a.progressAt) >= stalledAfter) {
			return a
		}
	}
	return b.mostStalled(now)
}

// EndRequest records that a request has ended and that the connection waits for the next.
func (a *Account[K]) EndRequest(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase == closed || a.phase == leaving {
		return
	}
	b.release(a)
	a.progressAt = now
	b.setIdle(a, waiting)
}

// Refuse records that the request has been refused, and that the connection is only open
// until its caller knows.
func (a *Account[K]) Refuse(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase == closed || a.phase == leaving && a.idle != nil {
		return
	}
	b.release(a)
	a.progressAt = now
	b.setIdle(a, leaving)
}

// Close records that the connection is closed.
func (a *Account[K]) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase == closed {
		return
	}
	b.release(a)
	b.unlist(a)
	a.phase = closed
	if a.extra {
		b.refused--
		return
	}
	b.open--
}
