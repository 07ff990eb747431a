package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"unicode"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// maxNameBytes bounds the names of records, so that rows and messages stay
// small.
const maxNameBytes = 128

// keySumBytes is the length of a SHA-256 sum.
const keySumBytes = 32

// Fault is one thing that is wrong with a record.
type Fault struct {
	// Key names the record.
	Key *pb.RecordKey
	// Field is the field at fault, as the schema names it.
	Field string
	// Item names the entry of a list at fault: the service of shares or the
	// path of a call. Empty for other fields.
	Item string
	// Reason says what is wrong with it.
	Reason string
}

// String returns the fault as a sentence without a stop.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", FormatKey(f.Key), f.Field, f.Reason)
}

// Check returns every fault of a whole configuration, in the order of the
// records.
func Check(records []*pb.Record) []Fault {
	c := newChecker(records)
	for _, r := range records {
		c.record(r)
	}
	return c.faults
}

// checker holds what records may refer to.
type checker struct {
	seen       map[recordID]bool
	workspaces map[string]bool
	budgets    map[string]*pb.Budget
	services   map[string]*pb.Service
	providers  map[serviceProvider]supply
	// divided counts the workspaces with shares of their own for a service.
	divided   map[string]int
	keyOwner  map[string]string
	addresses map[string]string
	faults    []Fault
}

type recordID struct {
	kind pb.RecordKind
	name string
}

type serviceProvider struct{ service, provider string }

// supply is what a provider's targets for a service give.
type supply int

const (
	noTarget supply = iota
	allLeaving
	takesNewWork
)

func supplyOf(t *pb.Target) supply {
	if t.GetLeaving() {
		return allLeaving
	}
	return takesNewWork
}

func newChecker(records []*pb.Record) *checker {
	c := &checker{
		seen:       make(map[recordID]bool, len(records)),
		workspaces: make(map[string]bool),
		budgets:    make(map[string]*pb.Budget),
		services:   make(map[string]*pb.Service),
		providers:  make(map[serviceProvider]supply),
		divided:    make(map[string]int),
		keyOwner:   make(map[string]string),
		addresses:  make(map[string]string),
	}
	for _, r := range records {
		switch r := r.GetRecord().(type) {
		case *pb.Record_Workspace:
			c.workspaces[r.Workspace.GetName()] = true
			for _, s := range r.Workspace.GetShares() {
				c.divided[s.GetService()]++
			}
		case *pb.Record_Budget:
			c.budgets[r.Budget.GetName()] = r.Budget
		case *pb.Record_Service:
			c.services[r.Service.GetName()] = r.Service
		case *pb.Record_Target:
			at := serviceProvider{r.Target.GetService(), r.Target.GetProvider()}
			c.providers[at] = max(c.providers[at], supplyOf(r.Target))
		}
	}
	return c
}

func (c *checker) fault(key *pb.RecordKey, field, format string, args ...any) {
	c.itemFault(key, field, "", format, args...)
}

func (c *checker) itemFault(key *pb.RecordKey, field, item, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Field: field, Item: item, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) record(r *pb.Record) {
	key := RecordKey(r)
	if key.Kind == pb.RecordKind_RECORD_KIND_UNSPECIFIED {
		c.fault(key, "record", "the record is empty")
		return
	}
	if reason := CheckName(key.Name); reason != "" {
		c.fault(key, "name", "%s", reason)
	}
	id := recordID{key.Kind, key.Name}
	if c.seen[id] {
		c.fault(key, "name", "another %s has this name", KindName(key.Kind))
	}
	c.seen[id] = true
	switch r := r.Record.(type) {
	case *pb.Record_Workspace:
		c.workspace(key, r.Workspace)
	case *pb.Record_Budget:
		c.budget(key, r.Budget)
	case *pb.Record_Service:
		c.service(key, r.Service)
	case *pb.Record_Target:
		c.target(key, r.Target)
	}
}

func (c *checker) workspace(key *pb.RecordKey, w *pb.Workspace) {
	c.bearerKeys(key, w)
	if _, ok := pb.Priority_name[int32(w.Priority)]; !ok || w.Priority == pb.Priority_PRIORITY_UNSPECIFIED {
		c.fault(key, "priority", "must be interactive, normal or batch")
	}
	if w.DefaultBudget != "" {
		c.defaultBudget(key, w)
	}
	seen := make(map[string]bool, len(w.Shares))
	for _, s := range w.Shares {
		if seen[s.Service] {
			c.itemFault(key, "shares", s.Service, "service %q has two divisions", s.Service)
		}
		seen[s.Service] = true
		if c.services[s.Service] == nil {
			c.itemFault(key, "shares", s.Service, "service %q doesn't exist", s.Service)
			continue
		}
		c.shares(key, "shares", s.Service, s.Providers)
	}
}

func (c *checker) bearerKeys(key *pb.RecordKey, w *pb.Workspace) {
	if len(w.KeySha256) == 0 {
		c.fault(key, "key_sha256", "at least one bearer key is needed")
	}
	for _, sum := range w.KeySha256 {
		if len(sum) != keySumBytes {
			c.fault(key, "key_sha256", "a sum has %d bytes, not %d", len(sum), keySumBytes)
			continue
		}
		owner, taken := c.keyOwner[string(sum)]
		if taken {
			c.fault(key, "key_sha256", "sum %s… is also a key of workspace %q", hex.EncodeToString(sum[:4]), owner)
			continue
		}
		c.keyOwner[string(sum)] = w.Name
	}
}

