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
	// longest is the highest duration that a field may have.
	longest = 24 * time.Hour
	// maxPermille is the whole.
	maxPermille = 1000
	// minHeaderBytes and minBodyBytes are the lowest limits that a usual
	// request passes.
	minHeaderBytes = 4 << 10
	minBodyBytes   = 1 << 10
	// minToken is the shortest operator token, in bytes.
	minToken = 16
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects faults.
type checker struct {
	faults Faults
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Validate returns every fault of settings that have their defaults.
func Validate(s *pb.RouterSettings) Faults {
	c := &checker{}
	c.name("name", s.Name)
	c.name("data_centre", s.DataCentre)
	c.name("region", s.Region)
	c.doors(s.Doors)
	c.platform(s.Platform)
	c.peers(s)
	c.budget(s.Budget)
	c.callerLimits(s.CallerLimits)
	c.routing(s.Routing)
	c.logLevel(s.Log)
	c.duration("stop_limit", s.StopLimit)
	return c.faults
}

func (c *checker) logLevel(s *pb.LogSettings) {
	if !slices.Contains(logLevels, s.Level) {
		c.fault("log.level", "%q must be one of %s", s.Level, strings.Join(logLevels, ", "))
	}
}

func (c *checker) name(path, name string) {
	if reason := config.CheckName(name); reason != "" {
		c.fault(path, "%s", reason)
	}
}

func (c *checker) doors(d *pb.Doors) {
	caller, callerOK := c.address("doors.caller", d.Caller)
	operator, operatorOK := c.address("doors.operator", d.Operator)
	peer, peerOK := c.address("doors.peer", d.Peer)
	if peerOK && peer.Addr().IsUnspecified() {
		c.fault("doors.peer", "must be an address that peers can call, not %s", peer.Addr())
	}
	if operatorOK && !operator.Addr().IsLoopback() && len(d.OperatorToken) < minToken {
		c.fault("doors.operator_token", "needs %d bytes or more where doors.operator is not loopback", minToken)
	}
	if d.PeerAdvertised != "" {
		c.remote("doors.peer_advertised", d.PeerAdvertised)
	}
	c.distinct("doors.operator", operator, operatorOK, "doors.caller", caller, callerOK)
	c.distinct("doors.peer", peer, peerOK, "doors.caller", caller, callerOK)
	c.distinct("doors.peer", peer, peerOK, "doors.operator", operator, operatorOK)
}

func (c *checker) distinct(path string, a netip.AddrPort, aOK bool, otherPath string, b netip.AddrPort, bOK bool) {
	if aOK && bOK && a.Port() != 0 && a == b {
		c.fault(path, "is the same as %s", otherPath)
	}
}

func (c *checker) address(path, address string) (at netip.AddrPort, ok bool) {
	if address == "" {
		c.fault(path, "is required")
		return at, false
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		c.fault(path, "%q is not an IP number and port", address)
		return at, false
	}
	return at, true
}

// remote checks an address that this router calls.
func (c *checker) remote(path, address string) {
	at, ok := c.address(path, address)
	if ok && at.Port() == 0 {
		c.fault(path, "has port 0")
	}
}

func (c *checker) platform(p *pb.Platform) {
	c.remote("platform.address", p.Address)
	c.duration("platform.call_timeout", p.CallTimeout)
}

func (c *checker) peers(s *pb.RouterSettings) {
	for i, address := range s.PeerAddresses {
		path := fmt.Sprintf("peer_addresses[%d]", i)
		c.remote(path, address)
		if slices.Contains(s.PeerAddresses[:i], address) {
			c.fault(path, "%s stands twice", address)
		}
	}
}

func (c *checker) budget(b *pb.BudgetPolicy) {
	if b.Release != pb.Release_RELEASE_OPERATOR && b.Release != pb.Release_RELEASE_VM_GONE {
		c.fault("budget.release", "must be RELEASE_OPERATOR or RELEASE_VM_GONE")
	}
	c.duration("budget.grant_horizon", b.GrantHorizon)
	c.duration("budget.loan_horizon", b.LoanHorizon)
	c.duration("budget.settle_interval", b.SettleInterval)
	c.duration("budget.search_timeout", b.SearchTimeout)
	c.permille("budget.draw_permille", b.DrawPermille)
	if b.LoanHorizon.AsDuration() > b.GrantHorizon.AsDuration() {
		c.fault("budget.loan_horizon", "is longer than budget.grant_horizon")
	}
}

func (c *checker) callerLimits(l *pb.CallerLimits) {
	if l.MaxBodyBytes < minBodyBytes {
		c.fault("caller_limits.max_body_bytes", "must be %d or more", minBodyBytes)
	}
	if l.MaxHeaderBytes < minHeaderBytes {
		c.fault("caller_limits.max_header_bytes", "must be %d or more", minHeaderBytes)
	}
	c.duration("caller_limits.read_timeout", l.ReadTimeout)
	c.duration("caller_limits.write_timeout", l.WriteTimeout)
	c.duration("caller_limits.default_deadline", l.DefaultDeadline)
	c.duration("caller_limits.park_grace", l.ParkGrace)
}

func (c *checker) routing(r *pb.RoutingPolicy) {
	c.duration("routing.first_byte_timeout", r.FirstByteTimeout)
	c.duration("routing.token_gap_timeout", r.TokenGapTimeout)
	c.duration("routing.connection_max_age", r.ConnectionMaxAge)
	c.permille("routing.retry_budget_permille", r.RetryBudgetPermille)
}

func (c *checker) permille(path string, value uint32) {
	if value > maxPermille {
		c.fault(path, "%d is above %d", value, maxPermille)
	}
}

func (c *checker) duration(path string, d *durationpb.Duration) {
	if d.AsDuration() <= 0 || d.AsDuration() > longest {
		c.fault(path, "%s must be above 0 s and at most %s", d.AsDuration(), longest)
	}
}
