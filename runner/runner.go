// Package runner puts a node together and runs it until it is told to stop.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/chooser"
	"eelgrasspoint/coordination/committer"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/exchanger"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/forwarder"
	"eelgrasspoint/coordination/limiter"
	"eelgrasspoint/coordination/observer"
	"eelgrasspoint/coordination/operator"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/reporter"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/registrar"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/meter"
	"eelgrasspoint/state/publisher"
	"eelgrasspoint/state/recorder"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/dispatcher"
	"eelgrasspoint/transport/receiver"
)

// Runner is one node.
type Runner struct {
	options  Options
	settings *loader.Settings
	// tunable are the newest settings, of which only the reloadable ones may be read.
	tunable    atomic.Pointer[loader.Settings]
	retrier    *retrier.Retrier
	control    *dialer.Dialer
	holder     *holder.Holder
	recorder   *recorder.Recorder
	meter      *meter.Meter
	admitter   *admitter.Admitter
	quarantine *quarantiner.Quarantiner
	executor   *executor.Executor
	controller *controller.Controller
	observer   *observer.Observer
	table      eelgrasspoint.Table
	source     eelgrasspoint.Source
	committer  *committer.Committer
	link       *budgeter.Budgeter
	measuring  *budgeter.Budgeter
	peers      *dispatcher.Dispatcher
	client     *http.Client
	servers    servers

	storeIsDown atomic.Bool
	abortOnce   sync.Once
	aborted     chan struct{}
	stopping    atomic.Bool
	wasReady    atomic.Bool
}

// Options are what a node is given from outside, so that a test can give something else.
type Options struct {
	Settings *loader.Settings
	Table    func(count func(call, result string)) eelgrasspoint.Table
	Dial     dialer.Func
	Listen   func(network, address string) (net.Listener, error)
	Log      logrus.FieldLogger
	Clock    eelgrasspoint.Clock
	Seed     uint64
	Chooser  eelgrasspoint.Chooser
	Limiter  eelgrasspoint.Limiter
	// Source publishes the configuration; without it, operators change a row of the table by calls.
	Source func(count func(call, result string)) eelgrasspoint.Source
	// Contract is the one with callers and backend servers; the default is the project's own.
	Contract eelgrasspoint.Contract
	// TellsLoad is set if backend servers tell their load beside their answers.
	TellsLoad bool
	// Announcements and Readiness serve the addresses of the settings with the same names.
	Announcements func(announce func(eelgrasspoint.Announcement), recorder eelgrasspoint.Recorder) http.Handler
	Readiness     func(ready func() bool) http.Handler
}

// New wires a node:
//
//	callers -> forwarder -> executor -> backend server
//	               |            ^
//	               v            |
//	  dispatcher -> (peers) -> receiver
//
//	backend server -> registrar -> controller <- observer, exchanger <- peers
//	operators      -> operator -> committer -> publisher -> platform
//	                  controller -> holder -> forwarder, executor, receiver
func New(options Options) *Runner {
	if options.Contract == nil {
		options.Contract = parser.New()
	}
	r := &Runner{options: options, settings: options.Settings, aborted: make(chan struct{})}
	r.tunable.Store(r.settings)
	r.control = dialer.New(options.Dial)
	r.recorder = recorder.New(r.settings.Name, options.Clock, options.Log)
	r.holder = holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}})
	r.meter = meter.New(meter.Source{Load: r.load, Revision: r.revision, Members: r.nodes, ControlBytes: r.control.Bytes})
	r.link = budgeter.New(eelgrasspoint.LinkBytesPerSecond, options.Clock)
	r.measuring = budgeter.New(eelgrasspoint.MeasuringBytesPerSecond, options.Clock)
	r.buildTraffic()
	r.buildControl()
	r.servers = r.buildServers()
	return r
}

