package executor

import "eelgrasspoint"

// recordFailure records why an attempt ended without an answer from the backend server. It records
// nothing outside the request's home regions. r is nil if the attempt was not admitted.
func (e *Executor) recordFailure(meta *eelgrasspoint.RequestMetadata, outcome *eelgrasspoint.OutcomeError, r *run) {
	snapshot := e.options.Holder.Load()
	if !meta.Permits(snapshot.Self.Region) {
		return
	}
	number := eelgrasspoint.EventAttemptFailed
	if outcome.Outcome == eelgrasspoint.NotRun {
		number = eelgrasspoint.EventAttemptRefused
	}
	load := e.Load()
	report := e.lastLoadReport()
	inputs := []eelgrasspoint.Input{
		{Name: "Attempt", Value: meta.Attempt},
		{Name: "Insists", Value: meta.Insists},
		{Name: "InUse", Value: load.InUse},
		{Name: "Limit", Value: load.Limit},
		{Name: "Queued", Value: load.Queued},
		{Name: "LeftMilliseconds", Value: eelgrasspoint.Remaining(meta.Deadline, e.options.Clock()).Milliseconds()},
		{Name: "Revision", Value: snapshot.Configuration.Revision.String()},
	}
	if !report.receivedAt.IsZero() {
		inputs = append(inputs,
			eelgrasspoint.Input{Name: "Slowness", Value: report.load.Slowness},
			eelgrasspoint.Input{Name: "AgeMilliseconds", Value: e.options.Clock().Sub(report.receivedAt).Milliseconds()})
	}
	if r != nil {
		inputs = append(inputs, r.lostRunInputs()...)
	}
	e.options.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: meta.Service, RequestID: meta.RequestID, Permitted: meta.Permitted,
		AvailabilityZone: snapshot.Self.AvailabilityZone, Detail: outcome.Error(), Inputs: inputs,
	})
}

func (e *Executor) record(number eelgrasspoint.EventNumber, service, detail string) {
	e.options.Recorder.Record(eelgrasspoint.Event{
		Number: number, Service: service,
		AvailabilityZone: e.options.Holder.Load().Self.AvailabilityZone, Detail: detail,
	})
}
