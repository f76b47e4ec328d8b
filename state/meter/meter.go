// Package meter counts what the node does and exports it to Prometheus.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"eelgrasspoint"
)

// Meter holds the metrics of one node. It is safe for concurrent use.
type Meter struct {
	registry     *prometheus.Registry
	requests     *prometheus.HistogramVec
	refusals     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	measureBytes *prometheus.CounterVec
	linkBytes    prometheus.Counter
	storeCalls   *prometheus.CounterVec
	exchanges    *prometheus.CounterVec
	checks       prometheus.Counter
}

// Source is what the meter reads when it is asked.
type Source struct {
	Load     func() eelgrasspoint.Load
	Revision func() uint64
	Members  func() int
	// ControlBytes are the bytes of the exchange that the node began.
	ControlBytes func() (read, written int64)
}

const namespace = "eelgrass"

// New returns a meter with its own registry.
func New(source Source) *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_duration_seconds",
		Help:    "Time from a caller's request to the end of its answer, by service and outcome.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"service", "outcome"})
	m.refusals = counters("requests_without_answer_total", "Requests that the system itself answered, by service and reason.", "service", "reason")
	m.attempts = counters("attempts_total", "Attempts sent to backend servers, by service and whether first or a retry.", "service", "kind")
	m.hedges = counters("hedges_total", "Second attempts sent beside a slow first one, by service.", "service")
	m.measureBytes = counters("measuring_bytes_total", "Bytes spent on measuring load, by link.", "link")
	m.linkBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "link_request_bytes_total",
		Help: "Bytes of requests and answers sent over the link to other regions.",
	})
	m.storeCalls = counters("store_calls_total", "Calls of the platform's table service, by call and result.", "call", "result")
	m.exchanges = counters("exchange_messages_total", "Messages between nodes, by kind.", "kind")
	m.checks = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "health_checks_total", Help: "Health checks sent to the backend server beside the node.",
	})
	m.registry.MustRegister(m.checks, m.requests, m.refusals, m.attempts, m.hedges, m.measureBytes, m.linkBytes, m.storeCalls, m.exchanges)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerSource(source)
	return m
}

// Registry returns the registry to serve.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// ObserveRequest records the outcome and duration of a finished request.
func (m *Meter) ObserveRequest(service string, outcome eelgrasspoint.Outcome, took time.Duration) {
	m.requests.WithLabelValues(service, outcome.String()).Observe(took.Seconds())
}

// CountRefusal counts a request that the node answered with an error of its own.
func (m *Meter) CountRefusal(service string, reason eelgrasspoint.Reason) {
	m.refusals.WithLabelValues(service, reason.String()).Inc()
}

// CountAttempt counts an attempt; number is zero for the first.
func (m *Meter) CountAttempt(service string, number int) {
	kind := "first"
	if number > 0 {
		kind = "retry"
	}
	m.attempts.WithLabelValues(service, kind).Inc()
}

// CountHedge counts a second attempt beside a slow first one.
func (m *Meter) CountHedge(service string) { m.hedges.WithLabelValues(service).Inc() }

// AddMeasuringBytes counts bytes spent on measuring load.
func (m *Meter) AddMeasuringBytes(link string, bytes int) {
	m.measureBytes.WithLabelValues(link).Add(float64(bytes))
}

// AddLinkBytes counts bytes of traffic over the link to other regions.
func (m *Meter) AddLinkBytes(bytes int64) { m.linkBytes.Add(float64(bytes)) }

// CountStoreCall counts a call of the platform.
func (m *Meter) CountStoreCall(call, result string) { m.storeCalls.WithLabelValues(call, result).Inc() }

// CountHealthCheck counts a health check of the backend server beside the node.
func (m *Meter) CountHealthCheck() { m.checks.Inc() }

// CountExchange counts a message between nodes.
func (m *Meter) CountExchange(kind string) { m.exchanges.WithLabelValues(kind).Inc() }

func (m *Meter) registerSource(source Source) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	gauge("backend_in_use", "Requests that the backend server beside the node runs now.", func() float64 { return float64(source.Load().InUse) })
	gauge("backend_limit", "Requests that the backend server beside the node may run at once.", func() float64 { return float64(source.Load().Limit) })
	gauge("backend_queued", "Requests that wait for the backend server beside the node.", func() float64 { return float64(source.Load().Queued) })
	gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(source.Revision()) })
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "exchange_bytes_total",
		Help: "Bytes read and written on the connections that the node opened for the exchange with others.",
	}, func() float64 {
		read, written := source.ControlBytes()
		return float64(read + written)
	}))
	gauge("members", "Nodes known to be alive.", func() float64 { return float64(source.Members()) })
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
