package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// errNotProcessed is the error of an attempt that the exit node did not process, and whose body net/http has
// begun to read, so that it can't send the attempt again.
var errNotProcessed = errors.New("the exit node did not process the attempt")

// delivery is an attempt from its start until its answer is closed.
type delivery struct {
	// giveUp is that of the attempt, or nil.
	giveUp func() bool
	cancel context.CancelFunc
	// connected is set if the attempt may have been sent.
	connected bool
	bodyRead  atomic.Bool
	deadline  time.Time
	// withdraw withdraws the attempt, and reports whether it has certainly not begun.
	withdraw  func() bool
	withdrawn atomic.Bool
	// unwatch keeps a suspect or silent connection from canceling the attempt; nil if the attempt has none.
	unwatch func()
}

func (v *delivery) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GetConn: v.getConn, GotConn: v.gotConn}
}

// attach sets the body of the request and its GetBody. net/http calls GetBody only to send a request again that
// the exit node did not process: one that it refused, or that came after the last one of its GOAWAY frame.
func (v *delivery) attach(request *http.Request, body io.ReadCloser) {
	request.Body = &deliveredRequestBody{ReadCloser: body, delivery: v}
	request.GetBody = func() (io.ReadCloser, error) {
		if v.bodyRead.Load() {
			return nil, errNotProcessed
		}
		return request.Body, nil
	}
}

// getConn implements httptrace.ClientTrace.GetConn. If the attempt had a connection before, the exit node did not
// process it there.
func (v *delivery) getConn(string) { v.connected = false }

// gotConn implements httptrace.ClientTrace.GotConn.
func (v *delivery) gotConn(info httptrace.GotConnInfo) {
	v.connected = true
	c, watched := info.Conn.(*connection)
	if !watched {
		return
	}
	v.endWatch()
	c.begin(time.Until(v.deadline))
	stopSuspicion := c.onSuspicion(v.cancelIfWithdrawn)
	stopSilence := c.onSilence(v.cancelIfGivenUp)
	v.unwatch = func() {
		stopSuspicion()
		stopSilence()
		c.end()
	}
}

func (v *delivery) cancelIfGivenUp() {
	if v.giveUp != nil && v.giveUp() {
		v.cancel()
	}
}

func (v *delivery) cancelIfWithdrawn() {
	if v.withdraw() {
		v.withdrawn.Store(true)
		v.cancel()
	}
}

// endWatch keeps a suspect or silent connection from canceling the attempt.
func (v *delivery) endWatch() {
	if v.unwatch != nil {
		v.unwatch()
		v.unwatch = nil
	}
}

// end ends the attempt.
func (v *delivery) end() {
	v.endWatch()
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

// deliveredRequestBody records whether the body was read.
type deliveredRequestBody struct {
	io.ReadCloser
	delivery *delivery
}

// Read implements io.Reader.
func (b *deliveredRequestBody) Read(p []byte) (int, error) {
	b.delivery.bodyRead.Store(true)
	return b.ReadCloser.Read(p)
}
