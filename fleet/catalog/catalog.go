// Package catalog holds the configuration of forwarded traffic: which requests
// are allowed, which services they are routed to, and which limits apply.
//
// A Catalog is immutable once built. A reader loads one from an atomic pointer
// at the start of a request and uses it until the request ends.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/location"
)

// Kind is the type of a request. It determines whether the request may be
// executed more than once.
type Kind uint8

const (
	// AtMostOnce requests must not be executed twice.
	AtMostOnce Kind = iota
	// Idempotent requests may be executed any number of times.
	Idempotent
	// Stream requests get a stream of events as their response. They are
	// executed at most once unless the route allows resuming.
	Stream
)

// Catalog is one version of the configuration.
type Catalog struct {
	// Version increases with every change and never decreases.
	Version uint64
	// Limits apply to what callers send.
	Limits Limits
	// KeysRequired is set when requests on non-public routes need an API key.
	KeysRequired bool

	routes     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
}

// Limits are the limits on what callers may send. A zero field means no limit.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  uint64
}

// Route configures how requests for a host and path prefix are forwarded.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable means that a broken stream may continue on another target after
	// its last event.
	Resumable bool
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// LatencyGoal is the latency to aim for: until the whole response, or until the
	// first event of a stream.
	LatencyGoal time.Duration
	// EventGapGoal is the maximum gap to aim for between the events of a stream.
	EventGapGoal time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Homes are the regions whose targets may get the route's requests.
	Homes location.Homes
}

// Repeatable reports whether a request of the route may be executed more than
// once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceFor returns the service for the request with the given id, split by
// the weights of the route's shares. The same id always maps to the same
// service.
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
	// Engine is nil for services that do not generate tokens.
	Engine *Engine
	// ColdStart is nil for services whose targets take all requests from the start on.
	ColdStart *ColdStart
}

// ColdStart describes targets that take few requests for a while after their start.
type ColdStart struct {
	// Period is how long a target stays cold; 0 if that isn't known.
	Period time.Duration
	// PerSecond is the number of requests a second that a cold target takes.
	PerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// MaxTokensPerEvent is the maximum number of output tokens in one event.
	MaxTokensPerEvent int64
}

// Workspace is a customer with API keys and an optional prepaid budget.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority; nil means no override.
	Priority *int
	// PrepaidTokens is the total number of tokens that may be consumed; nil means no
	// limit.
	PrepaidTokens *int64
	// Homes are the regions whose targets may get the workspace's requests.
	Homes location.Homes
}

// Spec lists the contents of a Catalog.
type Spec struct {
	Version    uint64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
}

// New builds a catalog from spec. The catalog takes ownership of the routes,
// services and workspaces in it.
func New(spec Spec) *Catalog {
	c := &Catalog{
		Version:      spec.Version,
		Limits:       spec.Limits,
		KeysRequired: len(spec.Workspaces) > 0,
		routes:       make(map[string][]*Route),
		services:     make(map[string]*Service, len(spec.Services)),
		workspaces:   make(map[string]*Workspace, len(spec.Workspaces)),
		keys:         make(map[string]*Workspace),
	}
	for _, r := range spec.Routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, longerPrefixFirst)
	}
	for _, s := range spec.Services {
		c.services[s.Name] = s
	}
	for _, w := range spec.Workspaces {
		c.workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.keys[key] = w
		}
	}
	return c
}

func longerPrefixFirst(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) }

// Route returns the route of the host with the longest prefix of path, or nil
// if no route matches.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Workspace returns the workspace with the given name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// WorkspaceByKey returns the workspace that the API key belongs to, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// WorkspaceCount returns the number of workspaces.
func (c *Catalog) WorkspaceCount() int { return len(c.workspaces) }

// ServiceCount returns the number of services.
func (c *Catalog) ServiceCount() int { return len(c.services) }

// LongestColdPeriod returns the longest cold period of all services' targets; 0 if none of
// them are cold after their start.
func (c *Catalog) LongestColdPeriod() time.Duration {
	var longest time.Duration
	for _, s := range c.services {
		if s.ColdStart != nil {
			longest = max(longest, s.ColdStart.Period)
		}
	}
	return longest
}
