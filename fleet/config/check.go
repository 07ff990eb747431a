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

// maxNameBytes is the maximum length of a record name. It keeps rows and
// messages small.
const maxNameBytes = 128

// sha256Bytes is the length of a SHA-256 hash.
const sha256Bytes = 32

// Fault is one validation error of a record.
type Fault struct {
	// Key identifies the record.
	Key *pb.RecordKey
	// Field is the invalid field, as named in the schema.
	Field string
	// Item identifies the invalid entry if the field is a list: the service of
	// shares or the path of a call. It is empty for other fields.
	Item string
	// Reason describes what is wrong with the field.
	Reason string
}

// String returns the fault as "record: field: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", FormatKey(f.Key), f.Field, f.Reason)
}

// Check validates a complete configuration and returns every fault, in the
// order of the records.
func Check(records []*pb.Record) []Fault {
	c := newChecker(records)
	for _, r := range records {
		c.checkRecord(r)
	}
	return c.faults
}

// checker collects faults. It indexes everything that records may refer to.
type checker struct {
	seen       map[recordID]bool
	workspaces map[string]bool
	budgets    map[string]*pb.Budget
	services   map[string]*pb.Service
	providers  map[serviceProvider]providerState
	// workspacesWithShares counts the workspaces that override the shares of a
	// service.
	workspacesWithShares map[string]int
	keyOwner             map[string]string
	addresses            map[string]string
	faults               []Fault
}

type recordID struct {
	kind pb.RecordKind
	name string
}

type serviceProvider struct{ service, provider string }

// providerState is the state of a provider's targets for a service: whether
// there are any and whether one accepts new work. A higher value takes
// precedence over a lower one.
type providerState int

const (
	noTargets providerState = iota
	allLeaving
	acceptsNewWork
)

func providerStateOf(t *pb.Target) providerState {
	if t.GetLeaving() {
		return allLeaving
	}
	return acceptsNewWork
}

func newChecker(records []*pb.Record) *checker {
	c := &checker{
		seen:                 make(map[recordID]bool, len(records)),
		workspaces:           make(map[string]bool),
		budgets:              make(map[string]*pb.Budget),
		services:             make(map[string]*pb.Service),
		providers:            make(map[serviceProvider]providerState),
		workspacesWithShares: make(map[string]int),
		keyOwner:             make(map[string]string),
		addresses:            make(map[string]string),
	}
	for _, r := range records {
		switch r := r.GetRecord().(type) {
		case *pb.Record_Workspace:
			c.workspaces[r.Workspace.GetName()] = true
			for _, s := range r.Workspace.GetShares() {
				c.workspacesWithShares[s.GetService()]++
			}
		case *pb.Record_Budget:
			c.budgets[r.Budget.GetName()] = r.Budget
		case *pb.Record_Service:
			c.services[r.Service.GetName()] = r.Service
		case *pb.Record_Target:
			at := serviceProvider{r.Target.GetService(), r.Target.GetProvider()}
			c.providers[at] = max(c.providers[at], providerStateOf(r.Target))
		}
	}
	return c
}

func (c *checker) addFault(key *pb.RecordKey, field, format string, args ...any) {
	c.addItemFault(key, field, "", format, args...)
}