func (r *Runner) buildTraffic() {
	clock := r.options.Clock
	limit := r.options.Limiter
	if limit == nil {
		limit = limiter.New(eelgrasspoint.DefaultSlots)
	}
	r.admitter = admitter.New(limit, clock)
	if r.options.TellsLoad {
		r.admitter = admitter.NewWithReportedLoad(limit, clock)
	}
	r.quarantine = quarantiner.New(clock)
	r.retrier = retrier.New(r.retryLimits())
	r.client = &http.Client{Transport: dispatcher.NewTransport(r.control.DialContext)}
	r.executor = executor.New(executor.Options{
		Holder: r.holder, Admitter: r.admitter, Quarantiner: r.quarantine, Recorder: r.recorder,
		Clock: clock, Dial: r.options.Dial, Report: r.reportCrash, Contract: r.options.Contract,
		TellsLoad: r.options.TellsLoad, CountCheck: r.meter.CountHealthCheck,
	})
	r.peers = dispatcher.New(r.options.Dial, r.settings.Region, clock)
}

func (r *Runner) buildControl() {
	clock := r.options.Clock
	r.controller = controller.New(controller.Options{
		Self: eelgrasspoint.Member{
			Name: r.settings.Name, Region: r.settings.Region, AvailabilityZone: r.settings.AvailabilityZone,
			PeerAddress: r.settings.AdvertisedAddress, Incarnation: uint64(clock().UnixNano()),
		},
		Holder: r.holder, Recorder: r.recorder, Clock: clock,
		SetBackend: r.executor.SetBackend, SetBudgets: r.setBudgets,
		AnnouncementTTL: r.settings.AnnouncementTTL, SetCold: r.admitter.SetCold, ZoneBack: r.executor.InvalidateLoad,
	})
	r.observer = observer.New(observer.Options{
		Cluster: r.settings.Cluster, Controller: r.controller, Client: r.client, Recorder: r.recorder,
		Witness: r.recorder.AdvanceClock, Now: r.recorder.Now, Meter: r.meter, Clock: clock, Refreshed: r.holder.MarkRefreshed,
	})
	r.table = r.options.Table(r.meter.CountStoreCall)
	rows := publisher.New(r.table)
	r.source = &polledSource{publisher: rows, sleep: r.sleep}
	if r.options.Source != nil {
		r.source = r.options.Source(r.meter.CountStoreCall)
	}
	r.committer = committer.New(committer.Options{Controller: r.controller, Publisher: rows, Recorder: r.recorder})
}

func (r *Runner) buildServers() servers {
	return newServers(handlers{
		callers: forwarder.New(forwarder.Options{
			Holder: r.holder, Chooser: r.chooser(), Retrier: r.retrier, Link: r.link, Peers: r.peers,
			Local: r.executor, Meter: r.meter, Recorder: r.recorder, Clock: r.options.Clock,
			Random: r.random(), MaxBodyBytes: r.settings.MaxBodyBytes,
			Contract: r.options.Contract, Service: r.settings.Service, CatchUp: r.catchUpFrom, Stopping: r.stopping.Load,
		}),
		attempts: receiver.New(receiver.Options{
			Name: r.settings.Name, Holder: r.holder, Executor: r.executor, Load: r.load, Clock: r.options.Clock,
			Contract:  r.options.Contract,
			Measuring: r.measuring, Count: r.meter.AddMeasuringBytes,
		}),
		exchange: schema.NewExchangeServer(exchanger.New(exchanger.Options{
			Cluster: r.settings.Cluster, Controller: r.controller, Recorder: r.recorder, Load: r.load, Witness: r.recorder.AdvanceClock,
			Now: r.recorder.Now, Pull: r.pull, Events: r.events, Crashed: r.crashed,
		})),
		operators: schema.NewOperatorsServer(operator.New(operator.Options{
			Cluster: r.settings.Cluster, Controller: r.controller, Committer: r.committer, Holder: r.holder,
			Client: r.client, Load: r.load, Events: r.events, Clock: r.options.Clock,
			Published: r.options.Source != nil,
		})),
		announce: registrar.New(r.announce, r.recorder),
		ready:    r.readiness(),
		reports:  r.announcements(),
		metrics:  promhttp.HandlerFor(r.meter.Registry(), promhttp.HandlerOpts{}),
	})
}

