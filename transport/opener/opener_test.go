package opener_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"eelgrasspoint/transport/opener"
)

// TestSilenceShowsInTime guards against a dead connection that is taken for one without news for longer than stated.
func TestSilenceShowsInTime(t *testing.T) {
	for _, silence := range []time.Duration{2 * time.Second, 4 * time.Second} {
		options := socketOptions(t, opener.New(silence))
		probes := options[unix.TCP_KEEPIDLE] + options[unix.TCP_KEEPINTVL]*options[unix.TCP_KEEPCNT]
		assert.Equal(t, time.Duration(probes)*time.Second, silence)
		assert.Equal(t, time.Duration(options[unix.TCP_USER_TIMEOUT])*time.Millisecond, silence)
	}
}

// TestUnacknowledgedDataShowsInTime guards against a request that waits for its deadline on a dead connection.
func TestUnacknowledgedDataShowsInTime(t *testing.T) {
	options := socketOptions(t, opener.NewWithTimeout(300*time.Millisecond))
	assert.Equal(t, time.Duration(options[unix.TCP_USER_TIMEOUT])*time.Millisecond, 300*time.Millisecond)
}

// socketOptions returns the TCP options of a connection that the opener opens.
func socketOptions(t *testing.T, o *opener.Opener) map[int]int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := o.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	options := make(map[int]int)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		for _, name := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT, unix.TCP_USER_TIMEOUT} {
			options[name], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
		}
	}))
	return options
}
