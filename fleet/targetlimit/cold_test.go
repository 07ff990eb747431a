package targetlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
)

var coldRule = ColdRule{Bound: 19.85, Period: 20 * time.Second}

// entryOf returns the entry of a target that stays cold for a time.
func entryOf(id string, startTimeMs int64, coldFor time.Duration) placement.Target {
	return placement.Target{ID: id, StartTimeMs: startTimeMs, Service: "s", Address: "a", DataCentre: "z", ColdFor: coldFor}
}

func isCold(b *ColdBook, t placement.Target, at time.Time) bool {
	_, cold := b.Cold(t, coldRule, at)
	return cold
}

// The targets that are listed when a gateway starts are as cold as their entries say, and
// one that isn't listed counts as cold.
func TestFirstListTellsWhichTargetsAreCold(t *testing.T) {
	is := is.New(t)
	b := NewColdBook()
	warm, cold := entryOf("warm", 1, 0), entryOf("cold", 1, 5*time.Second)
	is.True(isCold(b, warm, start))
	is.Equal(len(b.Replace([]placement.Target{warm, cold}, start)), 1)
	is.True(!isCold(b, warm, start))
	is.True(isCold(b, cold, start.Add(5*time.Second)))
	is.True(!isCold(b, cold, start.Add(5*time.Second+coldMargin)))
	is.True(isCold(b, entryOf("unlisted", 1, 0), start))
}

// A target that appears, comes back, or has another process or address counts as cold until
// a later entry says otherwise, for the configured period at most.
func TestTargetInDoubtCountsAsCold(t *testing.T) {
	known, later := entryOf("t", 1, 0), start.Add(time.Minute)
	moved := known
	moved.Address = "b"
	for name, change := range map[string]func(b *ColdBook) placement.Target{
		"new":       func(*ColdBook) placement.Target { return entryOf("new", 1, 0) },
		"restarted": func(*ColdBook) placement.Target { return entryOf("t", 2, 0) },
		"moved":     func(*ColdBook) placement.Target { return moved },
		"back":      func(b *ColdBook) placement.Target { b.Delete("t"); return known },
	} {
		for _, list := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in a list: %v", name, list), func(t *testing.T) {
				is := is.New(t)
				b := NewColdBook()
				b.Replace([]placement.Target{known}, start)
				target := change(b)
				if list {
					b.Replace([]placement.Target{target}, later)
				} else {
					b.Write(target, later)
				}
				is.True(isCold(b, target, later))
				is.True(!isCold(b, target, later.Add(coldRule.Period)))
				b.Write(target, later.Add(time.Second))
				is.True(!isCold(b, target, later.Add(time.Second)))
			})
		}
	}
}

// The entry that a list repeats doesn't end a doubt, since it may be the one that is known.
func TestListDoesntEndADoubt(t *testing.T) {
	is := is.New(t)
	b := NewColdBook()
	b.Replace(nil, start)
	target := entryOf("t", 1, 0)
	b.Write(target, start)
	b.Replace([]placement.Target{target}, start.Add(5*time.Second))
	is.True(isCold(b, target, start.Add(5*time.Second)))
}

// A target that turns cold again is found by its entry or an answer, and an entry that was
// written before the answer doesn't end it.
func TestTargetTurnsColdAgain(t *testing.T) {
	is := is.New(t)
	b := NewColdBook()
	target := entryOf("t", 1, 0)
	b.Replace([]placement.Target{target}, start)
	changes := b.Answer(target, 10*time.Second, start, start.Add(time.Second))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Cause, ColdByAnswer)
	b.Write(target, start.Add(2*time.Second))
	is.True(isCold(b, target, start.Add(2*time.Second)))
	b.Answer(target, 0, start, start.Add(2*time.Second)) // of an earlier request
	is.True(isCold(b, target, start.Add(2*time.Second)))
	b.Answer(target, 0, start.Add(2*time.Second), start.Add(3*time.Second))
	is.True(!isCold(b, target, start.Add(3*time.Second)))
	changes = b.Write(entryOf("t", 1, 8*time.Second), start.Add(4*time.Second))
	is.Equal(changes[0].Cause, ColdByEntry)
	since, cold := b.Cold(target, coldRule, start.Add(5*time.Second))
	is.True(cold)
	is.Equal(since, start.Add(4*time.Second))
}

// What a gateway hears of another isn't passed on as news of its own, which would keep
// the period alive for ever.
func TestHeardColdPeriodsKeepTheirAge(t *testing.T) {
	is := is.New(t)
	target := entryOf("t", 1, 0)
	a, b := NewColdBook(), NewColdBook()
	a.Replace([]placement.Target{target}, start)
	b.Replace([]placement.Target{target}, start)
	a.Answer(target, 10*time.Second, start, start)
	now := start.Add(time.Second)
	left, age, ok := a.Heard(target.Process(), now)
	is.True(ok)
	is.Equal(len(b.LearnHeard(target.Process(), left, age, now)), 1)
	is.True(isCold(b, target, now))
	left, age, _ = b.Heard(target.Process(), now)
	is.Equal(len(a.LearnHeard(target.Process(), left, age, now)), 0)
	is.True(!isCold(a, target, start.Add(10*time.Second+coldMargin)))
	is.True(!isCold(b, target, start.Add(10*time.Second+coldMargin)))
}

