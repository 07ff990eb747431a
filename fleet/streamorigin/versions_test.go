package streamorigin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	lifetime = 20 * time.Second
	minuteMs = int64(60_000)
)

// record returns a record after versions were listed, each at the given minute.
func record(listed map[string]int64) VersionRecord {
	r := VersionRecord{Exists: true, LastMs: make(map[string]int64)}
	for version, minute := range listed {
		r.LastMs[version] = minute * minuteMs
	}
	return r
}

// A version counts while streams may begin at it, and as long as these may last.
func TestSoleVersion(t *testing.T) {
	is := is.New(t)
	r := record(map[string]int64{"v1": 0, "v2": 1})
	is.True(r.MayBegin("v1", 10*minuteMs-1))
	is.True(!r.MayBegin("v1", 10*minuteMs))
	_, known := r.SoleVersion(lifetime, 10*minuteMs+lifetime.Milliseconds())
	is.True(!known)
	version, known := r.SoleVersion(lifetime, 10*minuteMs+lifetime.Milliseconds()+1)
	is.True(known)
	is.Equal(version, "v2")
}

// A target whose entry has no version is of no known one.
func TestUnknownVersionIsNeverSole(t *testing.T) {
	is := is.New(t)
	r := record(map[string]int64{"": 0})
	is.True(r.MayBegin("", 1))
	_, known := r.SoleVersion(lifetime, 1)
	is.True(!known)
}

// Nothing is inferred from a record that is missing.
func TestMissingRecordKnowsNothing(t *testing.T) {
	is := is.New(t)
	var r VersionRecord
	_, known := r.SoleVersion(lifetime, 100*minuteMs)
	is.True(!known)
	is.True(!r.MayBegin("v1", 100*minuteMs))
	is.True(!r.Covers(lifetime, 100*minuteMs))
}

// Refreshes keep the time at which the record was created, and are rare.
func TestWithListed(t *testing.T) {
	is := is.New(t)
	var none VersionRecord
	first, changed := none.WithListed([]string{"v1"}, 5000)
	is.True(changed)
	is.Equal(first.CreatedMs, int64(5000))
	_, changed = first.WithListed([]string{"v1"}, 5000+minuteMs-1)
	is.True(!changed)
	next, changed := first.WithListed([]string{"v1", "v2"}, 5000+minuteMs)
	is.True(changed)
	is.Equal(next.CreatedMs, int64(5000))
	is.Equal(next.LastMs, map[string]int64{"v1": 5000 + minuteMs, "v2": 5000 + minuteMs})
	later, _ := next.WithListed([]string{"v2"}, 5000+2*24*60*minuteMs)
	is.Equal(len(later.LastMs), 1) // no stream can have v1 any more
}

// An old copy of the row, or none, takes nothing away.
func TestMergeOnlyAdds(t *testing.T) {
	is := is.New(t)
	r := record(map[string]int64{"v1": 5, "v2": 5})
	r.CreatedMs = 7
	r.Merge(VersionRecord{})
	old := record(map[string]int64{"v1": 2, "v3": 2})
	old.CreatedMs = 9
	r.Merge(old)
	is.Equal(r.LastMs, map[string]int64{"v1": 5 * minuteMs, "v2": 5 * minuteMs, "v3": 2 * minuteMs})
	is.Equal(r.CreatedMs, int64(7))
}
