package relay

import (
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

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
