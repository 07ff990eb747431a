package gateway

import (
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/placement"
)

func targetsOf(service string, ids ...string) map[string]placement.Target {
	known := make(map[string]placement.Target)
	for _, id := range ids {
		known[id] = placement.Target{ID: id, Service: service}
	}
	return known
}

func TestTargetsLapseOnlyIfMostOfAServiceVanished(t *testing.T) {
	is := is.New(t)
	before := targetsOf("s", "a", "b", "c", "d")
	is.Equal(len(findLapsed(before, targetsOf("s", "a", "b", "c"))), 0) // one target is gone
	is.Equal(len(findLapsed(before, targetsOf("s", "a"))), 3)
	is.Equal(len(findLapsed(before, nil)), 4)
	is.Equal(len(findLapsed(nil, before)), 0)
}

func TestLeavingTargetsDoNotLapse(t *testing.T) {
	is := is.New(t)
	before := targetsOf("s", "a", "b")
	leaving := before["a"]
	leaving.Leaving = true
	before["a"] = leaving
	missing := findLapsed(before, nil)
	is.Equal(len(missing), 1)
	is.Equal(missing["b"].ID, "b")
}
