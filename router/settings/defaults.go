package settings

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Defaults of fields left out.
const (
	defaultStopLimit        = 600 * time.Second
	defaultCallTimeout      = 2 * time.Second
	defaultWritesPerSecond  = 50
	defaultSettleInterval   = 2 * time.Second
	defaultSearchTimeout    = 500 * time.Millisecond
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultReadTimeout      = 10 * time.Second
	defaultWriteTimeout     = 20 * time.Second
	defaultDeadline         = 120 * time.Second
	defaultParkGrace        = 10 * time.Second
	defaultFirstByteTimeout = 10 * time.Second
	defaultTokenGapTimeout  = 5 * time.Second
	defaultMaxInFlight      = 64
	defaultRetryPermille    = 100
	defaultConnectionMaxAge = 60 * time.Second
	defaultLogLevel         = "info"
)

// ApplyDefaults fills the fields that are left out.
func ApplyDefaults(s *pb.RouterSettings) {
	defaultTo(&s.VmInstance, s.Name)
	duration(&s.StopLimit, defaultStopLimit)
	message(&s.Doors)
	platformDefaults(message(&s.Platform))
	budgetDefaults(message(&s.Budget))
	callerDefaults(message(&s.CallerLimits))
	routingDefaults(message(&s.Routing))
	defaultTo(&message(&s.Log).Level, defaultLogLevel)
}

func platformDefaults(p *pb.Platform) {
	duration(&p.CallTimeout, defaultCallTimeout)
	defaultTo(&p.WritesPerSecond, defaultWritesPerSecond)
}

// budgetDefaults takes sizes from the package that measured them.
func budgetDefaults(b *pb.BudgetPolicy) {
	defaultTo(&b.Release, pb.Release_RELEASE_OPERATOR)
	policy := budget.PolicyFromSettings(nil)
	duration(&b.GrantHorizon, policy.GrantHorizon)
	duration(&b.LoanHorizon, policy.LoanHorizon)
	duration(&b.SettleInterval, defaultSettleInterval)
	defaultTo(&b.DrawPermille, uint32(policy.DrawPermille))
	duration(&b.SearchTimeout, defaultSearchTimeout)
}

func callerDefaults(c *pb.CallerLimits) {
	defaultTo(&c.MaxBodyBytes, defaultMaxBodyBytes)
	defaultTo(&c.MaxHeaderBytes, defaultMaxHeaderBytes)
	duration(&c.ReadTimeout, defaultReadTimeout)
	duration(&c.WriteTimeout, defaultWriteTimeout)
	duration(&c.DefaultDeadline, defaultDeadline)
	duration(&c.ParkGrace, defaultParkGrace)
}

func routingDefaults(r *pb.RoutingPolicy) {
	duration(&r.FirstByteTimeout, defaultFirstByteTimeout)
	duration(&r.TokenGapTimeout, defaultTokenGapTimeout)
	defaultTo(&r.MaxInFlightPerTarget, defaultMaxInFlight)
	defaultTo(&r.RetryBudgetPermille, defaultRetryPermille)
	duration(&r.ConnectionMaxAge, defaultConnectionMaxAge)
}

// message makes an empty message where there is none.
func message[T any](field **T) *T {
	if *field == nil {
		*field = new(T)
	}
	return *field
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func duration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}
