package forwarder

import (
	"slices"

	"eelgrasspoint"
)

// next chooses a candidate, and one that refused for its load after a few such refusals.
func (p *passage) next() *eelgrasspoint.Candidate {
	if len(p.busy) >= eelgrasspoint.MaxRedirects {
		p.insist()
	}
	candidate := p.choose()
	if candidate == nil && p.insist() {
		candidate = p.choose()
	}
	return candidate
}

// insist makes candidates that refused only for their load eligible again: a busy backend
// server is better than none.
func (p *passage) insist() bool {
	if p.insisting || len(p.busy) == 0 {
		return false
	}
	p.insisting = true
	p.tried = slices.DeleteFunc(p.tried, func(c *eelgrasspoint.Candidate) bool { return slices.Contains(p.busy, c) })
	return true
}

// dearToMove reports whether a wait at the candidate costs less than a refusal and another attempt:
// over the link to another region, or with a long body that would leave the availability zone.
func (p *passage) dearToMove(candidate *eelgrasspoint.Candidate) bool {
	if candidate.Region != p.self.Region {
		return true
	}
	return eelgrasspoint.ExpectsContinue(p.request.ContentLength) && candidate.AvailabilityZone == p.self.AvailabilityZone
}

// choose asks for a candidate as the snapshot of this moment has them: a zone may have left
// since the request came.
func (p *passage) choose() *eelgrasspoint.Candidate {
	f := p.forwarder
	p.snapshot = f.Holder.Load()
	need := &eelgrasspoint.Requirements{
		Region:           p.self.Region,
		AvailabilityZone: p.self.AvailabilityZone,
		Self:             p.self.Name,
		Meta:             &p.meta,
		Tried:            p.tried,
		SpillAllowed:     p.mayCrossLink(),
	}
	return f.Chooser.Choose(p.snapshot.Candidates[p.meta.Service], need, f.Clock(), f.Random)
}

// spillReserve is the share of the link's budget kept for requests that have no other way.
const spillReserve = 0.5

// mayCrossLink keeps what could be served here within the budget. A request that is bound to
// another region has no other way and is only counted.
func (p *passage) mayCrossLink() bool {
	if !p.meta.Permits(p.self.Region) {
		return true
	}
	return p.forwarder.Link.Allows(spillReserve)
}

// noCandidate says why no attempt can follow.
func (p *passage) noCandidate(last *eelgrasspoint.OutcomeError) *eelgrasspoint.OutcomeError {
	if last != nil {
		return last
	}
	return eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
}
