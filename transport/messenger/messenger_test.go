package messenger_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/transport/messenger"
)

// silenceable is a connection that never reads again once it is silenced.
type silenceable struct {
	net.Conn
	silenced chan struct{}
}

func (c *silenceable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silenced:
		select {}
	default:
		return n, err
	}
}

// TestCallLeavesSilentConnection guards against a call that waits for a connection that is dead without having been closed.
func TestCallLeavesSilentConnection(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	var mu sync.Mutex
	var opened []*silenceable
	m := messenger.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		opened = append(opened, &silenceable{Conn: conn, silenced: make(chan struct{})})
		return opened[len(opened)-1], err
	})
	client := &http.Client{Transport: m, Timeout: eelgrasspoint.HeartbeatTimeout}
	assert.Equal(t, call(t, client, address), "hello")
	mu.Lock()
	close(opened[0].silenced)
	mu.Unlock()
	assert.Equal(t, call(t, client, address), "hello")
	startedAt := time.Now()
	assert.Equal(t, call(t, client, address), "hello")
	assert.Assert(t, time.Since(startedAt) < eelgrasspoint.ExchangeResendAfter, "later calls use the new connection")
}

// TestSlowCallIsAnswered guards against a response that is lost because the call was sent twice.
func TestSlowCallIsAnswered(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(eelgrasspoint.ExchangeResendAfter + 100*time.Millisecond)
		_, _ = io.Copy(w, r.Body)
	})
	client := &http.Client{Transport: messenger.New((&net.Dialer{}).DialContext)}
	defer client.CloseIdleConnections()
	assert.Equal(t, call(t, client, address), "hello")
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int32
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// TestCallWithoutReuseLeavesNoConnection guards against a connection that holds up the planned stop of the node that was called.
func TestCallWithoutReuseLeavesNoConnection(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	var opened, open atomic.Int32
	client := &http.Client{Transport: messenger.NewWithoutReuse(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		opened.Add(1)
		open.Add(1)
		return &countedConn{Conn: conn, open: &open}, err
	})}
	const calls = 3
	for range calls {
		assert.Equal(t, call(t, client, address), "hello")
	}
	assert.Equal(t, opened.Load(), int32(calls))
	for deadline := time.Now().Add(time.Second); open.Load() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d connections are open", open.Load())
	}
}

// serve starts an HTTP/2 server without TLS and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func call(t *testing.T, client *http.Client, address string) string {
	t.Helper()
	response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader([]byte("hello")))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

// TestCompressedResponseIsBounded guards against a small response that takes all memory once it is decompressed.
func TestCompressedResponseIsBounded(t *testing.T) {
	for _, c := range []struct {
		bytes  int
		passes bool
	}{{eelgrasspoint.MaxExchangeAnswerBytes, true}, {eelgrasspoint.MaxExchangeAnswerBytes + 1, false}} {
		address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Header.Get("Accept-Encoding") == "gzip")
			w.Header().Set("Content-Encoding", "gzip")
			writer := gzip.NewWriter(w)
			_, _ = writer.Write(make([]byte, c.bytes))
			_ = writer.Close()
		})
		client := &http.Client{Transport: messenger.New((&net.Dialer{}).DialContext)}
		response, err := client.Get("http://" + address)
		assert.NilError(t, err)
		read, err := io.Copy(io.Discard, response.Body)
		assert.Equal(t, err == nil, c.passes, "read %d of %d bytes: %v", read, c.bytes, err)
		response.Body.Close()
		client.CloseIdleConnections()
	}
}
