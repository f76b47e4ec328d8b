// Package meter collects the metrics of a node and exports them to Prometheus.
package meter

import (
	"errors"
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"eelgrasspoint"
)

// Meter holds the metrics of one node. It is safe for concurrent use.
type Meter struct {
	registry              *prometheus.Registry
	requests              *prometheus.HistogramVec
	requestsWithoutAnswer *prometheus.CounterVec
	attempts              *prometheus.CounterVec
	hedges                *prometheus.CounterVec
	measuringBytes        *prometheus.CounterVec
	linkBytes             prometheus.Counter
	storeCalls            *prometheus.CounterVec
	exchangeMessages      *prometheus.CounterVec
	healthChecks          prometheus.Counter
	arrivals              prometheus.Counter
	cutShort              *prometheus.CounterVec
	panics                *prometheus.CounterVec
	restricted            *prometheus.CounterVec
	restores              prometheus.Counter
	configurations        *prometheus.HistogramVec
}

// Source provides the values that are read at each scrape.
type Source struct {
	// Load returns the load of the backend server beside the node.
	Load func() eelgrasspoint.Load
	// Notice returns what the backend server beside the node last said about itself.
	Notice func() eelgrasspoint.ServerNotice
	// Revision returns the revision of the configuration in force.
	Revision func() eelgrasspoint.Revision
	// ReadAge returns the time since the configuration was last read from the table service. It reports false before the
	// first read.
	ReadAge func() (age time.Duration, read bool)
	// RefusedRoutes returns the number of routes whose requests are refused, since the node can't read their definition.
	RefusedRoutes func() int
	// Members returns the number of nodes known to be alive, including the node itself.
	Members func() int
	// ControlBytes returns the bytes on the connections that the node opened to other nodes for
	// control messages, such as gossip, anti-entropy and crash reports, but not for requests.
	ControlBytes func() (read, written int64)
}

const namespace = "eelgrass"

// New returns a meter with a registry of its own.
func New(source Source) *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_duration_seconds",
		Help:    "Time from the arrival of a caller's request to the end of its answer, by service and outcome.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"service", "outcome"})
	m.requestsWithoutAnswer = newCounterVec("requests_without_answer_total", "Requests that the node answered with an error of its own, by service and reason.", "service", "reason")
	m.attempts = newCounterVec("attempts_total", "Attempts to send a request to a backend server, by service and kind: first, or retry for every further attempt, including hedged ones.", "service", "kind")
	m.hedges = newCounterVec("hedges_total", "Hedged attempts, sent while a slow attempt of the same request is in flight, by service.", "service")
	m.measuringBytes = newCounterVec("measuring_bytes_total", "Bytes of load hints sent with answers, by link: local, or region for answers to other regions.", "link")
	m.linkBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "link_request_bytes_total",
		Help: "Bytes of requests sent and answers received over the link to other regions, including a fixed allowance for headers.",
	})
	m.storeCalls = newCounterVec("store_calls_total", "Calls to the platform's table service, by call and result.", "call", "result")
	m.exchangeMessages = newCounterVec("exchange_messages_total", "Messages that the node sent to other nodes, by kind: Converse, Configuration, Members or Quarantines.", "kind")
	m.healthChecks = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "health_checks_total", Help: "Health checks sent to the backend server beside the node.",
	})
	m.arrivals = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "backend_requests_total", Help: "Requests sent to the backend server beside the node, without health checks.",
	})
	m.cutShort = newCounterVec("answers_cut_short_total", "Answers of which the caller got only a part, by service and the side whose connection failed: server or caller.", "service", "side")
	m.panics = newCounterVec("handler_panics_total", "Panics in the handlers of requests, by server.", "server")
	m.restricted = newCounterVec("requests_restricted_total", "Requests that the node refused because they, or all together, would use too much memory, by server.", "server")
	m.restores = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_restores_total", Help: "Times that the node found the table service to have come back from a copy.",
	})
	m.configurations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "configuration_seconds",
		Help:    "Time that a change of the configuration took, by step: read, decode, fetch or apply.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"step"})
	m.registry.MustRegister(m.configurations, m.restores, m.cutShort, m.panics, m.restricted, m.healthChecks, m.arrivals, m.requests, m.requestsWithoutAnswer, m.attempts, m.hedges, m.measuringBytes, m.linkBytes, m.storeCalls, m.exchangeMessages)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerSourceMetrics(source)
	return m
}

// Registry returns the registry that holds all metrics.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// ObserveRequest observes the duration of a finished request by its outcome.
func (m *Meter) ObserveRequest(service string, outcome eelgrasspoint.Outcome, duration time.Duration) {
	m.requests.WithLabelValues(service, outcome.String()).Observe(duration.Seconds())
}

