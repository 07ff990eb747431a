package targetlimit

import (
	"maps"
	"sync"
	"time"

	"cuminrock.example/fleet/placement"
)

const (
	// permitSpan is the span in which the permits for a cold target are bounded. It is
	// longer than the second of the bound by the time that a request takes from its permit
	// to the target: a call between gateways, a connection, and sending the body.
	permitSpan = 1500 * time.Millisecond
	// cautiousFor is how long an issuer issues only half of its share at first: another
	// issuer, or gateways that didn't know of the cold period, may have sent requests in the
	// last second. Issuing none refused all requests of a service whose targets turned cold
	// together.
	cautiousFor = time.Second
	// mainColdShare and fallbackColdShare are the parts of the bound that the main issuer
	// and a fallback issuer issue in permitSpan. One main issuer and three fallback issuers
	// stay within the bound, and so do two main issuers, or one whose requests of two spans
	// arrive in one second after a delay.
	mainColdShare     = 0.46
	fallbackColdShare = 0.12
	// minFallbackBound is the least bound with which fallback issuers issue at all: two
	// requests from the main issuer and one from each of three others stay within it.
	minFallbackBound = 5
	// maxColdRetryAfter bounds how long a gateway that got no permit leaves the target out,
	// which may be warm by then.
	maxColdRetryAfter = 2 * time.Second
	// noIssuerRetryAfter is when to ask again if this gateway isn't an issuer.
	noIssuerRetryAfter = 500 * time.Millisecond
)

// ColdIssuer issues permits, each for one request to a cold target. It is safe for
// concurrent use.
type ColdIssuer struct {
	mu      sync.Mutex
	windows map[placement.Process]*coldWindow
	sweptAt time.Time
}

// coldWindow has the permits for one target.
type coldWindow struct {
	createdAt, usedAt time.Time
	// issuedAt has the times of the permits in the last span.
	issuedAt []time.Time
	// waiting counts the requests without a permit since the last one was issued.
	waiting int
}

// NewColdIssuer returns an issuer that has issued no permit.
func NewColdIssuer() *ColdIssuer {
	return &ColdIssuer{windows: make(map[placement.Process]*coldWindow)}
}

// Acquire issues a permit for a request to a target that is cold since a time and may get
// at most bound requests in any second, from all gateways.
func (i *ColdIssuer) Acquire(p placement.Process, bound float64, role Role, since, now time.Time) Permit {
	most, span := coldShare(bound, role)
	if most == 0 {
		return Permit{RetryAfter: noIssuerRetryAfter}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	w := i.windows[p]
	if w == nil {
		w = &coldWindow{createdAt: now}
		i.windows[p] = w
	}
	w.usedAt = now
	for len(w.issuedAt) > 0 && now.Sub(w.issuedAt[0]) >= span {
		w.issuedAt = w.issuedAt[1:]
	}
	opensAt := latest(w.createdAt, since).Add(cautiousFor)
	if now.Before(opensAt) && len(w.issuedAt) < most/2 || !now.Before(opensAt) && len(w.issuedAt) < most {
		w.issuedAt = append(w.issuedAt, now)
		w.waiting = 0
		return Permit{Granted: true}
	}
	if len(w.issuedAt) >= most {
		opensAt = latest(opensAt, w.issuedAt[len(w.issuedAt)-most].Add(span))
	}
	behind := time.Duration(w.waiting) * span / time.Duration(most)
	w.waiting++
	return Permit{RetryAfter: min(max(opensAt.Sub(now)+behind, minRetryAfter), maxColdRetryAfter)}
}

// coldShare returns the most permits that an issuer issues in a span.
func coldShare(bound float64, role Role) (most int, span time.Duration) {
	switch {
	case bound <= 0 || role == NoIssuer:
		return 0, 0
	case role == FallbackIssuer && bound < minFallbackBound:
		return 0, 0
	case role == FallbackIssuer:
		return max(int(bound*fallbackColdShare), 1), permitSpan
	case bound < 1:
		return 1, time.Duration(float64(permitSpan) / bound)
	default:
		return max(int(bound*mainColdShare), 1), permitSpan
	}
}

// sweep drops the windows that weren't used for a while.
func (i *ColdIssuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < bucketRetention {
		return
	}
	i.sweptAt = now
	maps.DeleteFunc(i.windows, func(_ placement.Process, w *coldWindow) bool { return now.Sub(w.usedAt) > bucketRetention })
}
