package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/placement"
)

// Guards against a cold target's answer that loses its cold period, or one that names none
// and becomes "not cold", on the way through another gateway.
func TestAnnouncementsArePassedOnWhole(t *testing.T) {
	is := is.New(t)
	for _, a := range []placement.Announcement{
		{}, {ColdKnown: true}, {ColdFor: time.Second, ColdKnown: true},
		{Leaving: true, Quiet: time.Second, Limit: 2, MaxRefusals: 3},
	} {
		is.Equal(decodeAnnouncement(encodeAnnouncement(a)), a)
	}
	is.Equal(decodeAnnouncement(nil), placement.Announcement{})
}
