package opener_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/standin/narrower"
	"eelgrasspoint/transport/opener"
)

// openWithSmallWindow returns both ends of a connection that the opener opens. The window of the other end is small.
func openWithSmallWindow(t *testing.T, o *opener.Opener) (near, far net.Conn) {
	t.Helper()
	listener, err := narrower.Listen(t.Context())
	assert.NilError(t, err)
	defer listener.Close()
	near, err = o.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

// TestConnectionOutlastsASlowReader guards against a request that is broken off, as its server does not read the body for a
// while: both where the body fits into the buffers of the sender and where its write waits.
func TestConnectionOutlastsASlowReader(t *testing.T) {
	const timeout, reads = eelgrasspoint.BackendSilenceLimit, 4
	for name, bytes := range map[string]int{"the body is buffered": 64 << 10, "the write waits": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := openWithSmallWindow(t, opener.NewWithTimeout(timeout))
			written := make(chan error, 1)
			go func() {
				_, err := near.Write(make([]byte, bytes))
				written <- err
			}()
			for range reads {
				time.Sleep(4 * timeout)
				_, err := io.CopyN(io.Discard, far, int64(bytes/reads))
				assert.NilError(t, err)
			}
			assert.NilError(t, <-written)
			time.Sleep(timeout)
			assert.Equal(t, socketOption(t, near, unix.TCP_USER_TIMEOUT), int(timeout.Milliseconds()), "the next request has no timeout")
		})
	}
}

func socketOption(t *testing.T, conn net.Conn, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var value int
	assert.NilError(t, raw.Control(func(fd uintptr) { value, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
	return value
}
