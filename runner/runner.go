// Package runner builds a node from its components and runs it until it is stopped.
package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"eelgrasspoint"
	"eelgrasspoint/coordination/admitter"
	"eelgrasspoint/coordination/chooser"
	"eelgrasspoint/coordination/committer"
	"eelgrasspoint/coordination/controller"
	"eelgrasspoint/coordination/executor"
	"eelgrasspoint/coordination/fetcher"
	"eelgrasspoint/coordination/observer"
	"eelgrasspoint/coordination/operator"
	"eelgrasspoint/coordination/persister"
	"eelgrasspoint/coordination/quarantiner"
	"eelgrasspoint/coordination/replicator"
	"eelgrasspoint/coordination/reporter"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/coordination/selector"
	"eelgrasspoint/coordination/staggerer"
	"eelgrasspoint/coordination/tracker"
	"eelgrasspoint/protocol/parser"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/state/budgeter"
	"eelgrasspoint/state/holder"
	"eelgrasspoint/state/loader"
	"eelgrasspoint/state/meter"
	"eelgrasspoint/state/recorder"
	"eelgrasspoint/state/transcriber"
	"eelgrasspoint/transport/dialer"
	"eelgrasspoint/transport/dispatcher"
)

// Runner runs one node.
type Runner struct {
	options  Options
	settings *loader.Settings
	// latestSettings holds the last valid settings; only the reloadable ones may be read from it.
	latestSettings  atomic.Pointer[loader.Settings]
	retrier         *retrier.Retrier
	controlDialer   *dialer.Dialer
	holder          *holder.Holder
	recorder        *recorder.Recorder
	meter           *meter.Meter
	admitter        *admitter.Admitter
	quarantiner     *quarantiner.Quarantiner
	executor        *executor.Executor
	controller      *controller.Controller
	fetcher         *fetcher.Fetcher
	observer        *observer.Observer
	persister       *persister.Persister
	replicator      *replicator.Replicator
	tracker         *tracker.Tracker
	table           eelgrasspoint.Table
	source          eelgrasspoint.Source
	selector        *selector.Selector
	staggerer       *staggerer.Staggerer
	committer       *committer.Committer
	linkBudget      *budgeter.Budgeter
	measuringBudget *budgeter.Budgeter
	peers           *dispatcher.Dispatcher
	controlClient   *http.Client
	servers         servers

	storeIsDown atomic.Bool
	// epoch is that of the configuration that was read last from the table service, nil before the first one.
	epoch atomic.Pointer[uint64]
	// memberRowAt is when the row of this node was written last, in nanoseconds since 1970.
	memberRowAt atomic.Int64
	abortOnce   sync.Once
	aborted     chan struct{}
	stopping    atomic.Bool
	wasReady    atomic.Bool
	// settled is set once this node has joined: it read the members' rows, or has the members of a node that is settled.
	settled atomic.Bool
}

// Options are the settings and the dependencies of a node. Tests replace some of the dependencies.
type Options struct {
	Settings *loader.Settings
	// Table returns the client of the table service. count must be called with the name and the result
	// of every call.
	Table func(count func(call, result string)) eelgrasspoint.Table
	Dial  dialer.Func
	// BackendDial opens the connections to the backend server beside the node. The default is Dial.
	BackendDial dialer.Func
	Listen      func(network, address string) (net.Listener, error)
	Log         logrus.FieldLogger
	// RequestLog gets the lines of requests; the default is Log.
	RequestLog logrus.FieldLogger
	Clock      eelgrasspoint.Clock
	// Seed is that of the random numbers of the forwarder.
	Seed uint64
	// Chooser and Limiter are optional; the defaults are chooser.New and limiter.New.
	Chooser eelgrasspoint.Chooser
	Limiter eelgrasspoint.Limiter
	// Source returns the source of the published configuration; it is called after Table. wait returns how long
	// the source may wait for the next change in one call. If nil, the configuration is a row of the table, which
	// operators change through the API.
	Source func(wait func() time.Duration) eelgrasspoint.Source
	// Contract reads and writes the headers of callers and backend servers; the default is parser.New.
	Contract eelgrasspoint.Contract
	// TellsLoad is set if backend servers report their load in the headers of their answers.
	TellsLoad bool
	// Announcements and Readiness return the handlers of AnnounceAddress and ReadyAddress; both are
	// optional.
	Announcements func(announce func(context.Context, eelgrasspoint.Announcement) error, recorder eelgrasspoint.Recorder) http.Handler
	Readiness     func(ready func() bool) http.Handler
}

