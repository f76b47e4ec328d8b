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

// connection is a connection to an exit node. It is silent if nothing was read from it for PeerPingAfter and
// then, while net/http awaits the answer to a ping, for PeerPingTimeout. Any byte that is read is a sign of
// life, since the answer to the ping may wait behind others.
type connection struct {
	net.Conn
	dispatcher *Dispatcher
	// host is that of the URLs of its requests.
	host     string
	openedAt time.Time
	// lastRead is the time from openedAt to the last read.
	lastRead atomic.Int64
	// unanswered is the number of bytes written since the last read, and writes the number of writes.
	unanswered atomic.Int64
	writes     atomic.Int64
	// waitingSince is the time from openedAt to the first write since the last read.
	waitingSince atomic.Int64

	mu     sync.Mutex
	timer  *time.Timer
	closed bool
	// abandoned is set if watch closed the connection.
	abandoned bool
	// pinged is set while the answer to a ping is awaited.
	pinged bool
	// heard ends when the connection becomes silent; it is replaced when bytes are read again.
	heard  context.Context //nolint:containedctx // It belongs to the connection, not to a call.
	giveUp context.CancelFunc
}

// errSilent is the error of the attempts that a silent connection ends.
var errSilent = errors.New("the connection to the exit node was silent")

const (
	// suspectAfter and suspectWrites are how long nothing is read from a connection, and after how many writes, before
	// new attempts use another one.
	suspectAfter  = 300 * time.Millisecond
	suspectWrites = 3
	// probeInterval is the pause between two probes of the exit node of a silent connection.
	probeInterval = 250 * time.Millisecond
	// probeGrace is the time in which a connection that is not dead can still read, after a probe whose
	// answer may have overtaken its own.
	probeGrace = 50 * time.Millisecond
	// maxBytesBeforePing is the most unanswered bytes with which an answered probe proves that the connection
	// is dead. With more, the ping may wait behind them in the connection's own buffer.
	maxBytesBeforePing = eelgrasspoint.MaxBodyBytesWithoutContinue
)

func newConnection(conn net.Conn, d *Dispatcher, host string) *connection {
	c := &connection{Conn: conn, dispatcher: d, host: host, openedAt: time.Now()}
	c.heard, c.giveUp = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(eelgrasspoint.PeerPingAfter, c.watch)
	return c
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
		c.writes.Store(0)
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
	if c.isSuspect() {
		c.dispatcher.renewer.Renew(c.host)
	}
	return c.Conn.Write(p)
}

// isSuspect counts a write and reports whether nothing was read for suspectAfter although there were several writes. The
// connection may be sound, but a new one for the attempts that follow costs less than the attempts themselves.
func (c *connection) isSuspect() bool {
	now := int64(time.Since(c.openedAt))
	if c.writes.Add(1) == 1 {
		c.waitingSince.Store(now)
		return false
	}
	return c.writes.Load() >= suspectWrites && time.Duration(now-c.waitingSince.Load()) >= suspectAfter
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.closed = true
	c.timer.Stop()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *connection) abandon() {
	c.mu.Lock()
	c.abandoned = true
	c.mu.Unlock()
	_ = c.Close()
}

// watch keeps new attempts off the connection if it is silent, and closes it if it is dead. Until then, the
// attempts that can't be repeated stay: the link may only be slow.
func (c *connection) watch() {
	if !c.isSilent() {
		return
	}
	c.dispatcher.renewer.Renew(c.host)
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

// isSilent reports whether the connection is silent, and then lets go the attempts that can be repeated. If it
// is open and not silent, isSilent schedules the next watch.
func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silence := c.silence()
	switch {
	case c.closed:
		return false
	case silence < eelgrasspoint.PeerPingAfter:
		c.pinged = false
		if c.heard.Err() != nil {
			c.heard, c.giveUp = context.WithCancel(context.Background())
		}
		c.timer.Reset(eelgrasspoint.PeerPingAfter - silence)
		return false
	case !c.pinged:
		c.pinged = true
		c.timer.Reset(eelgrasspoint.PeerPingTimeout)
		return false
	default:
		c.giveUp()
		return true
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

// silence returns the time since the last read.
func (c *connection) silence() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.lastRead.Load())
}
