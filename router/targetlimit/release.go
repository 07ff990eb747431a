package targetlimit

import (
	"context"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
)

// releasers is the number of issuers that are told of ended requests concurrently.
const releasers = 4

// Release tells the issuer of a permit how its request ended. It never blocks.
func (l *Limiter) Release(target placement.Target, p targetlimit.Permit, o targetlimit.Outcome) {
	if p.ID == 0 {
		return
	}
	if p.Issuer == "" {
		l.rooms.Release(target.Process(), p.ID, o, l.Now())
		return
	}
	outcome := &pb.PermitOutcome{TargetId: target.ID, StartTimeMs: target.StartTimeMs, Permit: p.ID, Refused: o.Refused}
	outcome.Load, outcome.LoadAgeMs = encodeReport(o.Report)
	select {
	case l.releases <- release{address: p.Issuer, outcome: outcome}:
	default: // the permit expires
	}
}

// tellReleases tells issuers of ended requests until ctx ends.
func (l *Limiter) tellReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.releases:
			for address, req := range l.collect(first) {
				l.tellRelease(ctx, address, req)
			}
		}
	}
}

// collect adds the ended requests that are pending to the first one, by issuer.
func (l *Limiter) collect(first release) map[string]*pb.ReleasePermitsRequest {
	byIssuer := map[string]*pb.ReleasePermitsRequest{first.address: {Outcomes: []*pb.PermitOutcome{first.outcome}}}
	for range maxReleases {
		select {
		case next := <-l.releases:
			req := byIssuer[next.address]
			if req == nil {
				req = &pb.ReleasePermitsRequest{}
				byIssuer[next.address] = req
			}
			req.Outcomes = append(req.Outcomes, next.outcome)
		default:
			return byIssuer
		}
	}
	return byIssuer
}

func (l *Limiter) tellRelease(ctx context.Context, address string, req *pb.ReleasePermitsRequest) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := l.Peers.Release(ctx, address, req)
	if err != nil {
		l.Log.Info("limit: can't tell the issuer of permits that requests have ended; the permits expire.", zap.String("gateway", address),
			zap.Int("requests", len(req.Outcomes)), zap.Error(err))
	}
}

// recordReleases records how requests ended for which this gateway issued permits.
func (l *Limiter) recordReleases(req *pb.ReleasePermitsRequest) {
	now := l.Now()
	for _, outcome := range req.Outcomes {
		o := targetlimit.Outcome{Refused: outcome.Refused, Report: decodeReport(outcome.Load, outcome.LoadAgeMs)}
		l.rooms.Release(placement.Process{ID: outcome.TargetId, StartTimeMs: outcome.StartTimeMs}, outcome.Permit, o, now)
	}
}