// New builds a node from its components:
//
//	callers -> forwarder -> executor -> backend server
//	               |            ^
//	               v            |
//	  dispatcher -> (peers) -> receiver
//
//	backend server -> registrar -> controller <- observer, exchanger <- peers
//	operators      -> operator -> committer -> publisher -> table service
//	                  controller -> holder -> forwarder, executor, receiver
func New(options Options) *Runner {
	if options.Contract == nil {
		options.Contract = parser.New()
	}
	if options.BackendDial == nil {
		options.BackendDial = options.Dial
	}
	if options.RequestLog == nil {
		options.RequestLog = options.Log
	}
	r := &Runner{options: options, settings: options.Settings, aborted: make(chan struct{})}
	r.latestSettings.Store(r.settings)
	r.controlDialer = dialer.New(options.Dial)
	r.recorder = recorder.NewWithRequestLog(r.settings.Name, options.Clock, options.Log, options.RequestLog)
	r.holder = holder.New(&eelgrasspoint.Snapshot{Configuration: &eelgrasspoint.Configuration{}})
	r.meter = meter.New(meter.Source{Load: r.load, Notice: r.notice, Revision: r.revision, Members: r.nodeCount, RefusedRoutes: r.refusedRoutes, ReadAge: r.readAge, ControlBytes: r.controlDialer.Bytes})
	r.linkBudget = budgeter.New(eelgrasspoint.LinkBytesPerSecond, options.Clock)
	r.measuringBudget = budgeter.New(eelgrasspoint.MeasuringBytesPerSecond, options.Clock)
	r.buildDataPlane()
	r.buildControlPlane()
	r.servers = r.buildServers()
	return r
}

// ErrorLog returns a writer that records the lines of the standard library's default logger.
func (r *Runner) ErrorLog() io.Writer { return transcriber.New(r.recorder, defaultLogger) }

// Run serves requests until ctx ends, then stops the node gracefully. It returns early with an error if
// a server can't listen or fails, and with nil after Abort.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.servers.listen(r.options.Listen, r.settings); err != nil {
		return err
	}
	r.holder.MarkRefreshed(r.options.Clock())
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.record(eelgrasspoint.EventNodeStarted, "peer address "+r.settings.PeerAddress.String())
	go r.controller.Run(background)
	go r.observer.Run(background)
	go r.join(background)
	go r.replicator.Run(background)
	go r.persister.Run(background)
	go r.restoreFromMembers(background)
	go r.followConfiguration(background)
	go r.discoverBackend(background)
	failed := r.servers.serve()
	select {
	case err := <-failed:
		return err
	case <-r.aborted:
		r.servers.close()
		r.closeOutbound()
		return nil
	case <-ctx.Done():
		defer r.closeOutbound()
		return r.stop()
	}
}

// closeOutbound closes the connections that the node opened.
func (r *Runner) closeOutbound() {
	r.peers.Close()
	r.executor.Close()
	r.controlClient.CloseIdleConnections()
}

func (r *Runner) chooser() eelgrasspoint.Chooser {
	if r.options.Chooser != nil {
		return r.options.Chooser
	}
	return chooser.New()
}