// A target whose process has ended may have been replaced, and its entry not yet.
func TestTargetWhoseProcessEndedCountsAsCold(t *testing.T) {
	is := is.New(t)
	b := NewColdBook()
	target := entryOf("t", 1, 0)
	b.Replace([]placement.Target{target}, start)
	is.Equal(len(b.End(target.Process(), start)), 1)
	b.Write(target, start.Add(entryDelay-1)) // it may have been written before the end
	is.True(isCold(b, target, start.Add(entryDelay)))
	b.Write(target, start.Add(entryDelay))
	is.True(!isCold(b, target, start.Add(entryDelay)))
}

// A data centre's targets that are marked count as cold for the given time, or until an
// entry that was written later says otherwise.
func TestMarkedTargetsCountAsCold(t *testing.T) {
	is := is.New(t)
	b := NewColdBook()
	target, other := entryOf("t", 1, 0), entryOf("o", 1, 0)
	other.DataCentre = "y"
	b.Replace([]placement.Target{target, other}, start)
	is.Equal(len(b.Mark("z", 3*time.Second, start)), 1)
	is.True(!isCold(b, other, start))
	b.Write(target, start.Add(time.Second))
	is.True(isCold(b, target, start.Add(2*time.Second)))
	is.True(!isCold(b, target, start.Add(3*time.Second)))
	b.Mark("z", time.Minute, start.Add(10*time.Second))
	b.Write(target, start.Add(10*time.Second+entryDelay))
	is.True(!isCold(b, target, start.Add(10*time.Second+entryDelay)))
}

// The issuers that can be at work at a time stay within the bound together, whatever the
// bound is: one main and three fallback issuers, two main issuers, or one whose permits of
// two spans are used together.
func TestSharesOfIssuersStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	for bound := 0.25; bound < 200; bound += 0.25 {
		main, span := coldShare(bound, MainIssuer)
		fallback, _ := coldShare(bound, FallbackIssuer)
		is.True(span >= permitSpan)
		is.True(float64(main+issuerCount*fallback) <= max(bound, 1))
		is.True(bound < 2 || 2*main <= int(bound))
	}
}

// An issuer issues its share in any span, and half of it in the first second and in the
// second after the target turned cold.
func TestColdIssuerKeepsItsShare(t *testing.T) {
	is := is.New(t)
	i := NewColdIssuer()
	turnedCold := start.Add(30 * time.Second)
	var issued []time.Time
	cautious := make(map[time.Time]int)
	for ms := range 60_000 {
		now, since := start.Add(time.Duration(ms)*time.Millisecond), start
		if !now.Before(turnedCold) {
			since = turnedCold
		}
		if i.Acquire(first, coldRule.Bound, MainIssuer, since, now).Granted {
			issued = append(issued, now)
			if now.Sub(since) < cautiousFor {
				cautious[since]++
			}
		}
	}
	most, span := coldShare(coldRule.Bound, MainIssuer)
	is.True(cautious[start] <= most/2 && cautious[turnedCold] <= most/2)
	for k := range len(issued) - most {
		is.True(issued[k+most].Sub(issued[k]) >= span)
	}
	is.True(len(issued) > 300)
	is.True(!i.Acquire(second, coldRule.Bound, NoIssuer, start, turnedCold).Granted)
}

// Gateways agree on one main issuer and two others, and a gateway takes the main issuer's
// place only when all know of the change.
func TestRankingHasOneMainIssuer(t *testing.T) {
	is := is.New(t)
	var all []home.Gateway
	for i := range 9 {
		all = append(all, home.Gateway{Name: fmt.Sprintf("g%d", i), DataCentre: fmt.Sprintf("z%d", i%3)})
	}
	target := placement.Target{ID: "t", DataCentre: "z1"}
	rankings := make(map[string]*Ranking)
	roles := func(now time.Time) map[Role][]string {
		found := make(map[Role][]string)
		for name, r := range rankings {
			role := r.Role(target, now)
			found[role] = append(found[role], name)
		}
		return found
	}
	update := func(list []home.Gateway, now time.Time) {
		for _, r := range rankings {
			r.Update(list, now)
		}
	}
	for _, g := range all {
		rankings[g.Name] = NewRanking(g.Name)
	}
	is.Equal(len(roles(start)[NoIssuer]), 9) // the gateways aren't known yet
	update(all, start)
	before := roles(start)
	is.Equal(len(before[MainIssuer]), 1)
	is.Equal(len(before[FallbackIssuer]), issuerCount-1)
	leaving := before[MainIssuer][0]
	var rest []home.Gateway
	for _, g := range all {
		if g.Name != leaving {
			rest = append(rest, g)
		}
	}
	update(rest, start.Add(time.Minute))
	is.Equal(len(roles(start.Add(time.Minute))[MainIssuer]), 0)
	is.Equal(len(roles(start.Add(time.Minute + rankingSettleTime))[MainIssuer]), 1)
	update(all, start.Add(2*time.Minute))
	is.Equal(len(roles(start.Add(2 * time.Minute))[MainIssuer]), 0)
	is.Equal(roles(start.Add(2*time.Minute + rankingSettleTime))[MainIssuer], []string{leaving})
}
