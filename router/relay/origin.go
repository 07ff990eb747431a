package relay

import (
	"context"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/streamorigin"
)

// origin is where a stream began. A stream without events hasn't begun.
type origin struct {
	begun bool
	// version is that of the target which sent the first event; empty if it is unknown.
	version string
}

// findOrigin finds out where the stream began that the caller takes up. A caller that
// doesn't name it gets the version of all targets, if there is only one.
func (p *proxiedRequest) findOrigin(ctx context.Context) *errkind.Error {
	if p.ResumeAfter == "" || p.route.Kind != catalog.Stream {
		return nil
	}
	var version string
	var known bool
	if p.Resumes == "" {
		version, known = p.relay.Targets.SoleVersion(p.service.Name)
	} else {
		version, known = p.relay.Origins.Version(ctx, p.stream())
	}
	if !known {
		return errkind.New(errkind.OriginUnknown, "it isn't known at which version the stream began")
	}
	p.origin = origin{begun: true, version: version}
	return nil
}

// stream returns the stream that the request begins or takes up.
func (p *proxiedRequest) stream() streamorigin.Stream {
	if p.Resumes != "" {
		return streamorigin.StreamOf(p.workspaceName(), p.Resumes)
	}
	return streamorigin.StreamOf(p.workspaceName(), p.ID)
}

// recordOrigin records that a target sends the first event of this answer. If another
// process has taken the target's place, it isn't known which of them sends it.
func (p *proxiedRequest) recordOrigin(target placement.Target) {
	p.origin = origin{begun: true}
	if p.relay.Targets.Replaced(target) {
		return
	}
	p.origin.version = target.Version
	if p.route.Resumable && target.Version != "" {
		p.relay.Origins.Began(p.stream(), target.Version, p.deadline)
	}
}
