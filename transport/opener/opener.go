// Package opener opens TCP connections that fail soon after the other side has fallen silent.
package opener

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Opener opens connections that fail once the other side has acknowledged nothing for a bounded time: neither a
// keep-alive probe, which is sent after each second without traffic, nor data. It is safe for concurrent use.
type Opener struct {
	dialer net.Dialer
	// patience is the timeout of connections that outlast a closed window; zero means that others are opened.
	patience time.Duration
}

// probeInterval is the shortest that TCP has, in whole seconds. net.KeepAliveConfig rounds up to it.
const probeInterval = time.Second

// New returns an opener of connections that fail after the silence, which is at least two seconds and is rounded
// down to whole seconds.
func New(silence time.Duration) *Opener {
	return &Opener{dialer: net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: max(1, int(silence/probeInterval)-1),
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, silence)
		},
	}}
}

// NewWithTimeout returns an opener of connections that fail once sent data stays unacknowledged for the timeout, which may
// be shorter than a second. It sends no probes, so that an idle connection that is dead fails with its next request. A
// connection whose other side acknowledges, but doesn't read, stays open.
func NewWithTimeout(timeout time.Duration) *Opener {
	return &Opener{patience: timeout, dialer: net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: false},
		KeepAlive:       -1,
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, timeout)
		},
	}}
}

// DialContext opens a connection.
func (o *Opener) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := o.dialer.DialContext(ctx, network, address)
	if err != nil || o.patience == 0 {
		return conn, err
	}
	return newPatientConn(conn, o.patience)
}

// setUserTimeout bounds how long sent data stays unacknowledged; no keep-alive probes are sent meanwhile.
func setUserTimeout(conn syscall.RawConn, silence time.Duration) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
