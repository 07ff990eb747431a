package route

// Attach returns a slot at a named target for work that the target already has,
// such as a resumed stream. The slot counts as load but is never refused, even
// if the target is leaving. It returns false for an unknown target.
func (t *Table) Attach(name string) (Lease, bool) {
	e, ok := t.snapshot.Load().byName[name]
	if !ok {
		return Lease{}, false
	}
	e.state.inFlight.Add(1)
	return Lease{entry: e, table: t}, true
}
