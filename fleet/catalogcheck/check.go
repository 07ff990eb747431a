package catalogcheck

import (
	"fmt"
	"strings"

	"cuminrock.example/fleet/catalog"
)

// maxPriority is the lowest priority that targets know; 0 is the most urgent.
const maxPriority = 9

// Check returns what is wrong with a configuration.
func Check(s catalog.Spec) []Finding {
	c := &checker{spec: s, services: make(map[string]bool), used: make(map[string]bool)}
	c.checkServices()
	c.checkRoutes()
	c.checkWorkspaces()
	c.checkLimits()
	return c.sorted()
}

// checker checks one configuration.
type checker struct {
	findings
	spec catalog.Spec
	// services has the names of all services, used those that a route may choose.
	services, used map[string]bool
}

func routeEntry(r *catalog.Route) string         { return fmt.Sprintf("route %q", r.Name) }
func serviceEntry(name string) string            { return fmt.Sprintf("service %q", name) }
func workspaceEntry(w *catalog.Workspace) string { return fmt.Sprintf("workspace %q", w.Name) }

// match is what selects a route.
type match struct{ host, prefix string }

func (c *checker) checkServices() {
	for _, s := range c.spec.Services {
		if c.services[s.Name] {
			c.add(Error, serviceEntry(s.Name), "is listed twice; the last one counts")
		}
		c.services[s.Name] = true
	}
}

func (c *checker) checkRoutes() {
	names, matches := make(map[string]bool), make(map[match]string)
	for _, r := range c.spec.Routes {
		if names[r.Name] {
			c.add(Error, routeEntry(r), "is listed twice")
		}
		names[r.Name] = true
		m := match{host: r.Host, prefix: r.Prefix}
		if first, taken := matches[m]; taken {
			c.add(Unreachable, routeEntry(r), "has the host and prefix of route %q, which comes first", first)
		} else {
			matches[m] = r.Name
		}
		c.checkMatch(r)
		c.checkShares(r)
		c.checkTimes(r)
		c.checkAttempts(r)
	}
	for _, s := range c.spec.Services {
		if !c.used[s.Name] {
			c.add(Unreachable, serviceEntry(s.Name), "is chosen by no route")
		}
	}
}

func (c *checker) checkMatch(r *catalog.Route) {
	if r.Host == "" {
		c.add(Unreachable, routeEntry(r), "has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, routeEntry(r), "its prefix %q doesn't begin and end with a slash", r.Prefix)
	}
}

func (c *checker) checkShares(r *catalog.Route) {
	var total uint64
	for _, share := range r.Shares {
		total += share.Weight
		if !c.services[share.Service] {
			c.add(Error, routeEntry(r), "sends to service %q, which isn't listed", share.Service)
		}
		if share.Weight == 0 {
			c.add(Unreachable, routeEntry(r), "its share of service %q has the weight 0", share.Service)
			continue
		}
		c.used[share.Service] = true
	}
	if total == 0 {
		c.add(Error, routeEntry(r), "has no share with a weight above 0")
	}
}

func (c *checker) checkTimes(r *catalog.Route) {
	if r.Timeout <= 0 {
		c.add(Error, routeEntry(r), "has no timeout")
		return
	}
	if r.LatencyGoal > r.Timeout {
		c.add(Contradiction, routeEntry(r), "its latency goal of %v is above its timeout of %v", r.LatencyGoal, r.Timeout)
	}
	if r.EventGapGoal > r.Timeout {
		c.add(Contradiction, routeEntry(r), "its event gap goal of %v is above its timeout of %v", r.EventGapGoal, r.Timeout)
	}
	if r.EventGapGoal > 0 && r.Kind != catalog.Stream {
		c.add(Contradiction, routeEntry(r), "has an event gap goal, but isn't a stream")
	}
}

func (c *checker) checkAttempts(r *catalog.Route) {
	if r.Priority < 0 || r.Priority > maxPriority {
		c.add(Error, routeEntry(r), "its priority %d isn't from 0 to %d", r.Priority, maxPriority)
	}
	if r.Resumable && r.Kind != catalog.Stream {
		c.add(Contradiction, routeEntry(r), "may be resumed, but isn't a stream")
	}
	if r.Resumable && r.MaxAttempts == 1 {
		c.add(Contradiction, routeEntry(r), "may be resumed, but may be sent to one target only")
	}
}

func (c *checker) checkWorkspaces() {
	names, owners := make(map[string]bool), make(map[string]string)
	for _, w := range c.spec.Workspaces {
		if names[w.Name] {
			c.add(Error, workspaceEntry(w), "is listed twice; the last one counts")
		}
		names[w.Name] = true
		if len(w.Keys) == 0 {
			c.add(Unreachable, workspaceEntry(w), "has no key")
		}
		for _, key := range w.Keys {
			if owner, taken := owners[key]; taken {
				c.add(Error, workspaceEntry(w), "has a key that workspace %q has, too", owner)
			}
			owners[key] = w.Name
		}
		if w.Priority != nil && (*w.Priority < 0 || *w.Priority > maxPriority) {
			c.add(Error, workspaceEntry(w), "its priority %d isn't from 0 to %d", *w.Priority, maxPriority)
		}
		if w.PrepaidTokens != nil && *w.PrepaidTokens <= 0 {
			c.add(Contradiction, workspaceEntry(w), "has %d prepaid tokens, so that no request with tokens passes", *w.PrepaidTokens)
		}
	}
}

func (c *checker) checkLimits() {
	l := c.spec.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.IdleTimeout < 0 {
		c.add(Error, "limits", "a limit is negative")
	}
}
