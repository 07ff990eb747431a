package egress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: the callers of a large workspace all come to one small VM with a link of
// 20 Mbit/s. Work is admitted up to what the link carries, and its delay stays
// bounded.
func TestAdmittedWorkFitsTheLink(t *testing.T) {
	is := is.New(t)
	const linkMbps, requestBytes, perSecond = 20, 12_000, 400
	m := NewMeter(linkMbps)
	now := time.Unix(0, 0)
	admitted, longest := 0, time.Duration(0)
	const seconds = 10
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		if !m.Overloaded(false, now) {
			m.Add(requestBytes, now)
			admitted++
		}
		longest = max(longest, m.delay(now))
	}
	carried := linkMbps * bytesPerSecondPerMbps * seconds / requestBytes
	is.True(float64(admitted) <= carried)
	is.True(float64(admitted) >= 0.85*carried)
	is.True(longest < 2*overloadedFrom)
	is.True(!m.Overloaded(true, now)) // urgent work is refused last
	is.True(!m.Overloaded(false, now.Add(time.Second)))
}

func TestLinkWithoutLimitIsNeverOverloaded(t *testing.T) {
	is := is.New(t)
	m := NewMeter(0)
	now := time.Unix(0, 0)
	m.Add(1<<40, now)
	is.True(!m.Overloaded(false, now))
}
