package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/streamorigin"
)

// lookupDivisor bounds the search for the origin of a stream by this fraction of the time
// that the request has left, so that the caller can try again.
const lookupDivisor = 3

// How the version of a stream was found that a caller takes up, in logs and metrics: by the
// attempt that the caller names, since its service had one version only, by that and by the
// request's fingerprint, or not at all.
const (
	originNamed       = "named"
	originSoleVersion = "sole_version"
	originFingerprint = "fingerprint"
	originUnknown     = "unknown"
)

// origin is where a stream began. A stream without events hasn't begun.
type origin struct {
	begun bool
	// version is that of the target which sent the first event; empty if it is unknown.
	version string
	// expected is set once a target's version was recorded for the stream before its first
	// event.
	expected bool
}

// resumesStream reports whether the caller takes up a stream.
func (a *admittedRequest) resumesStream() bool {
	return a.ResumeAfter != "" && a.route.Kind == catalog.Stream
}

// findOrigin finds out where the stream began that the caller takes up.
func (p *proxiedRequest) findOrigin(ctx context.Context) *errkind.Error {
	if !p.resumesStream() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.deadline.Sub(p.relay.Now())/lookupDivisor)
	defer cancel()
	began := p.relay.Now()
	var version string
	source := originUnknown
	if p.Resumes == "" {
		version, source = p.findUnnamedOrigin(ctx)
	} else if found, known := p.relay.Origins.Version(ctx, p.stream()); known {
		version, source = found, originNamed
	}
	p.relay.Metrics.Resumptions.WithLabelValues(source).Inc()
	p.relay.Log.Info("relay: a caller takes up a stream.", zap.String("request", p.ID), zap.String("resumes", p.Resumes),
		zap.String("origin", source), zap.String("version", version), zap.Duration("search", p.relay.Now().Sub(began)))
	if source == originUnknown {
		return errkind.New(errkind.OriginUnknown, "it isn't known at which version the stream began")
	}
	p.origin = origin{begun: true, version: version}
	return nil
}

// findUnnamedOrigin finds out where a stream began that the caller doesn't name. It goes on
// only if its service had one version in the lifetime of a stream. If the record of versions
// is younger than that, the stream must also be known by the request's fingerprint.
func (p *proxiedRequest) findUnnamedOrigin(ctx context.Context) (version, source string) {
	version, covers := p.relay.Origins.SoleVersion(ctx, p.service.Name, p.streamLifetime())
	switch {
	case version == "":
		return "", originUnknown
	case covers:
		return version, originSoleVersion
	}
	began, known := p.relay.Origins.Version(ctx, p.fingerprintStream())
	if !known || began != version {
		return "", originUnknown
	}
	return version, originFingerprint
}

// streamLifetime returns the most time that a stream of the route may take.
func (a *admittedRequest) streamLifetime() time.Duration {
	if a.route.Timeout > 0 {
		return a.route.Timeout
	}
	return defaultTimeout
}

// stream returns the stream that the request begins or takes up.
func (p *proxiedRequest) stream() streamorigin.Stream {
	if p.Resumes != "" {
		return streamorigin.StreamOf(p.workspaceName(), p.Resumes)
	}
	return streamorigin.StreamOf(p.workspaceName(), p.ID)
}

// fingerprintStream returns the streams of all attempts at the request. No attempt's id
// has a zero byte.
func (p *proxiedRequest) fingerprintStream() streamorigin.Stream {
	return streamorigin.StreamOf(p.workspaceName(), "\x00"+p.fingerprint.String())
}

// recordedStreams returns the streams under which the origin is recorded.
func (p *proxiedRequest) recordedStreams() []streamorigin.Stream {
	if p.relay.Origins.Covers(p.service.Name, p.streamLifetime()) {
		return []streamorigin.Stream{p.stream()}
	}
	return []streamorigin.Stream{p.stream(), p.fingerprintStream()}
}

// expectOrigin records, before the request is sent, that the target may begin the stream.
func (p *proxiedRequest) expectOrigin(target placement.Target) {
	if p.route.Kind != catalog.Stream || !p.route.Resumable || target.Version == "" || p.events > 0 {
		return
	}
	p.origin.expected = true
	for _, s := range p.recordedStreams() {
		p.relay.Origins.Expect(s, target.Version, p.deadline)
	}
}

// recordOrigin records that a target sends the first event of this answer. If another
// process has taken the target's place, it isn't known which of them sends it. It reports
// false if the event must not be passed on: a stream that was taken up may go on at another
// version then, or the row still names another version for a stream that begins.
func (p *proxiedRequest) recordOrigin(ctx context.Context, target placement.Target) bool {
	expected := p.origin.expected
	replaced := p.relay.Targets.Replaced(target)
	if replaced && p.resumesStream() {
		return false
	}
	p.origin = origin{begun: true}
	if !replaced {
		p.origin.version = target.Version
	}
	if !p.route.Resumable || !expected {
		return true
	}
	recorded := true
	for _, s := range p.recordedStreams() {
		recorded = p.relay.Origins.Began(ctx, s, p.origin.version, p.deadline) && recorded
	}
	return recorded
}

// mayPassOn reports whether the first event of an attempt may be passed on: it begins the
// stream, or goes on with it at the process that was picked for its version.
func (p *proxiedRequest) mayPassOn(ctx context.Context, target placement.Target) bool {
	if p.events == 0 {
		return p.recordOrigin(ctx, target)
	}
	return !p.relay.Targets.Replaced(target)
}

// beginsResumableStream reports whether the request is about to begin a stream that its
// caller may take up later.
func (p *proxiedRequest) beginsResumableStream() bool {
	return p.route.Kind == catalog.Stream && p.route.Resumable && !p.origin.begun
}

// awaitVersion waits for a short time until streams may begin at another listed version. It
// leaves the caller time to try again.
func (p *proxiedRequest) awaitVersion(ctx context.Context) bool {
	if !p.beginsResumableStream() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, p.deadline.Sub(p.relay.Now())/lookupDivisor)
	defer cancel()
	return p.relay.Origins.AwaitVersion(ctx, p.service.Name)
}

// allowsVersion returns the condition on the versions of targets, nil for none: a stream
// that may be taken up begins only at a version that is recorded.
func (p *proxiedRequest) allowsVersion() func(string) bool {
	if !p.beginsResumableStream() {
		return nil
	}
	// A pick asks for the version of each target; there are one or two versions.
	allowed := make(map[string]bool, 2)
	return func(version string) bool {
		allows, known := allowed[version]
		if !known {
			allows = p.relay.Origins.MayBegin(p.service.Name, version)
			allowed[version] = allows
		}
		return allows
	}
}
