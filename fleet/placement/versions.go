package placement

// Replaced reports whether another process is listed under the id of a target that was
// picked.
func (t *Table) Replaced(target Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[target.ID]
	return s != nil && s.target.Process() != target.Process()
}
