package placement

import "time"

// recordVersions records which versions the listed targets have, and forgets those that
// weren't listed for pastRetention.
func (t *Table) recordVersions(targets []Target, now time.Time) {
	for _, listed := range t.versions {
		for version, at := range listed {
			if now.Sub(at) > pastRetention {
				delete(listed, version)
			}
		}
	}
	for _, target := range targets {
		if t.versions[target.Service] == nil {
			t.versions[target.Service] = make(map[string]time.Time)
		}
		t.versions[target.Service][target.Version] = now
	}
}

// Replaced reports whether another process is listed under the id of a target that was
// picked.
func (t *Table) Replaced(target Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[target.ID]
	return s != nil && s.target.Process() != target.Process()
}

// SoleVersion returns the only version that targets of the service had in the last
// pastRetention; false if there were several, or one is unknown.
func (t *Table) SoleVersion(service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.versions[service]) != 1 {
		return "", false
	}
	for version := range t.versions[service] {
		return version, version != ""
	}
	return "", false
}
