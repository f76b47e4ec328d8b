// Package babbler is a stand-in for a backend server that answers with bytes that are no HTTP answer, or
// with an answer that doesn't end.
package babbler

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Script is what a Babbler writes in answer to each request.
type Script struct {
	// Greeting is written as soon as a connection opens, before any request.
	Greeting string
	// Begin is written once, then Repeat without end; an empty Repeat leaves the connection open for the next
	// request.
	Begin, Repeat string
	// Pause is the pause after each byte of Repeat; without it, Repeat is written as fast as it is read.
	Pause time.Duration
	// HangUp closes the connection after Begin.
	HangUp bool
}

// maxBytes bounds what is written to one connection, so that a test of a reader without a bound ends.
const maxBytes = 4 << 30

// blockBytes is the least size of the blocks in which Repeat is written.
const blockBytes = 32 << 10

// Babbler listens on a loopback address. It is safe for concurrent use.
type Babbler struct {
	listener net.Listener
	script   Script
	written  atomic.Int64
	requests atomic.Int64
	accepted atomic.Int64
	open     atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New returns a babbler that listens on a free port.
func New(script Script) (*Babbler, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Babbler{listener: listener, script: script, conns: make(map[net.Conn]struct{})}
	go b.accept()
	return b, nil
}

// Address returns the address that the babbler listens on.
func (b *Babbler) Address() netip.AddrPort {
	return netip.MustParseAddrPort(b.listener.Addr().String())
}

// Written returns the bytes written so far, the answers' first parts included.
func (b *Babbler) Written() int64 { return b.written.Load() }

// Requests returns the number of requests that arrived.
func (b *Babbler) Requests() int64 { return b.requests.Load() }

// Accepted returns the number of connections accepted so far.
func (b *Babbler) Accepted() int64 { return b.accepted.Load() }

// Open returns the number of connections that the other side has not closed, as far as the babbler's reads
// and writes have shown.
func (b *Babbler) Open() int64 { return b.open.Load() }

// Close closes the listener and all connections.
func (b *Babbler) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *Babbler) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		b.accepted.Add(1)
		b.open.Add(1)
		go b.serve(conn)
	}
}

func (b *Babbler) serve(conn net.Conn) {
	defer b.open.Add(-1)
	defer func() { _ = conn.Close() }()
	if !b.write(conn, []byte(b.script.Greeting)) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		b.requests.Add(1)
		if !b.answer(conn) {
			return
		}
	}
}

// answer writes one answer and reports whether the connection can take the next request.
func (b *Babbler) answer(conn net.Conn) bool {
	if !b.write(conn, []byte(b.script.Begin)) {
		return false
	}
	if b.script.Repeat == "" {
		return !b.script.HangUp
	}
	if b.script.Pause > 0 {
		b.drip(conn)
		return false
	}
	block := bytes.Repeat([]byte(b.script.Repeat), blockBytes/len(b.script.Repeat)+1)
	for range maxBytes / len(block) {
		if !b.write(conn, block) {
			break
		}
	}
	return false
}

// drip writes Repeat byte by byte until the connection is closed.
func (b *Babbler) drip(conn net.Conn) {
	for i := range maxBytes {
		if !b.write(conn, []byte{b.script.Repeat[i%len(b.script.Repeat)]}) {
			return
		}
		time.Sleep(b.script.Pause)
	}
}

func (b *Babbler) write(conn net.Conn, data []byte) bool {
	n, err := conn.Write(data)
	b.written.Add(int64(n))
	return err == nil
}
