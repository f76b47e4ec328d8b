package executor

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/transport/dialer"
)

// Bounds on one health check.
const (
	// healthCheckTimeout bounds one health check. Without an answer by then, the slowness counts as
	// unknown, and the backend server not as slow.
	healthCheckTimeout = 40 * time.Millisecond
	// maxHealthBodyBytes bounds the part of a response body that is read so that the connection can be
	// used again.
	maxHealthBodyBytes = 4 << 10
)

// healthState holds the health check in progress, if any, and the time of the last one that was answered.
type healthState struct {
	// inProgress is closed at the end of the health check, and nil if there is none.
	inProgress chan struct{}
	answeredAt time.Time
}

// healthUnknown reports whether no health check was answered since the last reset. It is not known then
// whether the backend server is cold.
func (e *Executor) healthUnknown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.answeredAt.IsZero()
}

// checkHealthIfOld starts a health check if the last answered one is older than maxHealthAge.
func (e *Executor) checkHealthIfOld() {
	path := e.healthPath()
	e.mu.Lock()
	defer e.mu.Unlock()
	if path != "" && e.options.Clock().Sub(e.health.answeredAt) > maxHealthAge {
		e.startHealthCheck(path)
	}
}

// startHealthCheck starts a health check unless one is in progress. The caller holds the lock.
func (e *Executor) startHealthCheck(path string) {
	if e.health.inProgress == nil {
		e.health.inProgress = make(chan struct{})
		go e.updateHealth(path, e.health.inProgress)
	}
}

// refreshHealth returns nil if the last load report is at most maxLoadReportAge old, and the last answered
// health check at most maxHealthAge. Otherwise it starts a health check, unless one is in progress, and
// returns a channel that is closed at the end of the health check.
func (e *Executor) refreshHealth(path string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock()
	if e.hasFreshLoadReport() && now.Sub(e.health.answeredAt) <= maxHealthAge {
		return nil
	}
	e.startHealthCheck(path)
	return e.health.inProgress
}

// healthPath returns the path of the backend server's health checks. It is empty if the service has none,
// if there is no backend server, or if backend servers do not report load.
func (e *Executor) healthPath() string {
	if !e.options.TellsLoad {
		return ""
	}
	e.mu.Lock()
	backend := e.backend
	e.mu.Unlock()
	if backend == nil {
		return ""
	}
	return e.options.Holder.Load().Configuration.Document.Service(backend.Service).HealthPath
}

// updateHealth makes a health check, stores its result and closes done.
func (e *Executor) updateHealth(path string, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	e.mu.Lock()
	backend, transport := e.backend, e.transport
	e.mu.Unlock()
	health, err := e.checkBackend(ctx, backend, transport, path)
	if err == nil && answeredBy(backend, health) {
		e.recordNotice(backend, health.Notice, "a health check")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.inProgress = nil
	defer close(done)
	if err != nil || !e.isCurrent(backend) {
		return
	}
	now := e.options.Clock()
	e.health.answeredAt = now
	if health.HasLoad {
		e.setLoadReport(health.Load)
	}
	if health.Cold > 0 || e.options.Admitter.Cold() {
		e.options.Admitter.SetCold(health.Cold)
	}
}

// answeredBy reports whether the health check was not answered by another backend server that has the address now.
func answeredBy(backend *eelgrasspoint.BackendServer, health eelgrasspoint.Health) bool {
	return health.ID == "" || backend.ID == "" || health.ID == backend.ID
}

// checkBackend sends a health check to a backend server, nil if there is none, over its pooled connections.
func (e *Executor) checkBackend(ctx context.Context, backend *eelgrasspoint.BackendServer, transport *http.Transport, path string) (eelgrasspoint.Health, error) {
	if backend == nil {
		return eelgrasspoint.Health{}, eelgrasspoint.Refuse(eelgrasspoint.NoServer, "")
	}
	return e.sendHealthCheck(ctx, transport, backend.Address, path)
}

// CheckHealth sends a health check to an address that no backend server has announced yet, over a new
// connection.
func (e *Executor) CheckHealth(ctx context.Context, address netip.AddrPort, path string) (eelgrasspoint.Health, error) {
	transport := &http.Transport{
		DialContext: dialer.New(e.options.Dial).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: eelgrasspoint.MaxAnswerHeaderBytes,
	}
	return e.sendHealthCheck(ctx, transport, address, path)
}

// sendHealthCheck counts a health check, sends it over the transport and reads the answer.
func (e *Executor) sendHealthCheck(ctx context.Context, transport *http.Transport, address netip.AddrPort, path string) (eelgrasspoint.Health, error) {
	e.options.CountCheck()
	request := &http.Request{
		Method: http.MethodGet, URL: healthURL(address.String(), path),
		Header: http.Header{"User-Agent": nil}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { dialer.BeginRequest(info.Conn) }}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return eelgrasspoint.Health{}, err
	}
	defer drainBody(response)
	return e.options.Contract.ReadHealth(response), nil
}

// healthURL returns the URL of a health path, which may have escapes and a query.
func healthURL(host, path string) *url.URL {
	path = "/" + strings.TrimPrefix(path, "/")
	target, err := url.ParseRequestURI(path)
	if err != nil {
		target = &url.URL{Path: path}
	}
	target.Scheme, target.Host = "http", host
	return target
}

// drainBody reads and closes a short response body, so that the connection can be used again.
func drainBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthBodyBytes)
	response.Body.Close()
}
