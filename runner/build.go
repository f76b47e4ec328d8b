package runner

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/committer"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/exchanger"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/fetcher"
	"eelgrasspoint/coordination/forwarder"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/coordination/observer"
	"eelgrasspoint/coordination/operator"
	"eelgrasspoint/coordination/persister"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/replicator"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/coordination/selector"
	"eelgrasspoint/coordination/staggerer"
	"eelgrasspoint/coordination/tracker"
	"eelgrasspoint/coordination/withdrawer"
	"eelgrasspoint/protocol/registrar"
	"eelgrasspoint/protocol/responder"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/publisher"
	"eelgrasspoint/transport/compressor"
	"eelgrasspoint/transport/dispatcher"
	"eelgrasspoint/transport/messenger"
	"eelgrasspoint/transport/receiver"
	"eelgrasspoint/transport/recoverer"
	"eelgrasspoint/transport/restricter"
	"eelgrasspoint/transport/weigher"
)

func (r *Runner) buildDataPlane() {
	clock := r.options.Clock
	limit := r.options.Limiter
	if limit == nil {
		limit = limiter.New(eelgrasspoint.DefaultSlots)
	}
	r.admitter = admitter.New(limit, clock)
	if r.options.TellsLoad {
		r.admitter = admitter.NewWithReportedLoad(limit, clock)
	}
	r.quarantiner = quarantiner.New(clock)
	r.retrier = retrier.New(r.retryLimits())
	r.controlClient = &http.Client{Transport: messenger.New(r.controlDialer.DialContext)}
	r.executor = executor.New(executor.Options{
		Holder: r.holder, Admitter: r.admitter, Quarantiner: r.quarantiner, Recorder: r.recorder,
		Clock: clock, Dial: r.options.BackendDial, Report: r.reportCrash, Quarantined: func() { r.persister.Found() }, Contract: r.options.Contract,
		TellsLoad: r.options.TellsLoad, CountCheck: r.meter.CountHealthCheck, CountArrival: r.meter.CountArrival, Leaving: r.markLeaving,
	})
	r.peers = dispatcher.New(r.options.Dial, r.settings.Region, clock)
}

func (r *Runner) buildControlPlane() {
	clock := r.options.Clock
	r.controller = controller.New(controller.Options{
		Self: eelgrasspoint.Member{
			Name: r.settings.Name, Region: r.settings.Region, AvailabilityZone: r.settings.AvailabilityZone,
			PeerAddress: r.settings.AdvertisedAddress, Incarnation: uint64(clock().UnixNano()),
		},
		Holder: r.holder, Recorder: r.recorder, Clock: clock,
		SetBackend: r.executor.SetBackend, SetBudgets: r.setBudgets,
		AnnouncementTTL: r.settings.AnnouncementTTL, SetCold: r.admitter.SetCold, ZoneBack: r.executor.InvalidateReports,
		Restoring: true, Confirm: r.confirmation(), ObserveApply: r.observeApply,
	})
	r.fetcher = fetcher.New(fetcher.Options{
		Controller: r.controller, Client: r.controlClient, Recorder: r.recorder, Meter: r.meter, Clock: clock,
	})
	r.tracker = tracker.New()
	r.selector = selector.New(clock)
	r.observer = observer.New(observer.Options{
		Tracker: r.tracker,
		Cluster: r.settings.Cluster, Controller: r.controller, Client: r.controlClient, Recorder: r.recorder, Fetch: r.fetcher.Fetch,
		Tell:       r.tellsOfChanges,
		DeadClient: &http.Client{Transport: messenger.NewWithoutReuse(r.controlDialer.DialContext)},
		Witness:    r.recorder.AdvanceClock, Now: r.recorder.Now, Meter: r.meter, Clock: clock, Refreshed: r.holder.MarkRefreshed,
		Settled: r.settle, Quarantiner: r.quarantiner,
	})
	r.table = r.options.Table(r.meter.CountStoreCall)
	r.persister = persister.New(persister.Options{
		Region: r.settings.Region, Quarantiner: r.quarantiner, Table: r.table, Recorder: r.recorder, Clock: clock, Keeps: r.firstInRegion,
	})
	r.replicator = replicator.New(replicator.Options{
		Name: r.settings.Name, Controller: r.controller, Table: r.table, Spread: r.observer.Spread, Recorder: r.recorder, Clock: clock,
		RestoreQuarantines: r.persister.Restore,
	})
	rowPublisher := publisher.New(r.table)
	r.staggerer = staggerer.New(eelgrasspoint.ChangesCallInterval, eelgrasspoint.MaxChangesWait)
	r.source = &polledSource{publisher: rowPublisher, sleep: r.sleepJittered, clock: clock}
	if r.options.Source != nil {
		r.source = r.options.Source(r.changesWait)
	}
	r.committer = committer.New(committer.Options{Controller: r.controller, Publisher: rowPublisher, Recorder: r.recorder})
}

// configurationPath is the path of the calls for the configuration of a node.
const configurationPath = schema.ExchangePathPrefix + "Configuration"

