package route

// Attach returns a place at a named target for work that it has already, such
// as a stream that is resumed. It counts as load but is never refused, also
// not at a target that is leaving. It is false for a target that the table
// doesn't know.
func (t *Table) Attach(name string) (Lease, bool) {
	e, ok := t.snap.Load().byName[name]
	if !ok {
		return Lease{}, false
	}
	e.state.own.Add(1)
	return Lease{entry: e, table: t}, true
}
