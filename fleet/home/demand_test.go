package home

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDemandIsHeavyFromItsRateOn(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		perSecond float64
		heavy     bool
	}{{heavyRate / 2, false}, {heavyRate * 2, true}} {
		d := NewDemand()
		heavy := false
		now := start
		for range int(c.perSecond * 30) {
			now = now.Add(time.Duration(float64(time.Second) / c.perSecond))
			heavy = d.Record("w", now)
		}
		is.Equal(heavy, c.heavy)
		is.True(!d.Record("other", now))
		is.True(!d.Record("w", now.Add(time.Minute))) // past demand is forgotten
	}
}
