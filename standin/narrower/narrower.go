// Package narrower opens listeners whose connections have small windows, so that a sender soon notices that the other side
// does not read.
package narrower

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// receiveBufferBytes is the size of the receive buffer that the operating system is asked for; it may double it.
const receiveBufferBytes = 16 << 10

// Listen returns a listener on a free loopback port.
func Listen(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: narrow}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

// narrow bounds the receive buffer of a socket, and of the connections that it accepts.
func narrow(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(controlErr, err)
}
