package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/standin/backend"
	"eelgrasspoint/standin/cluster"
	"eelgrasspoint/standin/proxy"
)

// vm is one VM: a node's process, the backend server beside it and their links, which run over proxies.
type vm struct {
	name, region, zone, service string
	node                        *cluster.Node
	soak                        *Soak
	// peerLink leads to the node, backendLink to its backend server, storeLink from the node to the
	// store.
	peerLink, backendLink, storeLink *proxy.Proxy

	// processLock is held while the node's process or backend server is stopped or started.
	processLock    sync.Mutex
	server         *http.Server
	stopAnnouncing context.CancelFunc

	// restarts counts the restarts of the node's process.
	restarts atomic.Int64

	mu sync.Mutex
	// disturbances are the intervals of faults at the VM; guarantees that need an undisturbed VM are not
	// checked then.
	disturbances []interval
	// requestStalls are the stalls of backendLink that hold back requests.
	requestStalls []interval
	// plannedStops last from SIGTERM until the restarted node listens.
	plannedStops []interval
	// handler is the backend server, and incarnation identifies it.
	handler     *backend.Backend
	incarnation uint64
}

// interval is a period of time. It has not ended while to is zero.
type interval struct{ from, to time.Time }

var (
	// The first six letters of a zone are its region.
	zones    = []string{"almaty-a", "astana-a", "almaty-b", "astana-b"}
	services = []string{"vitrine", "bench", "ledger"}
)

// Capacity and timing of the backend servers.
const (
	// slots and connections have the same values as in standin/cmd/backend.
	slots       = 13
	serviceTime = 8 * time.Millisecond
	connections = 260
	// servingAfterLeave is how long a backend server still serves after its leave. It is also the limit on
	// the shutdown that follows, which waits for requests in flight.
	servingAfterLeave = 2 * time.Second
)

func (s *Soak) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.cluster.PlatformAddress = netip.MustParseAddrPort(listener.Addr().String())
	s.store = &http.Server{Handler: s.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = s.store.Serve(listener) }()
	return nil
}

func (s *Soak) addVM(number int) (*vm, error) {
	zone := zones[number%len(zones)]
	service := services[number/len(zones)%len(services)]
	v := &vm{name: fmt.Sprintf("%s-%s-%d", zone, service, number), region: zone[:6], zone: zone, service: service, soak: s}
	for _, l := range []**proxy.Proxy{&v.peerLink, &v.backendLink, &v.storeLink} {
		var err error
		if *l, err = proxy.New(); err != nil {
			return nil, err
		}
	}
	v.storeLink.SetTarget(s.cluster.PlatformAddress)
	var err error
	v.node, err = s.cluster.StartNode(cluster.NodeSpec{
		Name: v.name, Region: v.region, Zone: zone, Service: service, WithoutBackend: true,
		Advertised: v.peerLink.Address(), StopTimeout: stopTimeout,
	}, v.storeLink.Address(), nil)
	if err != nil {
		return nil, err
	}
	v.peerLink.SetTarget(v.node.Peers)
	v.backendLink.SetTarget(v.node.BackendAddress)
	return v, v.startBackend(0)
}

func (v *vm) operators() schema.Operators {
	return schema.NewOperatorsProtobufClient("http://"+v.node.Control.String(), &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}})
}

// startBackend starts a backend server with the clock offset and announces it to the node. The offset
// goes into its incarnation.
func (v *vm) startBackend(clockOffset time.Duration) error {
	listener, err := net.Listen("tcp", v.node.BackendAddress.String())
	if err != nil {
		return err
	}
	handler := backend.New(v.service, slots, backend.Behavior{ServiceTime: serviceTime}, func() {})
	incarnation := uint64(time.Now().Add(clockOffset).UnixNano())
	v.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.soak.checker.recordRun(v, incarnation, r.Header.Get("Eelgrass-Request-Id"))
		handler.ServeHTTP(w, r)
	})}
	server := v.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	v.stopAnnouncing = cancel
	v.mu.Lock()
	v.handler, v.incarnation = handler, incarnation
	v.mu.Unlock()
	go backend.Announce(ctx, http.DefaultClient, v.node.Control, v.announcement())
	return nil
}