// retryLimits returns the limits in the latest settings, or the default limits if RetryBudget has no
// Window.
func (r *Runner) retryLimits() retrier.Limits {
	budget := r.latestSettings.Load().RetryBudget
	if budget.Window == 0 {
		return retrier.DefaultLimits()
	}
	return retrier.SharedBudgetLimits(budget.Share, int(budget.Slack), r.nodeCount)
}

// fetchFrom fetches the configuration from a candidate's node if its revision is higher than after, and
// waits for HeartbeatTimeout at most until it is in force.
func (r *Runner) fetchFrom(ctx context.Context, from *eelgrasspoint.Candidate, after eelgrasspoint.Revision) {
	ctx, cancel := context.WithTimeout(ctx, eelgrasspoint.HeartbeatTimeout)
	defer cancel()
	r.fetcher.Fetch(ctx, eelgrasspoint.Member{Name: from.Node, PeerAddress: from.PeerAddress}, after)
}

func (r *Runner) random() *rand.Rand { return eelgrasspoint.NewRandom(r.options.Seed) }

func (r *Runner) load() eelgrasspoint.Load { return r.executor.Load() }

func (r *Runner) notice() eelgrasspoint.ServerNotice { return r.executor.Notice() }

func (r *Runner) revision() eelgrasspoint.Revision { return r.holder.Load().Configuration.Revision }

func (r *Runner) nodeCount() int { return r.holder.Load().Nodes }

func (r *Runner) refusedRoutes() int { return r.holder.Load().Configuration.Document.RefusedRoutes() }

// markLeaving submits that the answers of the backend server say that it leaves.
func (r *Runner) markLeaving(backend eelgrasspoint.BackendServer) {
	r.controller.Submit(controller.MarkLeaving{Backend: backend})
}

func (r *Runner) reportCrash(crash executor.Crash) {
	reporter.New(r.controller, r.controlClient).Report(crash)
}

// timelineEvents returns the recorded events that match the request, at most the last
// MaxTimelineEvents.
func (r *Runner) timelineEvents(request *schema.TimelineRequest) []eelgrasspoint.Event {
	var found []eelgrasspoint.Event
	for _, event := range r.recorder.Events(time.Unix(0, int64(request.GetAfterWall()))) {
		if operator.MatchesRequest(event, request) {
			found = append(found, event)
		}
	}
	if excess := len(found) - eelgrasspoint.MaxTimelineEvents; excess > 0 {
		found = found[excess:]
	}
	return found
}

// setBudgets applies the budgets in the document. The link budget is divided evenly among the nodes of
// the region.
func (r *Runner) setBudgets(document *eelgrasspoint.Document, nodesInRegion int) {
	linkRate, measuringRate := uint32(eelgrasspoint.LinkBytesPerSecond), uint32(eelgrasspoint.MeasuringBytesPerSecond)
	for _, budget := range document.Budgets {
		switch budget.Name {
		case eelgrasspoint.BudgetLink:
			linkRate = budget.BytesPerSecond
		case eelgrasspoint.BudgetMeasuring:
			measuringRate = budget.BytesPerSecond
		}
	}
	r.linkBudget.SetRate(linkRate / uint32(max(nodesInRegion, 1)))
	r.measuringBudget.SetRate(measuringRate)
	r.setColdRateLimit(document)
}

// setColdRateLimit limits the requests per second to the backend server during its slow start to ColdRate
// times ColdOvershoot, rounded down, but at least 1. A ColdRate of zero leaves the limit unchanged.
func (r *Runner) setColdRateLimit(document *eelgrasspoint.Document) {
	if rate := document.Service(r.settings.Service).ColdRate; rate > 0 {
		r.admitter.SetColdRateLimit(max(1, int(rate*r.latestSettings.Load().ColdOvershoot)))
	}
}

func (r *Runner) record(number eelgrasspoint.EventNumber, detail string) {
	r.recorder.Record(eelgrasspoint.Event{Number: number, AvailabilityZone: r.settings.AvailabilityZone, Detail: detail})
}
