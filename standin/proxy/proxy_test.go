package proxy_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/standin/proxy"
)

// echo returns a proxy to a server that sends back what it gets.
func echo(t *testing.T) *proxy.Proxy {
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
	l, err := proxy.New()
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	l.SetTarget(netip.MustParseAddrPort(listener.Addr().String()))
	return l
}

func dial(t *testing.T, l *proxy.Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends one byte and reports whether it came back within the time.
func ask(conn net.Conn, limit time.Duration) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRelaysBothWays(t *testing.T) {
	assert.NilError(t, ask(dial(t, echo(t)), time.Second))
}

func TestCutHoldsBytesUntilItIsLifted(t *testing.T) {
	for _, cut := range []proxy.Stall{{ToTarget: true}, {FromTarget: true}} {
		l := echo(t)
		conn := dial(t, l)
		l.SetStall(cut)
		assert.ErrorContains(t, ask(conn, 100*time.Millisecond), "timeout")
		l.SetStall(proxy.Stall{})
		assert.NilError(t, ask(conn, time.Second))
	}
}

func TestSilenceSparesNewConnections(t *testing.T) {
	l := echo(t)
	old := dial(t, l)
	assert.NilError(t, ask(old, time.Second))
	l.StallConnections()
	assert.ErrorContains(t, ask(old, 100*time.Millisecond), "timeout")
	assert.NilError(t, ask(dial(t, l), time.Second))
}

func TestResetBreaksOpenConnections(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	assert.NilError(t, ask(conn, time.Second))
	l.Reset()
	assert.Assert(t, ask(conn, time.Second) != nil)
}

func TestDelay(t *testing.T) {
	l := echo(t)
	conn := dial(t, l)
	l.SetDelay(30 * time.Millisecond)
	began := time.Now()
	assert.NilError(t, ask(conn, time.Second))
	assert.Assert(t, time.Since(began) >= 60*time.Millisecond)
}
