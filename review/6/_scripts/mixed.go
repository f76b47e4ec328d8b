package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longUpload is the length of an upload, the longest of the site file.
	longUpload = 360_000
	// The connections to an instance have small windows and the segments of an Ethernet link, as between machines. The
	// operating system then keeps 232 KB for an instance that doesn't read.
	segmentBytes = 1460
	windowBytes  = 16 << 10
	// The answer to an upload comes in pieces of pieceBytes and more.
	answerPieces = 8
	pieceBytes   = 250
	pieceTime    = 20 * time.Millisecond
	// One of the ledgers at a time crashes, and is back after downTime.
	ledgerCount   = 7
	crashes       = 20
	crashInterval = 2 * time.Second
	downTime      = time.Second
	uploadPause   = 20 * time.Millisecond
)

// earlyInstance is a stand-in for an instance that answers uploads before it has read them, without a length: the end of the
// connection is that of the answer. It reads on then.
type earlyInstance struct {
	*record
	*reporter

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// slowness is how long work takes, as a multiple of the usual time.
	slowness time.Duration
	// whole are the requests whose answers were written to their end.
	whole map[string]bool
}

// start begins to listen and to report.
func (e *earlyInstance) start() error {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		controlErr := conn.Control(func(fd uintptr) { err = setSmallWindow(int(fd)) })
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", e.node.instance)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.conns = listener, make(map[net.Conn]bool)
	go e.accept(listener)
	e.begin(time.Now())
	return nil
}

// setSmallWindow bounds the segments and the window of the connections that a listening socket accepts.
func setSmallWindow(socket int) error {
	return errors.Join(
		syscall.SetsockoptInt(socket, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
		syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes),
	)
}

func (e *earlyInstance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// crash ends the instance as the end of its process does: the operating system resets the connections on which unread
// bytes have arrived. Here it resets all of them.
func (e *earlyInstance) crash() {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.note("instance %s crashes with %d connections", e.id, len(e.conns))
}

func (e *earlyInstance) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			if _, err := conn.Write(format(200, "", wire.Headers.InstanceID+": "+e.id+"\r\n", "")); err != nil {
				return
			}
			continue
		}
		if request.Header.Get(wire.Headers.Expect) != e.id {
			_, _ = conn.Write(format(421, request.Header.Get(wire.Headers.RequestID), wire.Headers.InstanceID+": "+e.id+"\r\nConnection: close\r\n", ""))
			return
		}
		if !e.answerEarly(conn, request.Header.Get(wire.Headers.RequestID)) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		return
	}
}

// answerEarly writes an answer without a length and reports whether all of it was written.
func (e *earlyInstance) answerEarly(conn net.Conn, id string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nConnection: close\r\n\r\n", wire.Headers.RequestID, id, wire.Headers.Stamp, e.id, id)
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	e.mu.Lock()
	pause := pieceTime * e.slowness
	e.mu.Unlock()
	for k := range answerPieces {
		time.Sleep(pause)
		if _, err := conn.Write([]byte(piece(id, k))); err != nil {
			e.note("instance %s: the answer to %s breaks off at piece %d", e.id, id, k)
			return false
		}
	}
	e.mu.Lock()
	e.whole[id] = true
	e.mu.Unlock()
	return conn.(*net.TCPConn).CloseWrite() == nil
}

func piece(id string, k int) string {
	return fmt.Sprintf("%s %d %s\n", id, k, strings.Repeat("x", pieceBytes))
}

// wholeAnswer returns the body of the answer to a request.
func wholeAnswer(id string) string {
	var b strings.Builder
	for k := range answerPieces {
		b.WriteString(piece(id, k))
	}
	return b.String()
}

// playMixed lets uploads go to instances that crash one after the other while they answer.
func playMixed(p *play) (bool, error) {
	callers, ledgers, err := p.startUploads(ledgerCount)
	if err != nil {
		return false, err
	}
	for k := range crashes {
		callers.upload(crashInterval)
		if !p.trouble {
			continue
		}
		crashed := ledgers[k%len(ledgers)]
		crashed.crash()
		callers.upload(downTime)
		if err := crashed.start(); err != nil {
			return false, err
		}
	}
	return p.checkMixed(callers.wait(), ledgers), nil
}

// uploadHost and uploadPrefix are those of the route of the uploads.
const (
	uploadHost   = "photos.example"
	uploadPrefix = "/breakage/"
)

// startUploads starts the store, the ledgers, and the node of the clients.
func (p *play) startUploads(ledgers int) (*clients, []*earlyInstance, error) {
	var err error
	if p.store, err = startStore(); err != nil {
		return nil, nil, err
	}
	p.configure("00000007",
		rule{name: "r-photos", host: uploadHost, prefix: uploadPrefix, kind: "upload", service: "ledger", target: 0.4, timeout: 2.5},
		rule{name: "r-view", host: "view.example", prefix: "/view/", kind: "safe", service: "vitrine", target: 0.3, timeout: 2},
	)
	entry, err := p.startNode("vitrine", "almaty-a")
	if err != nil {
		return nil, nil, err
	}
	if err := entry.awaitReady(); err != nil {
		return nil, nil, err
	}
	started, err := p.startEarly(ledgers)
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(4 * time.Second)
	callers := newClients(p.record, entry)
	callers.expected = wholeAnswer
	return callers, started, nil
}

// startEarly starts ledgers and their nodes.
func (p *play) startEarly(count int) ([]*earlyInstance, error) {
	var ledgers []*earlyInstance
	for k := range count {
		n, err := p.startNode("ledger", []string{"almaty-a", "almaty-b"}[k%2])
		if err != nil {
			return nil, err
		}
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
		e := &earlyInstance{record: p.record, reporter: newReporter(n, 13), whole: make(map[string]bool), slowness: 1}
		if err := e.start(); err != nil {
			return nil, err
		}
		ledgers = append(ledgers, e)
	}
	return ledgers, nil
}

// upload sends uploads for a time.
func (c *clients) upload(length time.Duration) {
	body := bytes.Repeat([]byte("0123456789"), longUpload/10)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(uploadPause) {
		c.send(http.MethodPost, uploadHost, uploadPrefix+"2f", body, 2500*time.Millisecond)
	}
}

// checkMixed reports whether a client got a success without the whole answer, of which the instance could write a part only.
func (p *play) checkMixed(results []result, ledgers []*earlyInstance) bool {
	mixed := 0
	for _, r := range results {
		written := slices.ContainsFunc(ledgers, func(e *earlyInstance) bool { return e.wrote(r.id) })
		if r.err == nil && r.status == http.StatusOK && !r.bodyComplete && !written {
			mixed++
			p.note("MIXED: %s, sent at %.4f s, got a success with %d of %d bytes", r.id, r.sent.Seconds(), r.bytes, len(wholeAnswer(r.id)))
		}
	}
	p.note("client attempts %d, by status %v; MIXED %d", len(results), countStatuses(results), mixed)
	return mixed > 0
}

// wrote reports whether the whole answer to the request was written.
func (e *earlyInstance) wrote(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.whole[id]
}