func (c *checker) defaultBudget(key *pb.RecordKey, w *pb.Workspace) {
	budget := c.budgets[w.DefaultBudget]
	if budget == nil {
		c.fault(key, "default_budget", "budget %q doesn't exist", w.DefaultBudget)
		return
	}
	if budget.Workspace != w.Name {
		c.fault(key, "default_budget", "budget %q belongs to workspace %q", w.DefaultBudget, budget.Workspace)
	}
}

func (c *checker) shares(key *pb.RecordKey, field, service string, shares []*pb.ProviderShare) {
	sum := 0
	seen := make(map[string]bool, len(shares))
	for _, s := range shares {
		sum += int(s.Permille)
		if seen[s.Provider] {
			c.itemFault(key, field, service, "provider %q stands twice for service %q", s.Provider, service)
		}
		seen[s.Provider] = true
		if s.Permille > 0 && c.providers[serviceProvider{service, s.Provider}] != takesNewWork {
			c.itemFault(key, field, service, "provider %q has no target that takes new work for service %q", s.Provider, service)
		}
	}
	if sum != fullShare {
		c.itemFault(key, field, service, "the shares of service %q sum to %d, not %d", service, sum, fullShare)
	}
}

func (c *checker) budget(key *pb.RecordKey, b *pb.Budget) {
	if !c.workspaces[b.Workspace] {
		c.fault(key, "workspace", "workspace %q doesn't exist", b.Workspace)
	}
}

func (c *checker) service(key *pb.RecordKey, s *pb.Service) {
	if s.Kind != pb.ServiceKind_SERVICE_KIND_MODEL && s.Kind != pb.ServiceKind_SERVICE_KIND_PLAIN {
		c.fault(key, "kind", "must be model or plain")
	}
	if len(s.Calls) == 0 {
		c.fault(key, "calls", "at least one call is needed")
	}
	seen := make(map[string]bool, len(s.Calls))
	for _, call := range s.Calls {
		if seen[call.Path] {
			c.itemFault(key, "calls", call.Path, "path %q stands twice", call.Path)
		}
		seen[call.Path] = true
		c.call(key, s, call)
	}
	if len(s.DefaultShares) > 0 {
		c.shares(key, "default_shares", s.Name, s.DefaultShares)
		return
	}
	c.defaultProvider(key, s)
}

// defaultProvider allows one whose targets all leave once no workspace depends
// on it.
func (c *checker) defaultProvider(key *pb.RecordKey, s *pb.Service) {
	given := c.providers[serviceProvider{s.Name, s.DefaultProvider}]
	unused := c.divided[s.Name] >= len(c.workspaces)
	if given == noTarget || given == allLeaving && !unused {
		c.fault(key, "default_provider", "provider %q has no target that takes new work for this service", s.DefaultProvider)
	}
}

func (c *checker) call(key *pb.RecordKey, s *pb.Service, call *pb.Call) {
	if call.Path == "" || call.Path[0] == '/' {
		c.itemFault(key, "calls", call.Path, "path %q must not be empty or begin with /", call.Path)
	}
	if call.CostTokens < 0 {
		c.itemFault(key, "calls", call.Path, "path %q costs %d tokens", call.Path, call.CostTokens)
	}
	model := call.Kind == pb.CallKind_CALL_KIND_MODEL
	if call.Kind == pb.CallKind_CALL_KIND_UNSPECIFIED {
		c.itemFault(key, "calls", call.Path, "path %q must be a model call, a lookup or an action", call.Path)
		return
	}
	if model && s.Kind == pb.ServiceKind_SERVICE_KIND_PLAIN {
		c.itemFault(key, "calls", call.Path, "path %q is a model call of a plain service", call.Path)
	}
	if model && call.CostTokens != 0 {
		c.itemFault(key, "calls", call.Path, "path %q is a model call, which is billed by usage and has no cost", call.Path)
	}
}

func (c *checker) target(key *pb.RecordKey, t *pb.Target) {
	if c.services[t.Service] == nil {
		c.fault(key, "service", "service %q doesn't exist", t.Service)
	}
	if reason := CheckName(t.Provider); reason != "" {
		c.fault(key, "provider", "%s", reason)
	}
	if reason := CheckName(t.DataCentre); reason != "" {
		c.fault(key, "data_centre", "%s", reason)
	}
	if reason := CheckAddress(t.Address); reason != "" {
		c.fault(key, "address", "%s", reason)
		return
	}
	if other, taken := c.addresses[t.Address]; taken {
		c.fault(key, "address", "target %q has the same address", other)
	}
	c.addresses[t.Address] = t.Name
}

// CheckName returns what is wrong with a name, or nothing.
func CheckName(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("has %d bytes, more than %d", len(name), maxNameBytes)
	}
	if slices.ContainsFunc([]rune(name), badNameRune) {
		return fmt.Sprintf("%q must be made of letters, digits and . _ -", name)
	}
	return ""
}

func badNameRune(r rune) bool {
	if unicode.IsLetter(r) || unicode.IsDigit(r) {
		return r == unicode.ReplacementChar
	}
	return r != '.' && r != '_' && r != '-'
}

// CheckAddress returns what is wrong with an IP address and port, or nothing.
func CheckAddress(address string) string {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return strconv.Quote(address) + " is not an IP number and port"
	}
	if at.Port() == 0 {
		return strconv.Quote(address) + " has port 0"
	}
	return ""
}
