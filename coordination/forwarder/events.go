package forwarder

import (
	"time"

	"eelgrasspoint"
)

// record writes an event of the request, unless data residency forbids storing it in this region.
func (p *proxiedRequest) record(number eelgrasspoint.EventNumber, detail string, inputs ...eelgrasspoint.Input) {
	if !p.meta.Permits(p.self.Region) {
		return
	}
	p.forwarder.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: p.meta.Service, RequestID: p.meta.RequestID,
		AvailabilityZone: p.self.AvailabilityZone, Detail: detail, Permitted: p.meta.Permitted,
		Inputs: append(inputs,
			eelgrasspoint.Input{Name: "Route", Value: p.meta.Route},
			eelgrasspoint.Input{Name: "Revision", Value: p.meta.Revision.String()},
			eelgrasspoint.Input{Name: "Attempts", Value: p.attempts},
			eelgrasspoint.Input{Name: "Arrivals", Value: p.deliveredAttempts.Load()}),
	})
}

// recordRetry records why the attempt at the candidate failed, with the candidate's last load hint.
func (p *proxiedRequest) recordRetry(candidate *eelgrasspoint.Candidate, lastErr *eelgrasspoint.OutcomeError) {
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
	p.record(eelgrasspoint.EventRequestRetried, lastErr.Error(), inputs...)
}

// recordError records the error that the request ended with. If the configuration decided it, the line says which one it
// was and how old it is.
func (p *proxiedRequest) recordError(err *eelgrasspoint.OutcomeError, took time.Duration) {
	var inputs []eelgrasspoint.Input
	if err.Reason.ByConfiguration() && p.configuration != nil {
		inputs = p.configuration.Inputs(p.forwarder.Clock(), p.forwarder.Holder.ReadAt())
	}
	p.recordEnd(errorEvent(err), err.Error(), took, eelgrasspoint.Status(err.Outcome, err.Reason), inputs...)
}

// recordEnd records the result of the request: status, time until the answer or error was available
// (without relaying it), time left before the deadline and exit node of the attempt that ended last.
func (p *proxiedRequest) recordEnd(number eelgrasspoint.EventNumber, detail string, took time.Duration, status int, inputs ...eelgrasspoint.Input) {
	inputs = append(inputs,
		eelgrasspoint.Input{Name: "Status", Value: status},
		eelgrasspoint.Input{Name: "TookMilliseconds", Value: took.Milliseconds()})
	if !p.meta.Deadline.IsZero() {
		left := p.meta.Deadline.Sub(p.forwarder.Clock())
		inputs = append(inputs, eelgrasspoint.Input{Name: "LeftMilliseconds", Value: left.Milliseconds()})
	}
	if p.lastEnded != nil {
		inputs = append(inputs, eelgrasspoint.Input{Name: "ExitNode", Value: p.lastEnded.Node})
	}
	p.record(number, detail, inputs...)
}

// recordCutShort records and counts an answer of which the caller got only a part.
func (p *proxiedRequest) recordCutShort(err error, took time.Duration, status int) {
	p.forwarder.Meter.CountCutShort(p.meta.Service, err)
	p.recordEnd(eelgrasspoint.EventAnswerCutShort, err.Error(), took, status)
}
