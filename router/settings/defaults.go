package settings

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Defaults of fields that are left out.
const (
	defaultStopLimit        = 600 * time.Second
	defaultCallTimeout      = 2 * time.Second
	defaultWritesPerSecond  = 50
	defaultSettleInterval   = 2 * time.Second
	defaultSearchTimeout    = 500 * time.Millisecond
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMemoryMiB        = 128
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
	// defaultColdOvershoot lets cold targets get no more than what they take.
	defaultColdOvershoot = 1
)

// ApplyDefaults sets the fields that are left out.
func ApplyDefaults(s *pb.RouterSettings) {
	setDefault(&s.VmInstance, s.Name)
	setDefaultDuration(&s.StopLimit, defaultStopLimit)
	ensureMessage(&s.Doors)
	applyPlatformDefaults(ensureMessage(&s.Platform))
	applyBudgetDefaults(ensureMessage(&s.Budget))
	applyCallerDefaults(ensureMessage(&s.CallerLimits))
	applyRoutingDefaults(ensureMessage(&s.Routing))
	setDefault(&ensureMessage(&s.Log).Level, defaultLogLevel)
}

func applyPlatformDefaults(p *pb.Platform) {
	setDefaultDuration(&p.CallTimeout, defaultCallTimeout)
	setDefault(&p.WritesPerSecond, defaultWritesPerSecond)
}

// applyBudgetDefaults takes horizons and the draw share from package budget,
// where they were measured.
func applyBudgetDefaults(b *pb.BudgetPolicy) {
	setDefault(&b.Release, pb.Release_RELEASE_OPERATOR)
	policy := budget.PolicyFromSettings(nil)
	setDefaultDuration(&b.GrantHorizon, policy.GrantHorizon)
	setDefaultDuration(&b.LoanHorizon, policy.LoanHorizon)
	setDefaultDuration(&b.SettleInterval, defaultSettleInterval)
	setDefault(&b.DrawPermille, uint32(policy.DrawPermille))
	setDefaultDuration(&b.SearchTimeout, defaultSearchTimeout)
}

func applyCallerDefaults(c *pb.CallerLimits) {
	setDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&c.MemoryMib, defaultMemoryMiB)
	setDefaultDuration(&c.ReadTimeout, defaultReadTimeout)
	setDefaultDuration(&c.WriteTimeout, defaultWriteTimeout)
	setDefaultDuration(&c.DefaultDeadline, defaultDeadline)
	setDefaultDuration(&c.ParkGrace, defaultParkGrace)
}

func applyRoutingDefaults(r *pb.RoutingPolicy) {
	setDefaultDuration(&r.FirstByteTimeout, defaultFirstByteTimeout)
	setDefaultDuration(&r.TokenGapTimeout, defaultTokenGapTimeout)
	setDefault(&r.MaxInFlightPerTarget, defaultMaxInFlight)
	setDefault(&r.RetryBudgetPermille, defaultRetryPermille)
	setDefaultDuration(&r.ConnectionMaxAge, defaultConnectionMaxAge)
}

// ensureMessage sets a nil message field to an empty message and returns the
// message.
func ensureMessage[T any](field **T) *T {
	if *field == nil {
		*field = new(T)
	}
	return *field
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func setDefaultDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}
