package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

const (
	// maxDuration is the longest duration that a field may have.
	maxDuration = 24 * time.Hour
	// maxPermille is 100 %.
	maxPermille = 1000
	// minHeaderBytes and minBodyBytes are the lowest limits under which a usual
	// request is accepted.
	minHeaderBytes = 4 << 10
	minBodyBytes   = 1 << 10
	// minTokenBytes is the length of the shortest operator token, in bytes.
	minTokenBytes = 16
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects faults.
type checker struct {
	faults Faults
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Validate returns all faults of settings to which the defaults have been
// applied.
func Validate(s *pb.RouterSettings) Faults {
	c := &checker{}
	c.checkName("name", s.Name)
	c.checkName("data_centre", s.DataCentre)
	c.checkName("region", s.Region)
	c.checkDoors(s.Doors)
	c.checkPlatform(s.Platform)
	c.checkPeers(s)
	c.checkBudget(s.Budget)
	c.checkCallerLimits(s.CallerLimits)
	c.checkRouting(s.Routing)
	c.checkLogLevel(s.Log)
	c.checkDuration("stop_limit", s.StopLimit)
	return c.faults
}

func (c *checker) checkLogLevel(s *pb.LogSettings) {
	if !slices.Contains(logLevels, s.Level) {
		c.addFault("log.level", "%q must be one of %s", s.Level, strings.Join(logLevels, ", "))
	}
}

func (c *checker) checkName(path, name string) {
	if reason := config.CheckName(name); reason != "" {
		c.addFault(path, "%s", reason)
	}
}

func (c *checker) checkDoors(d *pb.Doors) {
	caller, callerOK := c.checkAddress("doors.caller", d.Caller)
	operator, operatorOK := c.checkAddress("doors.operator", d.Operator)
	peer, peerOK := c.checkAddress("doors.peer", d.Peer)
	if peerOK && peer.Addr().IsUnspecified() {
		c.addFault("doors.peer", "must be an address that peers can call, not %s", peer.Addr())
	}
	if operatorOK && !operator.Addr().IsLoopback() && len(d.OperatorToken) < minTokenBytes {
		c.addFault("doors.operator_token", "must have %d bytes or more if doors.operator is not a loopback address", minTokenBytes)
	}
	if d.PeerAdvertised != "" {
		c.checkRemoteAddress("doors.peer_advertised", d.PeerAdvertised)
	}
	c.checkDistinct("doors.operator", operator, operatorOK, "doors.caller", caller, callerOK)
	c.checkDistinct("doors.peer", peer, peerOK, "doors.caller", caller, callerOK)
	c.checkDistinct("doors.peer", peer, peerOK, "doors.operator", operator, operatorOK)
}

func (c *checker) checkDistinct(path string, a netip.AddrPort, aOK bool, otherPath string, b netip.AddrPort, bOK bool) {
	if aOK && bOK && a.Port() != 0 && a == b {
		c.addFault(path, "must differ from %s", otherPath)
	}
}

func (c *checker) checkAddress(path, address string) (at netip.AddrPort, ok bool) {
	if address == "" {
		c.addFault(path, "is required")
		return at, false
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		c.addFault(path, "%q is not an IP address and port", address)
		return at, false
	}
	return at, true
}

// checkRemoteAddress checks an address that this router or its peers connect
// to.
func (c *checker) checkRemoteAddress(path, address string) {
	at, ok := c.checkAddress(path, address)
	if ok && at.Port() == 0 {
		c.addFault(path, "must not have port 0")
	}
}

func (c *checker) checkPlatform(p *pb.Platform) {
	c.checkRemoteAddress("platform.address", p.Address)
	c.checkDuration("platform.call_timeout", p.CallTimeout)
}

func (c *checker) checkPeers(s *pb.RouterSettings) {
	for i, address := range s.PeerAddresses {
		path := fmt.Sprintf("peer_addresses[%d]", i)
		c.checkRemoteAddress(path, address)
		if slices.Contains(s.PeerAddresses[:i], address) {
			c.addFault(path, "%s is listed twice", address)
		}
	}
}

func (c *checker) checkBudget(b *pb.BudgetPolicy) {
	if b.Release != pb.Release_RELEASE_OPERATOR && b.Release != pb.Release_RELEASE_VM_GONE {
		c.addFault("budget.release", "must be RELEASE_OPERATOR or RELEASE_VM_GONE")
	}
	c.checkDuration("budget.grant_horizon", b.GrantHorizon)
	c.checkDuration("budget.loan_horizon", b.LoanHorizon)
	c.checkDuration("budget.settle_interval", b.SettleInterval)
	c.checkDuration("budget.search_timeout", b.SearchTimeout)
	c.checkPermille("budget.draw_permille", b.DrawPermille)
	if b.LoanHorizon.AsDuration() > b.GrantHorizon.AsDuration() {
		c.addFault("budget.loan_horizon", "must not be longer than budget.grant_horizon")
	}
}

func (c *checker) checkCallerLimits(l *pb.CallerLimits) {
	if l.MaxBodyBytes < minBodyBytes {
		c.addFault("caller_limits.max_body_bytes", "must be %d or more", minBodyBytes)
	}
	if l.MaxHeaderBytes < minHeaderBytes {
		c.addFault("caller_limits.max_header_bytes", "must be %d or more", minHeaderBytes)
	}
	c.checkDuration("caller_limits.read_timeout", l.ReadTimeout)
	c.checkDuration("caller_limits.write_timeout", l.WriteTimeout)
	c.checkDuration("caller_limits.default_deadline", l.DefaultDeadline)
	c.checkDuration("caller_limits.park_grace", l.ParkGrace)
}

func (c *checker) checkRouting(r *pb.RoutingPolicy) {
	c.checkDuration("routing.first_byte_timeout", r.FirstByteTimeout)
	c.checkDuration("routing.token_gap_timeout", r.TokenGapTimeout)
	c.checkDuration("routing.connection_max_age", r.ConnectionMaxAge)
	c.checkPermille("routing.retry_budget_permille", r.RetryBudgetPermille)
}

func (c *checker) checkPermille(path string, value uint32) {
	if value > maxPermille {
		c.addFault(path, "%d is above %d", value, maxPermille)
	}
}

func (c *checker) checkDuration(path string, d *durationpb.Duration) {
	if d.AsDuration() <= 0 || d.AsDuration() > maxDuration {
		c.addFault(path, "%s must be above 0 s and at most %s", d.AsDuration(), maxDuration)
	}
}
