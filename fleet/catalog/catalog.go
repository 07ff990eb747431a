// Package catalog is the configuration of forwarded traffic: which requests
// are allowed, where they may go, and within which limits.
//
// A Catalog is immutable once built. Readers load one from an atomic pointer
// at the start of a request and use it to the request's end.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request may run.
type Kind uint8

const (
	// AtMostOnce requests must not run twice.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered by a series of events. They run at most
	// once unless the route allows resuming.
	Stream
)

// Catalog is one version of the configuration.
type Catalog struct {
	// Version rises with every change; never back.
	Version uint64
	// Limits bound what callers may send.
	Limits Limits
	// KeysRequired says that requests on routes that aren't public need a key.
	KeysRequired bool

	routes     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
}

// Limits bound what callers may send. A zero field sets no limit.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Share is a service's part of a route's traffic, by weight.
type Share struct {
	Service string
	Weight  uint64
}

// Route says what is done with the requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after their last event.
	Resumable bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// LatencyGoal is the latency to reach: to the whole answer, or to the first event.
	LatencyGoal time.Duration
	// EventGapGoal is the longest pause between the events of a stream.
	EventGapGoal time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceFor returns the service that takes the request with the given id, by
// the shares of the route; the same id always goes to the same service.
func (r *Route) ServiceFor(id string) string {
	var total uint64
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	point := xxhash.Sum64String(id) % total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// Engine is nil for services that generate no tokens.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// MaxTokensPerEvent is the most output tokens that one event holds.
	MaxTokensPerEvent int64
}

// Workspace is a customer with keys and possibly a prepaid budget.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's; nil where the workspace has none.
	Priority *int
	// PrepaidTokens is the total of tokens that may be consumed; nil means no limit.
	PrepaidTokens *int64
}

// Spec is what a Catalog is built of.
type Spec struct {
	Version    uint64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
}

// New builds the catalog of the parts, which it owns afterwards.
func New(p Spec) *Catalog {
	c := &Catalog{
		Version:      p.Version,
		Limits:       p.Limits,
		KeysRequired: len(p.Workspaces) > 0,
		routes:       make(map[string][]*Route),
		services:     make(map[string]*Service, len(p.Services)),
		workspaces:   make(map[string]*Workspace, len(p.Workspaces)),
		keys:         make(map[string]*Workspace),
	}
	for _, r := range p.Routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, longerPrefixFirst)
	}
	for _, s := range p.Services {
		c.services[s.Name] = s
	}
	for _, w := range p.Workspaces {
		c.workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.keys[key] = w
		}
	}
	return c
}

func longerPrefixFirst(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) }

// Route returns the route of the host whose prefix is the longest that begins
// the path; nil where there is none.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Workspace returns a workspace by name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// WorkspaceByKey returns the workspace that holds the key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// WorkspaceCount returns the number of workspaces.
func (c *Catalog) WorkspaceCount() int { return len(c.workspaces) }

// ServiceCount returns the number of services.
func (c *Catalog) ServiceCount() int { return len(c.services) }
