package main

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
)

// TestDeadStoreConnectionShowsInTime guards against a node that hears of no change, since its connection to the store is dead.
func TestDeadStoreConnectionShowsInTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	transport := newTableClient().Transport.(*http.Transport)
	conn, err := transport.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var idle, interval, count int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		idle, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		interval, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
		count, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	}))
	shown := time.Duration(idle+interval*count) * time.Second
	assert.Assert(t, shown <= eelgrasspoint.StoreSilenceLimit, "a dead connection shows after %v", shown)
}
