// Package location decides which data centres may get requests: not those that the
// operator has evacuated, and for requests with home regions only those in one of them.
//
// It reads no clock and calls nothing: a gateway passes in the rows that it has read,
// and passes the result on to its table of targets.
package location

import (
	"maps"
	"slices"
)

// DataCentres is a set of data centres that is never modified. The nil set is empty.
type DataCentres map[string]struct{}

// NewDataCentres returns a set.
func NewDataCentres(names ...string) DataCentres {
	set := make(DataCentres, len(names))
	for _, name := range names {
		set[name] = struct{}{}
	}
	return set
}

// Has reports whether the data centre is in the set.
func (d DataCentres) Has(dataCentre string) bool {
	_, found := d[dataCentre]
	return found
}

// Names returns the data centres in order.
func (d DataCentres) Names() []string { return slices.Sorted(maps.Keys(d)) }

// Row is the operator's row for one data centre.
type Row struct {
	DataCentre string
	// Deleted is set if the evacuation was withdrawn.
	Deleted bool
	// Unreadable is set if the row's value can't be parsed. Such a row neither begins nor
	// withdraws an evacuation.
	Unreadable bool
}

// Evacuations follows the operator's rows. It isn't safe for concurrent use.
type Evacuations struct {
	inForce DataCentres
}

// Change is what rows have changed.
type Change struct {
	// InForce are the data centres that are evacuated from now on.
	InForce DataCentres
	// Began and Withdrawn are those that weren't, or aren't any more, in order.
	Began, Withdrawn []string
}

// None reports whether nothing has changed.
func (c *Change) None() bool { return len(c.Began) == 0 && len(c.Withdrawn) == 0 }

// Replace takes all rows. An evacuation that no row names was withdrawn.
func (e *Evacuations) Replace(rows []Row) Change {
	next := make(DataCentres)
	for _, row := range rows {
		if !row.Deleted && (!row.Unreadable || e.inForce.Has(row.DataCentre)) {
			next[row.DataCentre] = struct{}{}
		}
	}
	return e.change(next)
}

// Update takes the rows that have changed, in the order of their changes.
func (e *Evacuations) Update(rows []Row) Change {
	next := make(DataCentres, len(e.inForce))
	maps.Copy(next, e.inForce)
	for _, row := range rows {
		switch {
		case row.Deleted:
			delete(next, row.DataCentre)
		case !row.Unreadable:
			next[row.DataCentre] = struct{}{}
		}
	}
	return e.change(next)
}

func (e *Evacuations) change(next DataCentres) Change {
	c := Change{InForce: next, Began: missingIn(e.inForce, next), Withdrawn: missingIn(next, e.inForce)}
	e.inForce = next
	return c
}

// missingIn returns the names in list that set lacks, in order.
func missingIn(set, list DataCentres) []string {
	var missing []string
	for _, name := range list.Names() {
		if !set.Has(name) {
			missing = append(missing, name)
		}
	}
	return missing
}
