package homebudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(0, 0)

// countingReservation counts how often it is settled, and for how many tokens.
type countingReservation struct {
	settled int
	used    int64
}

func (r *countingReservation) Settle(used int64) {
	r.settled++
	r.used = used
}

// Messages may be lost, repeated and reordered. A reservation is settled at most
// once, with what its gateway used, or in full at the end of its lifetime, and
// never while a request may still use it.
func TestReservationsAreSettledOnceWhateverArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tokens, lifetime = int64(100), 30 * time.Second
		table := newReservationTable()
		now := testStart
		reservations := map[uint64]*countingReservation{}
		reservedAt := map[uint64]time.Time{}
		reported := map[uint64]int64{}
		key := func(number uint64) reservationKey { return reservationKey{run: "r", number: number} }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				number := rapid.Uint64Range(1, 20).Draw(t, "number")
				if reservations[number] != nil {
					return // a gateway never uses a number again
				}
				if !table.begin(key(number), tokens, now.Add(lifetime)) {
					return
				}
				reservations[number] = &countingReservation{}
				reservedAt[number] = now
				table.complete(key(number), reservations[number])
			},
			"settle": func(t *rapid.T) {
				number := rapid.Uint64Range(1, 20).Draw(t, "number")
				if _, repeated := reported[number]; !repeated {
					reported[number] = rapid.Int64Range(0, tokens).Draw(t, "used")
				}
				table.settle(key(number), reported[number], now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				table.expire(now)
			},
			"": func(t *rapid.T) {
				for number, r := range reservations {
					used, isReported := reported[number]
					expired := now.Sub(reservedAt[number]) >= lifetime
					switch {
					case r.settled > 1:
						t.Fatalf("reservation %d was settled %d times", number, r.settled)
					case r.settled == 1 && !isReported && !expired:
						t.Fatalf("reservation %d was settled while in use", number)
					case r.settled == 1 && r.used != tokens && r.used != used:
						t.Fatalf("reservation %d was settled with %d instead of %d tokens", number, r.used, used)
					}
				}
			},
		})
	})
}

func TestSettlementBeforeItsReservationIsRemembered(t *testing.T) {
	is := is.New(t)
	table := newReservationTable()
	key := reservationKey{run: "r", number: 1}
	table.settle(key, 0, testStart)
	is.True(!table.begin(key, 100, testStart.Add(time.Minute)))
	is.Equal(table.outstanding(), 0)
}

func TestSettlementWhileTheHomeWaitsForTokens(t *testing.T) {
	is := is.New(t)
	table := newReservationTable()
	key := reservationKey{run: "r", number: 1}
	is.True(table.begin(key, 100, testStart.Add(time.Minute)))
	table.settle(key, 0, testStart)
	reservation := &countingReservation{}
	table.complete(key, reservation)
	is.Equal(reservation.settled, 1)
	is.Equal(reservation.used, int64(0))
	is.Equal(table.outstanding(), 0)
}

func TestUnsettledReservationCountsAsUsedAtTheEndOfItsLifetime(t *testing.T) {
	is := is.New(t)
	table := newReservationTable()
	key := reservationKey{run: "r", number: 1}
	is.True(table.begin(key, 100, testStart.Add(time.Minute)))
	reservation := &countingReservation{}
	table.complete(key, reservation)
	is.Equal(table.expire(testStart.Add(time.Minute-time.Millisecond)), 0)
	is.Equal(table.expire(testStart.Add(time.Minute+expiryInterval)), 1)
	is.Equal(reservation.used, int64(100))
}
