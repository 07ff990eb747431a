package relay

import (
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// placementRequest returns what decides which target gets the next send.
func (p *proxiedRequest) placementRequest() *placement.Request {
	return &placement.Request{
		Service:      p.service.Name,
		Affinity:     p.Prompt.affinityHash(),
		SharedTokens: p.Prompt.sharedTokens(),
		PromptTokens: p.Prompt.inputTokens(),
		Version:      p.origin.version,
		Homes:        p.homes(),
		Exclude:      p.triedTargets,
		Now:          p.relay.Now(),
		SilentSince:  p.silentSince,

		MaxOutputTokens: p.Prompt.maxOutputTokens(),
		Route:           p.route.Name,
		Workspace:       p.workspaceName(),
	}
}

// refuseByLocation refuses a request that no data centre may get. It is called before
// the origin of a stream is looked up and tokens are reserved, which may take a while, and
// again once the version is known that a stream needs.
func (p *proxiedRequest) refuseByLocation() *errkind.Error {
	refusal := p.relay.Targets.RefusedByLocation(&placement.Request{Service: p.service.Name, Version: p.origin.version, Homes: p.homes()})
	if refusal != nil {
		p.relay.Metrics.RefusedByLocation.Inc()
	}
	return refusal
}
