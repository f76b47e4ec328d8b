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

// vm is a node's process, the backend server beside it and the links that they are reached over.
type vm struct {
	name, region, zone, service string
	node                        *cluster.Node
	soak                        *Soak
	// peers leads to the node, own to its backend server, store from the node to the store.
	peers, own, store *proxy.Proxy

	// process is held while the node's process or backend server is stopped or started.
	process sync.Mutex
	server  *http.Server
	stopPut context.CancelFunc

	// starts counts the starts of the node's process after the first.
	starts atomic.Int64

	mu          sync.Mutex
	disturbed   []span
	stops       []span
	incarnation uint64
}

// span is a time in which promises that need a sound VM do not hold. It is open while to is zero.
type span struct{ from, to time.Time }

var (
	zones    = []string{"almaty-a", "astana-a", "almaty-b", "astana-b"}
	services = []string{"vitrine", "bench", "ledger"}
)

// Figures of the stand-ins.
const (
	slots       = 13
	serviceTime = 8 * time.Millisecond
	connections = 260
	// servesOn is how long a backend server serves after it said that it leaves.
	servesOn = 2 * time.Second
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
	for _, l := range []**proxy.Proxy{&v.peers, &v.own, &v.store} {
		var err error
		if *l, err = proxy.New(); err != nil {
			return nil, err
		}
	}
	v.store.SetTarget(s.cluster.PlatformAddress)
	var err error
	v.node, err = s.cluster.StartNode(cluster.NodeSpec{
		Name: v.name, Region: v.region, Zone: zone, Service: service, WithoutBackend: true,
		Advertised: v.peers.Address(), StopTimeout: stopTimeout,
	}, v.store.Address(), nil)
	if err != nil {
		return nil, err
	}
	v.peers.SetTarget(v.node.Peers)
	v.own.SetTarget(v.node.BackendAddress)
	return v, v.startBackend(0)
}

func (v *vm) operators() schema.Operators {
	return schema.NewOperatorsProtobufClient("http://"+v.node.Control.String(), &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}})
}

// startBackend starts a backend server whose clock is off by the time.
func (v *vm) startBackend(clockOffset time.Duration) error {
	listener, err := net.Listen("tcp", v.node.BackendAddress.String())
	if err != nil {
		return err
	}
	stand := backend.New(v.service, slots, backend.Behavior{ServiceTime: serviceTime}, func() {})
	incarnation := uint64(time.Now().Add(clockOffset).UnixNano())
	v.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.soak.checker.ran(v, incarnation, r.Header.Get("Eelgrass-Request-Id"))
		stand.ServeHTTP(w, r)
	})}
	server := v.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	v.stopPut = cancel
	go backend.Announce(ctx, http.DefaultClient, v.node.Control, backend.Announcement{
		Service: v.service, Address: v.own.Address(), Incarnation: incarnation, Slots: slots, Connections: connections,
	})
	v.mu.Lock()
	v.incarnation = incarnation
	v.mu.Unlock()
	return nil
}

// crashBackend ends the backend server with its connections.
func (v *vm) crashBackend() {
	v.stopPut()
	_ = v.server.Close()
	v.own.Reset()
}

// leaveBackend says that the backend server leaves, lets it finish and ends it.
func (v *vm) leaveBackend() {
	v.stopPut()
	v.mu.Lock()
	incarnation := v.incarnation
	v.mu.Unlock()
	if backend.Leave(http.DefaultClient, v.node.Control) {
		v.soak.checker.left(incarnation)
	}
	// It goes on serving, so that work which should not come any more would be seen.
	time.Sleep(servesOn)
	ctx, cancel := context.WithTimeout(context.Background(), servesOn)
	defer cancel()
	_ = v.server.Shutdown(ctx)
}

// terminate stops the node as planned work does and checks that it ends by itself in time. The
// returned function is called once it is back.
func (v *vm) terminate() func() {
	back := v.open(&v.stops)
	v.node.Process.Signal(syscall.SIGTERM)
	if !v.node.Process.Wait(stopTimeout + time.Second) {
		v.soak.checker.broken("planned stop", "%s did not end well within %v of SIGTERM", v.name, stopTimeout)
		v.node.Process.Signal(syscall.SIGKILL)
		v.node.Process.Wait(time.Second)
	}
	return back
}

// restore lifts all faults of the links.
func (v *vm) restore() {
	for _, l := range []*proxy.Proxy{v.peers, v.own, v.store} {
		l.SetDelay(0)
		l.SetStall(proxy.Stall{})
	}
}

func (v *vm) close() {
	if v.stopPut != nil {
		v.stopPut()
	}
	if v.server != nil {
		_ = v.server.Close()
	}
	for _, l := range []*proxy.Proxy{v.peers, v.own, v.store} {
		l.Close()
	}
}

// disturb notes that the VM is not sound until the returned function is called.
func (v *vm) disturb() func() { return v.open(&v.disturbed) }

// open begins a span that the returned function ends.
func (v *vm) open(spans *[]span) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	*spans = append(*spans, span{from: time.Now()})
	place := len(*spans) - 1
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		(*spans)[place].to = time.Now()
	}
}

// sound reports whether nothing disturbed the VM in the contact time before a moment or after it
// until another.
func (v *vm) sound(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !overlaps(v.disturbed, from.Add(-contactTimeout), to)
}

// stopped reports whether the node was being stopped, or away after it, at some time between.
func (v *vm) stopped(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return overlaps(v.stops, from, to)
}

func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(d span) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// contactTimeout is how long after a disturbance a VM may not have caught up.
const contactTimeout = 3 * time.Second