// Run serves until the context ends, then stops without cutting off what is in flight.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.servers.listen(r.options.Listen, r.settings); err != nil {
		return err
	}
	r.holder.MarkRefreshed(r.options.Clock())
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.record(eelgrasspoint.EventNodeStarted, r.settings.PeerAddress.String())
	go r.controller.Run(background)
	go r.observer.Run(background)
	go r.join(background)
	go r.follow(background)
	go r.greet(background)
	failed := r.servers.serve()
	select {
	case err := <-failed:
		return err
	case <-r.aborted:
		r.servers.close()
		r.close()
		return nil
	case <-ctx.Done():
		defer r.close()
		return r.stop()
	}
}

// close ends the connections that the node opened itself.
func (r *Runner) close() {
	r.peers.Close()
	r.executor.Close()
	r.client.CloseIdleConnections()
}

func (r *Runner) chooser() eelgrasspoint.Chooser {
	if r.options.Chooser != nil {
		return r.options.Chooser
	}
	return chooser.New()
}

// retryLimits are those of the settings, or of the project's own contract.
func (r *Runner) retryLimits() retrier.Limits {
	budget := r.tunable.Load().RetryBudget
	if budget.Window == 0 {
		return retrier.DefaultLimits()
	}
	return retrier.SharedLimits(budget.Share, budget.Slack, r.nodes)
}

// catchUpFrom fetches what another node has configured after a revision and waits until it is in force.
func (r *Runner) catchUpFrom(ctx context.Context, from *eelgrasspoint.Candidate, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	r.observer.PullConfiguration(ctx, eelgrasspoint.Member{Name: from.Node, PeerAddress: from.PeerAddress}, after)
	r.controller.WaitApplied()
}

func (r *Runner) random() *rand.Rand { return eelgrasspoint.NewRandom(r.options.Seed) }

func (r *Runner) load() eelgrasspoint.Load { return r.executor.Load() }

func (r *Runner) revision() uint64 { return r.holder.Load().Configuration.Revision }

func (r *Runner) nodes() int { return r.holder.Load().Nodes }

func (r *Runner) announce(backend *eelgrasspoint.BackendServer) {
	r.controller.Submit(controller.UpdateBackend{Announcement: eelgrasspoint.Announcement{Backend: backend}})
}

func (r *Runner) reportCrash(crash executor.Crash) {
	reporter.New(r.controller, r.client).Report(crash)
}

func (r *Runner) crashed(crash string, fingerprints []uint64) {
	r.quarantine.RecordCrash(crash, fingerprints)
}

func (r *Runner) events(request *schema.TimelineRequest) []eelgrasspoint.Event {
	var found []eelgrasspoint.Event
	for _, event := range r.recorder.Events(time.Unix(0, int64(request.GetAfterWall()))) {
		if operator.MatchesRequest(event, request) {
			found = append(found, event)
		}
	}
	if over := len(found) - eelgrasspoint.MaxTimelineEvents; over > 0 {
		found = found[over:]
	}
	return found
}

// setBudgets shares the budget of the link among the nodes of the region.
func (r *Runner) setBudgets(document *eelgrasspoint.Document, nodesInRegion int) {
	link, measuring := uint32(eelgrasspoint.LinkBytesPerSecond), uint32(eelgrasspoint.MeasuringBytesPerSecond)
	for _, budget := range document.Budgets {
		switch budget.Name {
		case eelgrasspoint.BudgetLink:
			link = budget.BytesPerSecond
		case eelgrasspoint.BudgetMeasuring:
			measuring = budget.BytesPerSecond
		}
	}
	r.link.SetRate(link / uint32(max(nodesInRegion, 1)))
	r.measuring.SetRate(measuring)
	r.setColdLimit(document)
}

// setColdLimit bounds the rate of requests to the backend server while it is cold.
func (r *Runner) setColdLimit(document *eelgrasspoint.Document) {
	if rate := document.Service(r.settings.Service).ColdRate; rate > 0 {
		r.admitter.SetColdLimit(max(1, int(rate*r.tunable.Load().ColdOvershoot)))
	}
}

func (r *Runner) record(number eelgrasspoint.EventNumber, detail string) {
	r.recorder.Record(eelgrasspoint.Event{Number: number, AvailabilityZone: r.settings.AvailabilityZone, Detail: detail})
}
