package forwarder

import (
	"slices"

	"eelgrasspoint"
)

// nextCandidate returns the candidate of the next attempt, or nil. Candidates that refused the request
// because of their load become eligible again after MaxRedirects such refusals, or if there is no other
// candidate.
func (p *proxiedRequest) nextCandidate() *eelgrasspoint.Candidate {
	if len(p.overloaded) >= eelgrasspoint.MaxRedirects {
		p.readmitOverloaded()
	}
	candidate := p.choose()
	if candidate == nil && p.readmitOverloaded() {
		candidate = p.choose()
	}
	return candidate
}

// readmitOverloaded makes the overloaded candidates eligible again, since an overloaded backend server is
// better than none, and sets queueRequested. It does so at most once per request, and reports whether any
// candidate became eligible.
func (p *proxiedRequest) readmitOverloaded() bool {
	if p.queueRequested || len(p.overloaded) == 0 {
		return false
	}
	p.queueRequested = true
	p.tried = slices.DeleteFunc(p.tried, func(c *eelgrasspoint.Candidate) bool { return slices.Contains(p.overloaded, c) })
	return true
}

// cheaperToQueue reports whether queueing at the candidate costs less than a refusal and another attempt:
// if the candidate is in another region, or if it is in the entry node's availability zone and the body,
// which is long or of unknown length, would otherwise leave that zone.
func (p *proxiedRequest) cheaperToQueue(candidate *eelgrasspoint.Candidate) bool {
	if candidate.Region != p.self.Region {
		return true
	}
	return eelgrasspoint.ExpectsContinue(p.request.ContentLength) && candidate.AvailabilityZone == p.self.AvailabilityZone
}

// choose returns a candidate from the current snapshot, or nil. It reloads the snapshot, since an
// availability zone may have gone out of service after the request arrived.
func (p *proxiedRequest) choose() *eelgrasspoint.Candidate {
	f := p.forwarder
	p.snapshot = f.Holder.Load()
	requirements := &eelgrasspoint.Requirements{
		Region:           p.self.Region,
		AvailabilityZone: p.self.AvailabilityZone,
		Self:             p.self.Name,
		Meta:             &p.meta,
		Tried:            p.tried,
		SpillAllowed:     p.spillAllowed(),
		Queues:           p.queueRequested,
	}
	return f.Chooser.Choose(p.snapshot.Candidates[p.meta.Service], requirements, f.Clock(), f.Random)
}

// linkReserveRatio is the share of one second's bytes of the link budget that is kept for requests that
// can only be served in another region.
const linkReserveRatio = 0.5

// spillAllowed reports whether the request may be sent to another region. A request that can be served
// in this region needs budget above the reserve. A request whose home regions exclude this one may always
// be sent; its bytes are charged all the same.
func (p *proxiedRequest) spillAllowed() bool {
	if !p.meta.Permits(p.self.Region) {
		return true
	}
	return p.forwarder.Link.Allows(linkReserveRatio)
}

// noCandidateError returns lastErr, or a NoServer refusal if no attempt has failed.
func (p *proxiedRequest) noCandidateError(lastErr *eelgrasspoint.OutcomeError) *eelgrasspoint.OutcomeError {
	if lastErr != nil {
		return lastErr
	}
	return eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
}
