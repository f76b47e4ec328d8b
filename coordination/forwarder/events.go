package forwarder

import (
	"time"

	"eelgrasspoint"
)

// record writes an event unless this node's region may not store anything of the request.
func (p *passage) record(number eelgrasspoint.EventNumber, detail string, inputs ...eelgrasspoint.Input) {
	if !p.meta.Permits(p.self.Region) {
		return
	}
	p.forwarder.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: p.meta.Service, RequestID: p.meta.RequestID,
		AvailabilityZone: p.self.AvailabilityZone, Detail: detail, Permitted: p.meta.Permitted,
		Inputs: append(inputs,
			eelgrasspoint.Input{Name: "Route", Value: p.meta.Route},
			eelgrasspoint.Input{Name: "Revision", Value: p.meta.Revision},
			eelgrasspoint.Input{Name: "Attempts", Value: p.attempts},
			eelgrasspoint.Input{Name: "Arrivals", Value: p.arrivals.Load()}),
	})
}

// recordRetry says why an attempt ended and what was known of its candidate.
func (p *passage) recordRetry(last *eelgrasspoint.OutcomeError) {
	candidate := p.tried[len(p.tried)-1]
	load, at := candidate.Gauge.Load()
	inputs := []eelgrasspoint.Input{
		{Name: "ExitNode", Value: candidate.Node},
		{Name: "InUse", Value: load.InUse},
		{Name: "Limit", Value: load.Limit},
		{Name: "Queued", Value: load.Queued},
		{Name: "Slowness", Value: load.Slowness},
	}
	if !at.IsZero() {
		inputs = append(inputs, eelgrasspoint.Input{Name: "AgeMilliseconds", Value: p.forwarder.Clock().Sub(at).Milliseconds()})
	}
	p.record(eelgrasspoint.EventRequestRetried, last.Error(), inputs...)
}

// recordEnd says how the request ended at this node.
func (p *passage) recordEnd(number eelgrasspoint.EventNumber, detail string, began time.Time, status int) {
	now := p.forwarder.Clock()
	inputs := []eelgrasspoint.Input{
		{Name: "Status", Value: status}, {Name: "TookMilliseconds", Value: now.Sub(began).Milliseconds()},
	}
	if !p.meta.Deadline.IsZero() {
		inputs = append(inputs, eelgrasspoint.Input{Name: "LeftMilliseconds", Value: p.meta.Deadline.Sub(now).Milliseconds()})
	}
	if len(p.tried) > 0 {
		inputs = append(inputs, eelgrasspoint.Input{Name: "ExitNode", Value: p.tried[len(p.tried)-1].Node})
	}
	p.record(number, detail, inputs...)
}