func (c *checker) addItemFault(key *pb.RecordKey, field, item, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Field: field, Item: item, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRecord(r *pb.Record) {
	key := RecordKey(r)
	if key.Kind == pb.RecordKind_RECORD_KIND_UNSPECIFIED {
		c.addFault(key, "record", "the record is empty")
		return
	}
	if reason := CheckName(key.Name); reason != "" {
		c.addFault(key, "name", "%s", reason)
	}
	id := recordID{key.Kind, key.Name}
	if c.seen[id] {
		c.addFault(key, "name", "another %s has this name", KindName(key.Kind))
	}
	c.seen[id] = true
	switch r := r.Record.(type) {
	case *pb.Record_Workspace:
		c.checkWorkspace(key, r.Workspace)
	case *pb.Record_Budget:
		c.checkBudget(key, r.Budget)
	case *pb.Record_Service:
		c.checkService(key, r.Service)
	case *pb.Record_Target:
		c.checkTarget(key, r.Target)
	}
}

func (c *checker) checkWorkspace(key *pb.RecordKey, w *pb.Workspace) {
	c.checkBearerKeys(key, w)
	if _, ok := pb.Priority_name[int32(w.Priority)]; !ok || w.Priority == pb.Priority_PRIORITY_UNSPECIFIED {
		c.addFault(key, "priority", "must be interactive, normal or batch")
	}
	if w.DefaultBudget != "" {
		c.checkDefaultBudget(key, w)
	}
	seen := make(map[string]bool, len(w.Shares))
	for _, s := range w.Shares {
		if seen[s.Service] {
			c.addItemFault(key, "shares", s.Service, "service %q has shares listed twice", s.Service)
		}
		seen[s.Service] = true
		if c.services[s.Service] == nil {
			c.addItemFault(key, "shares", s.Service, "service %q doesn't exist", s.Service)
			continue
		}
		c.checkShares(key, "shares", s.Service, s.Providers)
	}
}

func (c *checker) checkBearerKeys(key *pb.RecordKey, w *pb.Workspace) {
	if len(w.KeySha256) == 0 {
		c.addFault(key, "key_sha256", "at least one bearer key is needed")
	}
	for _, sum := range w.KeySha256 {
		if len(sum) != sha256Bytes {
			c.addFault(key, "key_sha256", "a key hash has %d bytes, not %d", len(sum), sha256Bytes)
			continue
		}
		owner, taken := c.keyOwner[string(sum)]
		if taken {
			c.addFault(key, "key_sha256", "hash %s… is also a bearer key of workspace %q", hex.EncodeToString(sum[:4]), owner)
			continue
		}
		c.keyOwner[string(sum)] = w.Name
	}
}

func (c *checker) checkDefaultBudget(key *pb.RecordKey, w *pb.Workspace) {
	budget := c.budgets[w.DefaultBudget]
	if budget == nil {
		c.addFault(key, "default_budget", "budget %q doesn't exist", w.DefaultBudget)
		return
	}
	if budget.Workspace != w.Name {
		c.addFault(key, "default_budget", "budget %q belongs to workspace %q", w.DefaultBudget, budget.Workspace)
	}
}

func (c *checker) checkShares(key *pb.RecordKey, field, service string, shares []*pb.ProviderShare) {
	sum := 0
	seen := make(map[string]bool, len(shares))
	for _, s := range shares {
		sum += int(s.Permille)
		if seen[s.Provider] {
			c.addItemFault(key, field, service, "provider %q is listed twice for service %q", s.Provider, service)
		}
		seen[s.Provider] = true
		if s.Permille > 0 && c.providers[serviceProvider{service, s.Provider}] != acceptsNewWork {
			c.addItemFault(key, field, service, "provider %q has no target that takes new work for service %q", s.Provider, service)
		}
	}
	if sum != totalPermille {
		c.addItemFault(key, field, service, "the shares of service %q sum to %d, not %d", service, sum, totalPermille)
	}
}

func (c *checker) checkBudget(key *pb.RecordKey, b *pb.Budget) {
	if !c.workspaces[b.Workspace] {
		c.addFault(key, "workspace", "workspace %q doesn't exist", b.Workspace)
	}
}

func (c *checker) checkService(key *pb.RecordKey, s *pb.Service) {
	if s.Kind != pb.ServiceKind_SERVICE_KIND_MODEL && s.Kind != pb.ServiceKind_SERVICE_KIND_PLAIN {
		c.addFault(key, "kind", "must be model or plain")
	}
	if len(s.Calls) == 0 {
		c.addFault(key, "calls", "at least one call is needed")
	}
	seen := make(map[string]bool, len(s.Calls))
	for _, call := range s.Calls {
		if seen[call.Path] {
			c.addItemFault(key, "calls", call.Path, "path %q is listed twice", call.Path)
		}
		seen[call.Path] = true
		c.checkCall(key, s, call)
	}
	if len(s.DefaultShares) > 0 {
		c.checkShares(key, "default_shares", s.Name, s.DefaultShares)
		return
	}
	c.checkDefaultProvider(key, s)
}

// checkDefaultProvider checks that the default provider of a service has a target
// that accepts new work. If all its targets are leaving, it is still valid when
// every workspace has its own shares for the service, as no workspace depends
// on the default provider then.
func (c *checker) checkDefaultProvider(key *pb.RecordKey, s *pb.Service) {
	state := c.providers[serviceProvider{s.Name, s.DefaultProvider}]
	overridden := c.workspacesWithShares[s.Name] >= len(c.workspaces)
	if state == noTargets || state == allLeaving && !overridden {
		c.addFault(key, "default_provider", "provider %q has no target that takes new work for this service", s.DefaultProvider)
	}
}

func (c *checker) checkCall(key *pb.RecordKey, s *pb.Service, call *pb.Call) {
	if call.Path == "" || call.Path[0] == '/' {
		c.addItemFault(key, "calls", call.Path, "path %q must not be empty or begin with /", call.Path)
	}
	if call.CostTokens < 0 {
		c.addItemFault(key, "calls", call.Path, "path %q has a negative cost of %d tokens", call.Path, call.CostTokens)
	}
	model := call.Kind == pb.CallKind_CALL_KIND_MODEL
	if call.Kind == pb.CallKind_CALL_KIND_UNSPECIFIED {
		c.addItemFault(key, "calls", call.Path, "path %q must be a model call, a lookup or an action", call.Path)
		return
	}
	if model && s.Kind == pb.ServiceKind_SERVICE_KIND_PLAIN {
		c.addItemFault(key, "calls", call.Path, "path %q is a model call, but the service is plain", call.Path)
	}
	if model && call.CostTokens != 0 {
		c.addItemFault(key, "calls", call.Path, "path %q is a model call, which is billed by usage and has no cost", call.Path)
	}
}

func (c *checker) checkTarget(key *pb.RecordKey, t *pb.Target) {
	if c.services[t.Service] == nil {
		c.addFault(key, "service", "service %q doesn't exist", t.Service)
	}
	if reason := CheckName(t.Provider); reason != "" {
		c.addFault(key, "provider", "%s", reason)
	}
	if reason := CheckName(t.DataCentre); reason != "" {
		c.addFault(key, "data_centre", "%s", reason)
	}
	if reason := CheckAddress(t.Address); reason != "" {
		c.addFault(key, "address", "%s", reason)
		return
	}
	if other, taken := c.addresses[t.Address]; taken {
		c.addFault(key, "address", "target %q has the same address", other)
	}
	c.addresses[t.Address] = t.Name
}

// CheckName returns why a name is invalid, or "" if it is valid.
func CheckName(name string) string {
	if name == "" {
		return "must not be empty"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("has %d bytes, more than %d", len(name), maxNameBytes)
	}
	if slices.ContainsFunc([]rune(name), isInvalidNameRune) {
		return fmt.Sprintf("%q may contain only letters, digits and . _ -", name)
	}
	return ""
}

func isInvalidNameRune(r rune) bool {
	if unicode.IsLetter(r) || unicode.IsDigit(r) {
		return r == unicode.ReplacementChar
	}
	return r != '.' && r != '_' && r != '-'
}

// CheckAddress returns why an IP address and port are invalid, or "" if they
// are valid.
func CheckAddress(address string) string {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return strconv.Quote(address) + " is not an IP address and port"
	}
	if addrPort.Port() == 0 {
		return strconv.Quote(address) + " has port 0"
	}
	return ""
}
