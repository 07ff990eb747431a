package catalogcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
)

// spec returns a configuration without findings.
func spec() catalog.Spec {
	return catalog.Spec{
		Version: 1,
		Routes: []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, Resumable: true, MaxAttempts: 2,
			Timeout: time.Second, LatencyGoal: time.Millisecond, Shares: []catalog.Share{{Service: "s", Weight: 1}}}},
		Services:   []*catalog.Service{{Name: "s"}},
		Workspaces: []*catalog.Workspace{{Name: "w", Keys: []string{"secret"}}},
	}
}

// Guards against a check that passes a faulty configuration, or names another entry.
func TestFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(spec())), 0)
	none := int64(0)
	for want, change := range map[string]func(s *catalog.Spec){
		`never matches: route "r2": has the host and prefix of route "r"`: func(s *catalog.Spec) {
			second := *s.Routes[0]
			second.Name = "r2"
			s.Routes = append(s.Routes, &second)
		},
		`error: route "r": its prefix "x/"`:                    func(s *catalog.Spec) { s.Routes[0].Prefix = "x/" },
		`error: route "r": sends to service "gone"`:            func(s *catalog.Spec) { s.Routes[0].Shares[0].Service = "gone" },
		`error: route "r": has no share`:                       func(s *catalog.Spec) { s.Routes[0].Shares[0].Weight = 0 },
		`never matches: service "t": is chosen by no route`:    func(s *catalog.Spec) { s.Services = append(s.Services, &catalog.Service{Name: "t"}) },
		`contradiction: route "r": its latency goal of 2s`:     func(s *catalog.Spec) { s.Routes[0].LatencyGoal = 2 * time.Second },
		`contradiction: route "r": may be resumed, but isn't`:  func(s *catalog.Spec) { s.Routes[0].Kind = catalog.Idempotent },
		`contradiction: route "r": may be resumed, but may be`: func(s *catalog.Spec) { s.Routes[0].MaxAttempts = 1 },
		`error: route "r": its priority 12`:                    func(s *catalog.Spec) { s.Routes[0].Priority = 12 },
		`never matches: workspace "w": has no key`:             func(s *catalog.Spec) { s.Workspaces[0].Keys = nil },
		`contradiction: workspace "w": has 0 prepaid tokens`:   func(s *catalog.Spec) { s.Workspaces[0].PrepaidTokens = &none },
		`error: workspace "v": has a key that workspace "w" has`: func(s *catalog.Spec) {
			s.Workspaces = append(s.Workspaces, &catalog.Workspace{Name: "v", Keys: []string{"secret"}})
		},
		`error: limits: a limit is negative`: func(s *catalog.Spec) { s.Limits.BodyBytes = -1 },
	} {
		s := spec()
		change(&s)
		var lines []string
		for _, f := range Check(s) {
			lines = append(lines, f.String())
		}
		text := strings.Join(lines, "\n")
		if !strings.Contains(text, want) {
			t.Errorf("want %s, found %q", want, text)
		}
		is.True(!strings.Contains(text, "secret")) // keys stay secret
	}
}

// Guards against a difference that is left out, and against keys in the output.
func TestDiff(t *testing.T) {
	is := is.New(t)
	is.Equal(Diff(spec(), spec()), []string{"version: both are 1; a version that isn't newer is ignored"})
	next := spec()
	next.Version = 2
	next.Routes[0].Timeout = 2 * time.Second
	next.Services = append(next.Services, &catalog.Service{Name: "t"})
	next.Workspaces[0].Keys = []string{"other", "third"}
	prepaid := int64(7)
	next.Workspaces[0].PrepaidTokens = &prepaid
	next.Limits.BodyBytes = 5
	is.Equal(Diff(spec(), next), []string{
		`route "r": Timeout from 1s to 2s`,
		`service "t": added`,
		`workspace "w": 2 keys added, 1 removed, PrepaidTokens from none to 7`,
		`limits: BodyBytes from 0 to 5`,
	})
	is.Equal(Diff(next, spec())[0], "version: 1 is older than 2, which is in force, and would be ignored")
}
