package dispatcher

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasspoint"
)

// connection is a connection to an exit node. While attempts wait for an answer and nothing is read, a check is sent on
// it: without any byte afterwards it is suspect, and then silent. Any byte that is read is a sign of life, since the
// answer to the check may wait behind others. A connection without attempts is not checked.
type connection struct {
	net.Conn
	dispatcher *Dispatcher
	// host is that of the URLs of its requests.
	host     string
	openedAt time.Time
	// lastRead is the time from openedAt to the last read.
	lastRead atomic.Int64
	// unanswered is the number of bytes written since the last read.
	unanswered atomic.Int64

	mu     sync.Mutex
	timer  *time.Timer
	closed bool
	// abandoned is set if watch closed the connection.
	abandoned bool
	// attempts is the number of attempts without an answer, and busySince the time from openedAt to the first of them.
	attempts  int
	busySince time.Duration
	// checkAfter is the time without a read after which a check is sent, by the most urgent of the attempts.
	checkAfter time.Duration
	// suspectAfter is the time that the answer to a check takes at most on a sound connection.
	suspectAfter time.Duration
	// checkedAt is the time from openedAt to the last check, or zero if no answer to a check is awaited.
	checkedAt time.Duration
	// sound ends when the connection becomes suspect, heard when it becomes silent; they are replaced when bytes are
	// read again.
	sound, heard    context.Context //nolint:containedctx // They belong to the connection, not to a call.
	suspect, giveUp context.CancelFunc
}

// errSilent is the error of the attempts that a silent connection ends.
var errSilent = errors.New("the connection to the exit node was silent")

const (
	// checkDivisor sets the part of the time that an attempt has left after which a check is sent, at least minCheckAfter.
	checkDivisor  = 8
	minCheckAfter = 25 * time.Millisecond
	// connectFactor is the multiple of the time to connect, which is a round trip, after which the answer to a check is
	// overdue, at least minSuspectAfter.
	connectFactor   = 4
	minSuspectAfter = 40 * time.Millisecond
	// recheckPause is the pause after an answered check, while the backend server is still at work.
	recheckPause = 300 * time.Millisecond
	// probeInterval is the pause between two probes of the exit node of a silent connection.
	probeInterval = 250 * time.Millisecond
	// probeGrace is the time in which a connection that is not dead can still read, after a probe whose
	// answer may have overtaken its own.
	probeGrace = 50 * time.Millisecond
	// maxBytesBeforePing is the most unanswered bytes with which an answered probe proves that the connection
	// is dead. With more, the ping may wait behind them in the connection's own buffer.
	maxBytesBeforePing = eelgrasspoint.MaxBodyBytesWithoutContinue
)

// newConnection watches a connection that took connectTime to open.
func newConnection(conn net.Conn, d *Dispatcher, host string, connectTime time.Duration) *connection {
	c := &connection{Conn: conn, dispatcher: d, host: host, openedAt: time.Now()}
	c.suspectAfter = min(max(connectFactor*connectTime, minSuspectAfter), eelgrasspoint.PeerSuspectAfter)
	c.sound, c.suspect = context.WithCancel(context.Background())
	c.heard, c.giveUp = context.WithCancel(context.Background())
	return c
}

// begin notes an attempt that waits for its answer, until end is called. left is the time until its deadline.
func (c *connection) begin(left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	checkAfter := min(max(left/checkDivisor, minCheckAfter), eelgrasspoint.PeerCheckAfter)
	c.attempts++
	if c.closed || c.attempts > 1 && checkAfter >= c.checkAfter {
		return
	}
	c.checkAfter = checkAfter
	if c.attempts == 1 {
		c.busySince = time.Since(c.openedAt)
	}
	switch {
	case c.timer == nil:
		c.timer = time.AfterFunc(checkAfter, c.watch)
	case c.checkedAt == 0:
		c.timer.Reset(checkAfter)
	}
}

// end notes the end of an attempt, or its answer.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts--
}

// onSuspicion calls f in its own goroutine when the connection is suspect, unless stop is called before.
func (c *connection) onSuspicion(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return context.AfterFunc(c.sound, f)
}

// onSilence calls f in its own goroutine when the connection is silent, unless stop is called before.
func (c *connection) onSilence(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return context.AfterFunc(c.heard, f)
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(0)
		c.lastRead.Store(int64(time.Since(c.openedAt)))
	}
	if err != nil && c.isAbandoned() {
		return n, errSilent
	}
	return n, err
}

func (c *connection) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.unanswered.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *connection) abandon() {
	c.mu.Lock()
	c.abandoned = true
	c.mu.Unlock()
	_ = c.Close()
}

// watch checks the connection, keeps new attempts off it if it is suspect, and closes it if it is dead. Until then, the
// attempts that can't be repeated stay: the link may only be slow.
func (c *connection) watch() {
	if !c.isSilent() {
		return
	}
	if c.isDead() {
		c.abandon()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.timer.Reset(probeInterval)
	}
}

// isSilent takes the next step towards the decision that the connection is silent, and reports whether it is. It
// schedules the next step, unless the connection is closed, has no attempts or is silent.
func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silence := c.silence()
	switch {
	case c.closed:
		return false
	case silence < c.checkAfter:
		c.recover()
		if c.attempts > 0 {
			c.timer.Reset(c.checkAfter - silence)
		}
		return false
	case c.attempts == 0 && c.sound.Err() == nil:
		c.checkedAt = 0
		return false
	case c.checkedAt == 0:
		c.checkedAt = time.Since(c.openedAt)
		go c.dispatcher.check(c.host)
		c.timer.Reset(c.suspectAfter)
		return false
	case time.Duration(c.lastRead.Load()) > c.checkedAt:
		c.recover()
		c.timer.Reset(recheckPause)
		return false
	}
	c.dispatcher.renewer.Renew(c.host)
	c.suspect()
	if silence < eelgrasspoint.PeerSilentAfter {
		c.timer.Reset(eelgrasspoint.PeerSilentAfter - silence)
		return false
	}
	c.giveUp()
	return true
}

// recover notes that bytes were read. The caller holds the lock.
func (c *connection) recover() {
	c.checkedAt = 0
	if c.sound.Err() != nil {
		c.sound, c.suspect = context.WithCancel(context.Background())
	}
	if c.heard.Err() != nil {
		c.heard, c.giveUp = context.WithCancel(context.Background())
	}
}

// isDead reports whether a silent connection is dead: it stays silent although the exit node answers on a new
// connection, or it was silent for PeerSilenceLimit.
func (c *connection) isDead() bool {
	lastRead := c.lastRead.Load()
	answered := c.dispatcher.probe(c.host)
	time.Sleep(probeGrace)
	if c.lastRead.Load() != lastRead {
		return false
	}
	return answered && c.unanswered.Load() <= maxBytesBeforePing || c.silence() >= eelgrasspoint.PeerSilenceLimit
}

// silence returns the time since the last read, or since there are attempts, if that is shorter.
func (c *connection) silence() time.Duration {
	return time.Since(c.openedAt) - max(time.Duration(c.lastRead.Load()), c.busySince)
}
