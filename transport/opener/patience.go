package opener

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minWindowBytes is the length from which a write may exceed the other side's window.
	minWindowBytes = 4 << 10
	// checksPerTimeout is the number of checks in the time after which the operating system ends a connection.
	checksPerTimeout = 2
	// maxUnansweredProbes is the number of window probes that the other side may leave unanswered.
	maxUnansweredProbes = 1
)

// patientConn is a connection with a user timeout that does not end it while the other side lives and only doesn't read.
// The operating system counts the time in which the window is closed as silence, although each of its probes is
// answered. So the timeout is lifted for as long as all that was sent is acknowledged and the rest waits for the window.
type patientConn struct {
	net.Conn
	raw     syscall.RawConn
	timeout time.Duration

	mu sync.Mutex
	// writes is the number of writes in progress.
	writes int
	// watched is set while a check is due.
	watched bool
	lifted  bool
}

// newPatientConn returns a connection whose user timeout is set, or the given one if it is none of TCP.
func newPatientConn(conn net.Conn, timeout time.Duration) (net.Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &patientConn{Conn: conn, raw: raw, timeout: timeout}, nil
}

// SyscallConn implements syscall.Conn.
func (c *patientConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write implements net.Conn.
func (c *patientConn) Write(p []byte) (int, error) {
	if len(p) < minWindowBytes {
		return c.Conn.Write(p)
	}
	c.addWrites(1)
	defer c.addWrites(-1)
	return c.Conn.Write(p)
}

// addWrites counts a write that begins or ends, and sees to it that the connection is checked.
func (c *patientConn) addWrites(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes += n
	if !c.watched {
		c.watched = true
		c.checkLater()
	}
}

func (c *patientConn) checkLater() { time.AfterFunc(c.timeout/checksPerTimeout, c.check) }

// check lifts or restores the timeout, and checks again later unless all that was written is acknowledged or the
// connection is closed.
func (c *patientConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, err := c.readQueue()
	if err != nil {
		c.watched = false
		return
	}
	c.watched = c.writes > 0 || !queue.empty()
	if lift := c.watched && c.mayLift(queue); lift != c.lifted && c.setTimeout(lift) == nil {
		c.lifted = lift
	}
	if c.watched {
		c.checkLater()
	}
}

// mayLift reports whether the timeout is to be lifted, or to stay so. Once it is lifted, only silence restores it: the system
// counts from the first probe of a window that was never quite open since, so that it would end the connection at once.
func (c *patientConn) mayLift(queue sendQueue) bool {
	if c.lifted {
		return !queue.silentFor(c.timeout)
	}
	return queue.waitsForWindow()
}

// setTimeout lifts or restores the timeout. The system's own limit of some minutes holds without it.
func (c *patientConn) setTimeout(lift bool) error {
	if lift {
		return setUserTimeout(c.raw, 0)
	}
	return setUserTimeout(c.raw, c.timeout)
}

// sendQueue is what was written to a connection and is not acknowledged.
type sendQueue struct {
	// unacknowledged is the number of segments in flight, unsentBytes what waits behind them.
	unacknowledged, unsentBytes uint32
	// unansweredProbes is the number of window probes since the last one that was answered.
	unansweredProbes uint8
	// sinceAcknowledged is the time since the other side last acknowledged anything.
	sinceAcknowledged time.Duration
}

func (q sendQueue) empty() bool { return q.unacknowledged == 0 && q.unsentBytes == 0 }

// waitsForWindow reports whether the other side has acknowledged all that its window allowed and answers the probes.
func (q sendQueue) waitsForWindow() bool {
	return q.unacknowledged == 0 && q.unansweredProbes <= maxUnansweredProbes
}

// silentFor reports whether the other side has answered nothing that it should have for the time.
func (q sendQueue) silentFor(limit time.Duration) bool {
	return q.unacknowledged > 0 && q.sinceAcknowledged >= limit || q.unansweredProbes > maxUnansweredProbes
}

func (c *patientConn) readQueue() (sendQueue, error) {
	var info *unix.TCPInfo
	var err error
	controlErr := c.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return sendQueue{}, controlErr
	}
	if err != nil {
		return sendQueue{}, err
	}
	return sendQueue{
		unacknowledged: info.Unacked, unsentBytes: info.Notsent_bytes, unansweredProbes: info.Probes,
		sinceAcknowledged: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}
