package dispatcher

import (
	"context"
	"io"
	"net/http/httptrace"
)

// delivery is an attempt from its start until its answer is closed.
type delivery struct {
	// repeatable is set if the attempt is canceled when its connection is silent, so that the request can be
	// sent elsewhere.
	repeatable bool
	cancel     context.CancelFunc
	connected  bool
	// unwatch keeps a silent connection from canceling the attempt.
	unwatch func() bool
}

// gotConn implements httptrace.ClientTrace.GotConn.
func (v *delivery) gotConn(info httptrace.GotConnInfo) {
	v.connected = true
	c, watched := info.Conn.(*connection)
	if !watched || !v.repeatable {
		return
	}
	if v.unwatch != nil {
		v.unwatch()
	}
	v.unwatch = c.onSilence(v.cancel)
}

// end ends the attempt.
func (v *delivery) end() {
	if v.unwatch != nil {
		v.unwatch()
	}
	v.cancel()
}

// deliveredBody ends the attempt when the answer is closed.
type deliveredBody struct {
	io.ReadCloser
	delivery *delivery
}

// Close implements io.Closer.
func (b *deliveredBody) Close() error {
	defer b.delivery.end()
	return b.ReadCloser.Close()
}