// CountWithoutAnswer counts a request, refused or failed, that the node answered with an error of its own.
func (m *Meter) CountWithoutAnswer(service string, reason eelgrasspoint.Reason) {
	m.requestsWithoutAnswer.WithLabelValues(service, reason.String()).Inc()
}

// CountCutShort counts an answer of which the caller got only a part; err is that of the relayer.
func (m *Meter) CountCutShort(service string, err error) {
	side := "server"
	var cutShort *eelgrasspoint.AnswerCutShortError
	if errors.As(err, &cutShort) && cutShort.Side == eelgrasspoint.CallerSide {
		side = "caller"
	}
	m.cutShort.WithLabelValues(service, side).Inc()
}

// CountPanic counts a panic in a handler of the server.
func (m *Meter) CountPanic(server string) { m.panics.WithLabelValues(server).Inc() }

// CountRestore counts that the table service has come back from a copy.
func (m *Meter) CountRestore() { m.restores.Inc() }

// ObserveConfiguration observes the duration of one step of a change of the configuration.
func (m *Meter) ObserveConfiguration(step eelgrasspoint.ConfigurationStep, took time.Duration) {
	m.configurations.WithLabelValues(step.String()).Observe(took.Seconds())
}

// CountRestricted counts a request that a server refused for the memory that it would use.
func (m *Meter) CountRestricted(server string) { m.restricted.WithLabelValues(server).Inc() }

// CountAttempt counts an attempt, hedged or not; number is zero for the first attempt of a request.
func (m *Meter) CountAttempt(service string, number int) {
	kind := "first"
	if number > 0 {
		kind = "retry"
	}
	m.attempts.WithLabelValues(service, kind).Inc()
}

// CountHedge counts a hedged attempt, in addition to CountAttempt.
func (m *Meter) CountHedge(service string) { m.hedges.WithLabelValues(service).Inc() }

// AddMeasuringBytes adds bytes of load hints that were sent with an answer over a link, local or region.
func (m *Meter) AddMeasuringBytes(link string, bytes int) {
	m.measuringBytes.WithLabelValues(link).Add(float64(bytes))
}

// AddLinkBytes adds bytes of requests sent and answers received over the link to other regions.
func (m *Meter) AddLinkBytes(bytes int64) { m.linkBytes.Add(float64(bytes)) }

// CountStoreCall counts a call to the platform's table service.
func (m *Meter) CountStoreCall(call, result string) { m.storeCalls.WithLabelValues(call, result).Inc() }

// CountHealthCheck counts a health check of the backend server beside the node.
func (m *Meter) CountHealthCheck() { m.healthChecks.Inc() }

// CountArrival counts a request that is sent to the backend server beside the node.
func (m *Meter) CountArrival() { m.arrivals.Inc() }

// CountExchange counts a message that the node sends to another node.
func (m *Meter) CountExchange(kind string) { m.exchangeMessages.WithLabelValues(kind).Inc() }

func (m *Meter) registerSourceMetrics(source Source) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	gauge("backend_in_use", "Requests that the backend server beside the node is running.", func() float64 { return float64(source.Load().InUse) })
	gauge("backend_limit", "Concurrency limit of the backend server beside the node.", func() float64 { return float64(source.Load().Limit) })
	gauge("backend_queued", "Requests queued for the backend server beside the node.", func() float64 { return float64(source.Load().Queued) })
	gauge("backend_rate_limit", "Requests per second that the backend server beside the node takes from all nodes together, as it says, or +Inf.", func() float64 {
		if notice := source.Notice(); notice.Limited {
			return notice.RateLimit
		}
		return math.Inf(1)
	})
	gauge("revision", "Revision of the configuration in force, without its epoch.", func() float64 { return float64(source.Revision().Version) })
	gauge("epoch", "Epoch of the revision of the configuration in force.", func() float64 { return float64(source.Revision().Epoch) })
	gauge("configuration_read_age_seconds", "Time since the configuration was last read from the table service, or +Inf before the first read.", func() float64 {
		if age, read := source.ReadAge(); read {
			return age.Seconds()
		}
		return math.Inf(1)
	})
	gauge("refused_routes", "Routes in force whose requests are refused, since the node can't read their definition.", func() float64 { return float64(source.RefusedRoutes()) })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "exchange_bytes_total",
		Help: "Bytes read and written on the connections that the node opened to other nodes for control messages, not for requests.",
	}, func() float64 {
		read, written := source.ControlBytes()
		return float64(read + written)
	}))
	gauge("members", "Nodes known to be alive, including the node itself.", func() float64 { return float64(source.Members()) })
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
