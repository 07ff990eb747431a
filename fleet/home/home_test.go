package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func gateways(dataCentre string, n int) []Gateway {
	var list []Gateway
	for i := range n {
		name := fmt.Sprintf("%s-%d", dataCentre, i)
		list = append(list, Gateway{Name: name, DataCentre: dataCentre, PeerAddress: name + ":1"})
	}
	return list
}

// pickName returns the name of the home, or an empty string.
func pickName(t *Table, workspace, dataCentre string, exclude []string, now time.Time) string {
	call := t.Pick(workspace, dataCentre, exclude, now)
	if call == nil {
		return ""
	}
	call.Release()
	return call.Gateway().Name
}

func TestAllGatewaysPickTheSameHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(gateways("a", rapid.IntRange(1, 9).Draw(t, "a")), gateways("b", rapid.IntRange(1, 9).Draw(t, "b"))...)
		workspace := rapid.String().Draw(t, "workspace")
		homes := map[string]bool{}
		for _, self := range all {
			table := New(self)
			table.Update(all)
			homes[pickName(table, workspace, "a", nil, start)] = true
		}
		if len(homes) != 1 {
			t.Fatalf("the gateways pick %v", homes)
		}
	})
}

// A home that doesn't respond is replaced by the next one, alike at all
// gateways, and is tried again later by one call at a time.
func TestNextHomeWhileTheFirstDoesNotRespond(t *testing.T) {
	is := is.New(t)
	all := gateways("a", 5)
	table := New(all[0])
	table.Update(all)
	first := table.Pick("w", "a", nil, start)
	second := pickName(table, "w", "a", []string{first.Gateway().Name}, start)
	first.Failed(start)
	is.Equal(pickName(table, "w", "a", nil, start), second)
	later := start.Add(minSuspectTime)
	probe := table.Pick("w", "a", nil, later)
	is.Equal(probe.Gateway(), first.Gateway())
	is.Equal(pickName(table, "w", "a", nil, later), second) // one probe at a time
	probe.Succeeded()
	is.Equal(pickName(table, "w", "a", nil, later), first.Gateway().Name)
}

func TestOnlyItselfIsAHomeWithoutRegisteredGateways(t *testing.T) {
	is := is.New(t)
	table := New(gateways("a", 1)[0])
	is.Equal(pickName(table, "w", "a", nil, start), "a-0")
	is.Equal(table.Pick("w", "b", nil, start), nil)
	is.Equal(table.OtherDataCentres(), nil)
}

func TestUpdateKeepsSuspicionOfTheSameProcessAddress(t *testing.T) {
	is := is.New(t)
	all := gateways("a", 2)
	table := New(Gateway{Name: "b-0", DataCentre: "b"})
	table.Update(all)
	call := table.Pick("w", "a", nil, start)
	call.Failed(start)
	table.Update(all)
	is.True(pickName(table, "w", "a", nil, start) != call.Gateway().Name)
	moved := call.Gateway()
	moved.PeerAddress = "elsewhere:1"
	table.Update([]Gateway{moved})
	is.Equal(pickName(table, "w", "a", nil, start), moved.Name)
}

// Workspaces spread evenly over the gateways of a data centre.
func TestHomesAreSpread(t *testing.T) {
	is := is.New(t)
	const count, workspaces = 60, 6000
	table := New(gateways("a", 1)[0])
	table.Update(gateways("a", count))
	homes := map[string]int{}
	for i := range workspaces {
		homes[pickName(table, fmt.Sprintf("workspace-%d", i), "a", nil, start)]++
	}
	is.Equal(len(homes), count)
	for _, n := range homes {
		is.True(n > workspaces/count*6/10)
		is.True(n < workspaces/count*14/10)
	}
}

// A gateway that isn't registered yet isn't first, since the others don't know it.
func TestUnregisteredGatewayIsNotFirst(t *testing.T) {
	is := is.New(t)
	self := Gateway{Name: "self", DataCentre: "z"}
	table := New(self)
	alone, found := table.First("key", "z")
	is.True(found)
	is.Equal(alone, self)
	other := Gateway{Name: "other", DataCentre: "z"}
	for i := range 20 {
		key := string(rune('a' + i))
		table.Update([]Gateway{other})
		first, _ := table.First(key, "z")
		is.Equal(first, other)
		table.Update([]Gateway{other, self})
		registered, _ := table.First(key, "z")
		call := table.Pick(key, "z", nil, time.Now())
		is.Equal(registered, call.Gateway())
	}
	_, found = table.First("key", "elsewhere")
	is.True(!found)
}
