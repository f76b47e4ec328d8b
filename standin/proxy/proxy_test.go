package proxy_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/proxy"
)

// newEchoProxy returns a proxy whose target is a server that echoes all bytes.
func newEchoProxy(t *testing.T) *proxy.Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := proxy.New()
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	p.SetTarget(netip.MustParseAddrPort(listener.Addr().String()))
	return p
}

func dial(t *testing.T, p *proxy.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchangeByte sends one byte and returns an error unless a byte comes back within the timeout.
func exchangeByte(conn net.Conn, timeout time.Duration) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestForwardsBothDirections(t *testing.T) {
	assert.NilError(t, exchangeByte(dial(t, newEchoProxy(t)), time.Second))
}

func TestStallHoldsBytesUntilCleared(t *testing.T) {
	for _, stall := range []proxy.Stall{{ToTarget: true}, {FromTarget: true}} {
		p := newEchoProxy(t)
		conn := dial(t, p)
		p.SetStall(stall)
		assert.ErrorContains(t, exchangeByte(conn, 100*time.Millisecond), "timeout")
		p.SetStall(proxy.Stall{})
		assert.NilError(t, exchangeByte(conn, time.Second))
	}
}

func TestStallConnectionsDoesNotAffectNewConnections(t *testing.T) {
	p := newEchoProxy(t)
	stalled := dial(t, p)
	assert.NilError(t, exchangeByte(stalled, time.Second))
	p.StallConnections()
	assert.ErrorContains(t, exchangeByte(stalled, 100*time.Millisecond), "timeout")
	assert.NilError(t, exchangeByte(dial(t, p), time.Second))
}

// TestResetBreaksOpenConnections guards against a connection that still carries bytes after Reset, or is only silent.
func TestResetBreaksOpenConnections(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	assert.NilError(t, exchangeByte(conn, time.Second))
	p.Reset()
	err := exchangeByte(conn, time.Second)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

func TestDelayHoldsBytesInBothDirections(t *testing.T) {
	p := newEchoProxy(t)
	conn := dial(t, p)
	p.SetDelay(30 * time.Millisecond)
	start := time.Now()
	assert.NilError(t, exchangeByte(conn, time.Second))
	assert.Assert(t, time.Since(start) >= 60*time.Millisecond)
}
