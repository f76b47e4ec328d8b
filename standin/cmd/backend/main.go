// Command backend runs a stand-in for a backend server.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"eelgrasspoint/standin/backend"
)

func main() {
	service, address, node, control := "vitrine", "127.0.0.1:0", "127.0.0.1:7002", "127.0.0.1:0"
	// connections is the number of connections to announce; no flag sets it.
	slots, connections := 13, 260
	behavior := backend.Behavior{ColdFactor: 1}
	flaggy.String(&service, "s", "service", "name of the service to announce")
	flaggy.String(&address, "a", "address", "address to listen on")
	flaggy.String(&node, "n", "node", "control address of the node beside the backend server")
	flaggy.String(&control, "c", "control", "address of the backend server's control interface")
	flaggy.Int(&slots, "", "slots", "maximum number of requests to run concurrently")
	flaggy.Duration(&behavior.ServiceTime, "t", "time", "time to run one request")
	flaggy.Duration(&behavior.ColdTime, "", "cold-time", "time after the start during which the backend server is cold")
	flaggy.Float64(&behavior.ColdFactor, "", "cold-factor", "factor on the time to run a request while the backend server is cold")
	flaggy.Parse()
	// A request with the header Standin-Crash ends the process with status 3.
	b := backend.New(service, slots, behavior, func() { os.Exit(3) })
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go serveControl(control, b)
	server := &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	incarnation := uint64(time.Now().UnixNano())
	backend.Announce(ctx, http.DefaultClient, netip.MustParseAddrPort(node), backend.Announcement{
		Service: service, Address: netip.MustParseAddrPort(listener.Addr().String()),
		Incarnation: incarnation, Slots: slots, Connections: connections,
	})
	backend.Deregister(http.DefaultClient, netip.MustParseAddrPort(node), incarnation)
	shutdown, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_ = server.Shutdown(shutdown)
}

func serveControl(address string, b *backend.Backend) {
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(b.ServeControl), ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
}
