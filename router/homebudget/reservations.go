package homebudget

import (
	"sync"
	"time"

	"cuminrock.example/router/prepaid"
)

const (
	// tombstoneTime is how long a settlement is remembered whose reservation
	// hasn't arrived.
	tombstoneTime = 10 * time.Second
	// expiryInterval is the least time between two searches for reservations
	// whose lifetime has ended.
	expiryInterval = time.Second
)

// reservationKey identifies a reservation of another gateway.
type reservationKey struct {
	run    string
	number uint64
}

// reservationTable holds the reservations of other gateways at this one. It is
// safe for concurrent use.
type reservationTable struct {
	mu        sync.Mutex
	entries   map[reservationKey]*reservationEntry
	expiredAt time.Time
}

// reservationEntry is a reservation, or a settlement that came before it.
type reservationEntry struct {
	// reservation is nil until the tokens are reserved.
	reservation prepaid.Reservation
	tokens      int64
	// settled is set if the reservation was settled before the tokens were
	// reserved; used is then what was consumed.
	settled   bool
	used      int64
	expiresAt time.Time
}

func newReservationTable() reservationTable {
	return reservationTable{entries: make(map[reservationKey]*reservationEntry)}
}

// begin adds a reservation for which tokens are about to be reserved. It returns
// false if the reservation is known already, or was settled.
func (t *reservationTable) begin(key reservationKey, tokens int64, expiresAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[key] != nil {
		return false
	}
	t.entries[key] = &reservationEntry{tokens: tokens, expiresAt: expiresAt}
	return true
}

// abandon removes a reservation for which no tokens were reserved.
func (t *reservationTable) abandon(key reservationKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, key)
}

// complete adds the reserved tokens. It ends them at once if the reservation was
// settled meanwhile.
func (t *reservationTable) complete(key reservationKey, r prepaid.Reservation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	if entry.settled {
		delete(t.entries, key)
		r.Settle(entry.used)
		return
	}
	entry.reservation = r
}

// settle ends a reservation, of which used tokens were consumed.
func (t *reservationTable) settle(key reservationKey, used int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[key]
	switch {
	case entry == nil:
		t.entries[key] = &reservationEntry{settled: true, used: used, expiresAt: now.Add(tombstoneTime)}
	case entry.reservation == nil:
		entry.settled, entry.used = true, used
	default:
		delete(t.entries, key)
		entry.reservation.Settle(used)
	}
}

// expire counts reservations whose lifetime has ended as used, and forgets old
// settlements. It returns the number of reservations.
func (t *reservationTable) expire(now time.Time) (expired int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiredAt) < expiryInterval {
		return 0
	}
	t.expiredAt = now
	for key, entry := range t.entries {
		pending := entry.reservation == nil && !entry.settled
		if pending || now.Before(entry.expiresAt) {
			continue
		}
		delete(t.entries, key)
		if entry.reservation != nil {
			entry.reservation.Settle(entry.tokens)
			expired++
		}
	}
	return expired
}

// outstanding returns the number of reservations that aren't settled.
func (t *reservationTable) outstanding() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, entry := range t.entries {
		if !entry.settled {
			n++
		}
	}
	return n
}
