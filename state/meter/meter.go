// Package meter collects the metrics of a node and exports them to Prometheus.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"eelgrasspoint"
)

// Meter holds the metrics of one node. It is safe for concurrent use.
type Meter struct {
	registry         *prometheus.Registry
	requests         *prometheus.HistogramVec
	refusals         *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	hedges           *prometheus.CounterVec
	measuringBytes   *prometheus.CounterVec
	linkBytes        prometheus.Counter
	storeCalls       *prometheus.CounterVec
	exchangeMessages *prometheus.CounterVec
	healthChecks     prometheus.Counter
}

// Source provides the values that are read at each scrape.
type Source struct {
	Load     func() eelgrasspoint.Load
	Revision func() uint64
	Members  func() int
	// ControlBytes returns the bytes on the connections that the node opened to other nodes for gossip
	// and anti-entropy.
	ControlBytes func() (read, written int64)
}

const namespace = "eelgrass"

// New returns a meter with a registry of its own.
func New(source Source) *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_duration_seconds",
		Help:    "Time from a caller's request to the end of the answer, by service and outcome.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"service", "outcome"})
	m.refusals = newCounterVec("requests_without_answer_total", "Requests that the node answered with an error of its own, by service and reason.", "service", "reason")
	m.attempts = newCounterVec("attempts_total", "Attempts sent to backend servers, by service and kind (first or retry).", "service", "kind")
	m.hedges = newCounterVec("hedges_total", "Hedged attempts, sent while a slow first attempt is in flight, by service.", "service")
	m.measuringBytes = newCounterVec("measuring_bytes_total", "Bytes of load measurements sent with answers, by link.", "link")
	m.linkBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "link_request_bytes_total",
		Help: "Bytes of requests and answers sent over the link to other regions.",
	})
	m.storeCalls = newCounterVec("store_calls_total", "Calls to the platform's table service, by call and result.", "call", "result")
	m.exchangeMessages = newCounterVec("exchange_messages_total", "Messages between nodes, by kind.", "kind")
	m.healthChecks = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "health_checks_total", Help: "Health checks sent to the backend server beside the node.",
	})
	m.registry.MustRegister(m.healthChecks, m.requests, m.refusals, m.attempts, m.hedges, m.measuringBytes, m.linkBytes, m.storeCalls, m.exchangeMessages)
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

// CountRefusal counts a request that the node answered with an error of its own.
func (m *Meter) CountRefusal(service string, reason eelgrasspoint.Reason) {
	m.refusals.WithLabelValues(service, reason.String()).Inc()
}

// CountAttempt counts an attempt, where number is zero for the first attempt of a request.
func (m *Meter) CountAttempt(service string, number int) {
	kind := "first"
	if number > 0 {
		kind = "retry"
	}
	m.attempts.WithLabelValues(service, kind).Inc()
}

// CountHedge counts a hedged attempt.
func (m *Meter) CountHedge(service string) { m.hedges.WithLabelValues(service).Inc() }

// AddMeasuringBytes adds bytes of load measurements that were sent with an answer.
func (m *Meter) AddMeasuringBytes(link string, bytes int) {
	m.measuringBytes.WithLabelValues(link).Add(float64(bytes))
}

// AddLinkBytes adds bytes of requests and answers sent over the link to other regions.
func (m *Meter) AddLinkBytes(bytes int64) { m.linkBytes.Add(float64(bytes)) }

// CountStoreCall counts a call to the platform's table service.
func (m *Meter) CountStoreCall(call, result string) { m.storeCalls.WithLabelValues(call, result).Inc() }

// CountHealthCheck counts a health check of the backend server beside the node.
func (m *Meter) CountHealthCheck() { m.healthChecks.Inc() }

// CountExchange counts a message between nodes.
func (m *Meter) CountExchange(kind string) { m.exchangeMessages.WithLabelValues(kind).Inc() }

func (m *Meter) registerSourceMetrics(source Source) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	gauge("backend_in_use", "Requests that the backend server beside the node is running.", func() float64 { return float64(source.Load().InUse) })
	gauge("backend_limit", "Concurrency limit of the backend server beside the node.", func() float64 { return float64(source.Load().Limit) })
	gauge("backend_queued", "Requests queued for the backend server beside the node.", func() float64 { return float64(source.Load().Queued) })
	gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(source.Revision()) })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "exchange_bytes_total",
		Help: "Bytes read and written on the connections that the node opened to exchange messages with other nodes.",
	}, func() float64 {
		read, written := source.ControlBytes()
		return float64(read + written)
	}))
	gauge("members", "Nodes known to be alive.", func() float64 { return float64(source.Members()) })
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