// announcement returns the announcement of the current backend server.
func (v *vm) announcement() backend.Announcement {
	v.mu.Lock()
	defer v.mu.Unlock()
	return backend.Announcement{
		Service: v.service, Address: v.backendLink.Address(), Incarnation: v.incarnation, Slots: slots, Connections: connections,
	}
}

// crashBackend stops the backend server and resets its connections.
func (v *vm) crashBackend() {
	v.stopAnnouncing()
	_ = v.server.Close()
	v.backendLink.Reset()
}

// leaveBackend makes the backend server leave, waits for its requests in flight and stops it.
func (v *vm) leaveBackend() {
	v.deregister()
	// The backend server still serves, so that recordRun sees requests sent after the leave.
	time.Sleep(servingAfterLeave)
	v.shutDownBackend()
}

// deregister deregisters the backend server, which goes on serving.
func (v *vm) deregister() {
	v.stopAnnouncing()
	incarnation := v.announcement().Incarnation
	if backend.Deregister(http.DefaultClient, v.node.Control, incarnation) {
		v.soak.checker.recordLeave(incarnation)
	}
}

// shutDownBackend waits for the requests in flight of the backend server and stops it.
func (v *vm) shutDownBackend() {
	ctx, cancel := context.WithTimeout(context.Background(), servingAfterLeave)
	defer cancel()
	_ = v.server.Shutdown(ctx)
}

// terminate stops the node with SIGTERM and checks that it exits with status 0 within stopTimeout and one
// second more. The caller calls the returned function when the node is up again.
func (v *vm) terminate() func() {
	endStop := v.openInterval(&v.plannedStops)
	v.node.Process.Signal(syscall.SIGTERM)
	if !v.node.Process.Wait(stopTimeout + time.Second) {
		v.soak.checker.recordViolation("planned stop", "%s did not exit with status 0 within its StopTimeout of %v and one second more", v.name, stopTimeout)
		v.node.Process.Signal(syscall.SIGKILL)
		v.node.Process.Wait(time.Second)
	}
	return endStop
}

// restore removes delays and stalls from all links.
func (v *vm) restore() {
	for _, l := range []*proxy.Proxy{v.peerLink, v.backendLink, v.storeLink} {
		l.SetDelay(0)
		l.SetStall(proxy.Stall{})
	}
}

func (v *vm) close() {
	if v.stopAnnouncing != nil {
		v.stopAnnouncing()
	}
	if v.server != nil {
		_ = v.server.Close()
	}
	for _, l := range []*proxy.Proxy{v.peerLink, v.backendLink, v.storeLink} {
		l.Close()
	}
}

// markDisturbed marks the VM as disturbed until the returned function is called.
func (v *vm) markDisturbed() func() { return v.openInterval(&v.disturbances) }

// openInterval appends an interval that starts now and that the returned function ends.
func (v *vm) openInterval(intervals *[]interval) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	*intervals = append(*intervals, interval{from: time.Now()})
	index := len(*intervals) - 1
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		(*intervals)[index].to = time.Now()
	}
}

// undisturbed reports whether the VM was not disturbed between the two times, nor in the catchUpLimit
// before the first.
func (v *vm) undisturbed(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !overlaps(v.disturbances, from.Add(-catchUpLimit), to)
}

// stoppedDuring reports whether a planned stop, which includes the restart, overlaps the time between the
// two times.
func (v *vm) stoppedDuring(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return overlaps(v.plannedStops, from, to)
}

// releaseTolerance is how long after the end of a stall a request that was held back reaches the backend server.
const releaseTolerance = 200 * time.Millisecond

// heldBack reports whether a request that was sent before the leave of the backend server was held back by a stall of the link to
// it, and reached it when the stall ended.
func (v *vm) heldBack(sentAt, leftAt, ranAt time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return sentAt.Before(leftAt) && slices.ContainsFunc(v.requestStalls, func(i interval) bool {
		return i.from.Before(leftAt) && !ranAt.Before(i.to) && ranAt.Sub(i.to) < releaseTolerance
	})
}

func overlaps(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool {
		return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
	})
}

// catchUpLimit is the time after a disturbance in which the VM's view and connections recover.
const catchUpLimit = 3 * time.Second