func (r *Runner) buildServers() servers {
	limits := newNodeLimits(r.settings, r.meter.CountRestricted)
	local := weigher.New(r.executor, limits.answers)
	return newServers(handlers{
		limits: limits,
		callers: r.restricted(callerServer, limits.callers.restricter, r.refuseCaller, r.recovering(callerServer, r.callerRequestID, forwarder.New(forwarder.Options{
			Holder: r.holder, Chooser: r.chooser(), Retrier: r.retrier, Link: r.linkBudget, Peers: weigher.New(r.peers, limits.answers),
			Local: local, Meter: r.meter, Recorder: r.recorder, Clock: r.options.Clock,
			Random: r.random(), MaxBodyBytes: r.settings.MaxBodyBytes,
			Contract: r.options.Contract, Service: r.settings.Service, Fetch: r.fetchFrom, Stopping: r.stopping.Load,
		}))),
		attempts: r.restricted(peerServer, limits.peers.restricter, r.refuseAttempt, r.recovering(peerServer, peerRequestID, receiver.New(receiver.Options{
			Name: r.settings.Name, Holder: r.holder, Executor: local, Load: r.load, Clock: r.options.Clock,
			Contract: r.options.Contract, Recorder: r.recorder,
			Withdrawer: withdrawer.New(r.options.Clock),
			Measuring:  r.measuringBudget, Count: r.meter.AddMeasuringBytes,
		}))),
		exchange: r.restricted(peerServer, limits.exchange, refuseCall, compressor.New(configurationPath, schema.NewExchangeServer(exchanger.New(exchanger.Options{
			Tracker: r.tracker, Clock: r.options.Clock,
			Cluster: r.settings.Cluster, Controller: r.controller, Recorder: r.recorder, Load: r.load, Witness: r.recorder.AdvanceClock,
			Now: r.recorder.Now, Heard: r.selector.Hear, StartFetch: r.fetcher.Start, Events: r.timelineEvents, Quarantiner: r.quarantiner,
			Settled: r.settled.Load,
		})))),
		operators: r.restricted(controlServer, limits.control.restricter, refuseCall, schema.NewOperatorsServer(operator.New(operator.Options{
			Cluster: r.settings.Cluster, Controller: r.controller, Committer: r.committer, Holder: r.holder,
			Client: r.controlClient, Load: r.load, Events: r.timelineEvents, Clock: r.options.Clock,
			Published: r.options.Source != nil,
		}))),
		registration:  r.restricted(controlServer, limits.control.restricter, refuseCall, registrar.New(r.announce, r.recorder)),
		readiness:     r.restricted(readinessServer, limits.readiness.restricter, refuseCall, r.readinessHandler()),
		announcements: r.restricted(announcementServer, limits.announcements.restricter, refuseCall, r.announcementHandler()),
		metrics:       r.restricted(controlServer, limits.control.restricter, refuseCall, promhttp.HandlerFor(r.meter.Registry(), promhttp.HandlerOpts{})),
	}, r.recorder)
}

// restricted wraps the handler of a server, so that requests above its limits are refused.
func (r *Runner) restricted(server string, options restricter.Options, refuse http.HandlerFunc, handler http.Handler) http.Handler {
	options.Refuse = func(w http.ResponseWriter, request *http.Request) {
		r.meter.CountRestricted(server)
		refuse(w, request)
	}
	return restricter.New(options, handler)
}

// refuseCaller refuses a request of a caller.
func (r *Runner) refuseCaller(w http.ResponseWriter, request *http.Request) {
	responder.Write(w, r.options.Contract, r.callerRequestID(request), eelgrasspoint.Refuse(eelgrasspoint.Overloaded, ""))
}

// refuseAttempt refuses an attempt of another node, which may send it elsewhere.
func (r *Runner) refuseAttempt(w http.ResponseWriter, request *http.Request) {
	w.Header()[eelgrasspoint.HeaderReason] = []string{eelgrasspoint.Overloaded.String()}
	responder.Write(w, r.options.Contract, peerRequestID(request), eelgrasspoint.Refuse(eelgrasspoint.Overloaded, ""))
}

// refuseCall refuses a call of a node or an operator.
func refuseCall(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "too many calls at once", http.StatusServiceUnavailable)
}

// recovering wraps the handler of a server, so that its panics are recorded and the requests answered.
func (r *Runner) recovering(server string, requestID func(*http.Request) string, handler http.Handler) http.Handler {
	return recoverer.New(recoverer.Options{
		Server: server, Recorder: r.recorder, Count: r.meter.CountPanic, RequestID: requestID, Respond: r.respondInternalError,
	}, handler)
}

// respondInternalError answers a request of a caller, or an attempt of another node.
func (r *Runner) respondInternalError(w http.ResponseWriter, requestID string) {
	err := &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: eelgrasspoint.InternalError}
	responder.Write(w, r.options.Contract, requestID, err)
}

func (r *Runner) callerRequestID(request *http.Request) string {
	call, _ := r.options.Contract.ReadCall(request)
	return call.RequestID
}

func peerRequestID(request *http.Request) string {
	return request.Header.Get(eelgrasspoint.HeaderRequestID)
}
