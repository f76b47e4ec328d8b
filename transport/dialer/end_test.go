package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint/transport/dialer"
)

// halfTold is a connection whose loss only a write is told: its reads end like those of a whole answer.
type halfTold struct {
	net.Conn
	// readEnded is closed once a read has returned the end.
	readEnded chan struct{}
	// interrupted is closed by SetWriteDeadline and Close.
	interrupted chan struct{}
	// lost is the error of a write that is in progress when the read ends; without it the write goes on until it is interrupted.
	lost error
}

func newHalfTold(lost error) *halfTold {
	return &halfTold{readEnded: make(chan struct{}), interrupted: make(chan struct{}), lost: lost}
}

func (c *halfTold) dial(context.Context, string, string) (net.Conn, error) { return c, nil }

func (c *halfTold) Read([]byte) (int, error) {
	close(c.readEnded)
	return 0, io.EOF
}

func (c *halfTold) Write([]byte) (int, error) {
	if c.lost != nil {
		<-c.readEnded
		return 0, c.lost
	}
	<-c.interrupted
	return 0, os.ErrDeadlineExceeded
}

func (c *halfTold) SetWriteDeadline(time.Time) error { return c.Close() }

func (c *halfTold) Close() error {
	select {
	case <-c.interrupted:
	default:
		close(c.interrupted)
	}
	return nil
}

// TestEndOfALostConnectionIsNoOrderlyEnd guards against an answer without a length that breaks off and looks whole, since the
// operating system told the loss of its connection to the write of the request.
func TestEndOfALostConnectionIsNoOrderlyEnd(t *testing.T) {
	cases := []struct {
		name    string
		lost    error
		orderly bool
	}{
		{"reset", os.NewSyscallError("write", syscall.ECONNRESET), false},
		{"no acknowledgement", os.NewSyscallError("write", syscall.ETIMEDOUT), false},
		{"the other side ended what it sends and does not read", nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := dialer.New(newHalfTold(c.lost).dial).DialContext(t.Context(), "tcp", "")
			assert.NilError(t, err)
			writing, written := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(written)
				close(writing)
				_, _ = conn.Write([]byte("request"))
			}()
			<-writing
			time.Sleep(10 * time.Millisecond)
			_, err = conn.Read(make([]byte, 10))
			_ = conn.Close()
			<-written
			if c.orderly {
				assert.Equal(t, err, io.EOF)
				return
			}
			var broken *dialer.BrokenError
			assert.Assert(t, errors.As(err, &broken), "%v", err)
			assert.ErrorIs(t, err, c.lost)
		})
	}
}

// TestEndAfterAFailedWriteIsNoOrderlyEnd guards against the same where the write has ended before the read.
func TestEndAfterAFailedWriteIsNoOrderlyEnd(t *testing.T) {
	lost := os.NewSyscallError("write", syscall.ECONNRESET)
	lostBefore := newHalfTold(lost)
	close(lostBefore.readEnded)
	conn, err := dialer.New(lostBefore.dial).DialContext(t.Context(), "tcp", "")
	assert.NilError(t, err)
	_, err = conn.Write([]byte("request"))
	assert.ErrorIs(t, err, lost)
	lostBefore.readEnded = make(chan struct{})
	_, err = conn.Read(make([]byte, 10))
	var broken *dialer.BrokenError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
}
